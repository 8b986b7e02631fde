#include "net/http_codec.h"

#include "base/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>

namespace pistachiowood {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// The largest responses are object lists of the platform; 64 MiB limits what a misbehaving peer can
// make the daemon buffer.
constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;
constexpr std::string_view bearerPrefix = "Bearer ";

ParseState parseStateOfError(const beast::error_code &failure)
{
    if (failure == http::error::header_limit)
        return ParseState::HeaderTooLarge;
    if (failure == http::error::body_limit)
        return ParseState::BodyTooLarge;
    return ParseState::Malformed;
}

template <typename Parser>
ParseState parseInput(Parser &parser, std::string &input)
{
    while (!parser.is_done() && !input.empty()) {
        beast::error_code failure;
        const std::size_t used = parser.put(boost::asio::buffer(input), failure);
        input.erase(0, used);
        if (failure == http::error::need_more)
            return ParseState::NeedMore;
        if (failure)
            return parseStateOfError(failure);
        if (used == 0)
            break;
    }
    return parser.is_done() ? ParseState::Complete : ParseState::NeedMore;
}

template <bool isRequest, typename Fields>
std::string serialize(http::message<isRequest, http::string_body, Fields> &message)
{
    std::string output;
    http::serializer<isRequest, http::string_body, Fields> serializer(message);
    while (!serializer.is_done()) {
        beast::error_code failure;
        std::size_t written = 0;
        serializer.next(failure, [&](beast::error_code &, const auto &buffers) {
            for (const auto buffer : beast::buffers_range_ref(buffers)) {
                output.append(static_cast<const char *>(buffer.data()), buffer.size());
                written += buffer.size();
            }
        });
        if (failure)
            break;
        serializer.consume(written);
    }
    return output;
}

} // namespace

const std::string *HttpResponse::findHeader(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &header) {
        return beast::iequals(header.first, name);
    });
    return found == headers.end() ? nullptr : &found->second;
}

struct HttpRequestParser::Private
{
    explicit Private(const HttpLimits &httpLimits)
        : limits(httpLimits)
    {
        reset();
    }

    void reset()
    {
        parser.emplace();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser->body_limit(limits.maxBodyBytes);
    }

    HttpLimits limits;
    std::optional<http::request_parser<http::string_body>> parser;
};

HttpRequestParser::HttpRequestParser(const HttpLimits &limits)
    : private_(std::make_unique<Private>(limits))
{
}

HttpRequestParser::~HttpRequestParser() = default;

ParseState HttpRequestParser::parse(std::string &input)
{
    return parseInput(*private_->parser, input);
}

HttpRequest HttpRequestParser::takeRequest()
{
    auto message = private_->parser->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    if (const auto header = message[http::field::authorization]; header.starts_with(bearerPrefix))
        request.bearer = std::string(header.substr(bearerPrefix.size()));
    private_->reset();
    return request;
}

bool HttpRequestParser::keepAlive() const
{
    return private_->parser->keep_alive();
}

bool HttpRequestParser::started() const
{
    return private_->parser->got_some();
}

struct HttpResponseParser::Private
{
    Private() { reset(); }

    void reset()
    {
        parser.emplace();
        parser->eager(true);
        parser->body_limit(maxResponseBytes);
    }

    std::optional<http::response_parser<http::string_body>> parser;
};

HttpResponseParser::HttpResponseParser()
    : private_(std::make_unique<Private>())
{
}

HttpResponseParser::~HttpResponseParser() = default;

ParseState HttpResponseParser::parse(std::string &input)
{
    return parseInput(*private_->parser, input);
}

HttpResponse HttpResponseParser::takeResponse()
{
    auto message = private_->parser->release();
    HttpResponse response;
    response.status = message.result_int();
    response.body = std::move(message.body());
    response.contentType = std::string(message[http::field::content_type]);
    for (const auto &field : message)
        response.headers.emplace_back(field.name_string(), field.value());
    private_->reset();
    return response;
}

bool HttpResponseParser::keepAlive() const
{
    return private_->parser->keep_alive();
}

void HttpResponseParser::reset()
{
    private_->reset();
}

std::string encodeRequest(const HttpRequest &request, const SocketAddress &host)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             11);
    message.set(http::field::host, formatAddress(host));
    if (!request.bearer.empty())
        message.set(http::field::authorization, std::string(bearerPrefix) + request.bearer);
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return serialize(message);
}

std::string encodeResponse(const HttpResponse &response, bool keepAlive)
{
    http::response<http::string_body> message(http::int_to_status(response.status), 11);
    message.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers)
        message.set(name, value);
    message.keep_alive(keepAlive);
    message.body() = response.body;
    message.prepare_payload();
    return serialize(message);
}

} // namespace pistachiowood
