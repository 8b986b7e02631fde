#ifndef PISTACHIOWOOD_NET_HTTP_CODEC_H
#define PISTACHIOWOOD_NET_HTTP_CODEC_H

#include "net/http.h"

#include <memory>
#include <string>
#include <string_view>

namespace pistachiowood {

/// State of the message that is being parsed.
enum class ParseState { NeedMore, Complete, HeaderTooLarge, BodyTooLarge, Malformed };

/// Parses the requests of one connection, one after the other (Boost.Beast).
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const HttpLimits &limits);
    ~HttpRequestParser();

    /// Consumes bytes from the front of the input.
    ParseState parse(std::string &input);
    /// Valid after Complete; resets the parser for the next request.
    HttpRequest takeRequest();
    /// Whether the request lets the connection stay open; valid between Complete and takeRequest().
    bool keepAlive() const;
    /// True when part of the next request has been parsed.
    bool started() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

/// Parses the responses of one connection, one after the other (Boost.Beast).
class HttpResponseParser
{
public:
    HttpResponseParser();
    ~HttpResponseParser();

    ParseState parse(std::string &input);
    /// Valid after Complete; resets the parser for the next response.
    HttpResponse takeResponse();
    /// Whether the response lets the connection stay open; valid between Complete and
    /// takeResponse().
    bool keepAlive() const;
    /// Discards a partly parsed response.
    void reset();

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

std::string encodeRequest(const HttpRequest &request, const SocketAddress &host);
std::string encodeResponse(const HttpResponse &response, bool keepAlive);

} // namespace pistachiowood

#endif
