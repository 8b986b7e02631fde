#include "link_relay/relay_control.h"

#include "base/json.h"
#include "net/http.h"

#include <cmath>

namespace pistachiowood::relay {

namespace json = boost::json;

namespace {

Result<std::optional<double>> optionalNumber(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(json::string_view(field.data(), field.size()));
    if (!value)
        return std::optional<double>{};
    json::error_code failure;
    const double number = value->to_number<double>(failure);
    if (failure || !(number >= 0) || !std::isfinite(number))
        return makeError(ErrorCode::InvalidArgument,
                         "field \"" + std::string(field) + "\" must be a non-negative number");
    return std::optional<double>{number};
}

} // namespace

struct RelayControl::Private
{
    Private(EventLoop &loop, Relay &controlled)
        : relay(controlled)
        , server(loop, {},
                 [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                     respond(answer(request));
                 })
    {
    }

    HttpResponse answer(const HttpRequest &request)
    {
        if (request.target != "/standin/link"
            || (request.method != "POST" && request.method != "GET"))
            return {404, errorBody({ErrorCode::NotFound, "no such operation"})};
        const auto outcome = capture([&]() -> Result<std::string> {
            if (request.method == "POST") {
                BOOST_LEAF_CHECK(change(request.body));
            }
            return show();
        });
        if (const auto *error = std::get_if<Error>(&outcome))
            return {httpStatusOf(error->code), errorBody(*error)};
        return {200, std::get<0>(outcome)};
    }

    Result<void> change(const std::string &text)
    {
        BOOST_LEAF_AUTO(body, parseJsonObject(text));
        BOOST_LEAF_AUTO(cut, optionalBool(body, "cut"));
        BOOST_LEAF_AUTO(cutForward, optionalBool(body, "cut_forward"));
        BOOST_LEAF_AUTO(cutBackward, optionalBool(body, "cut_backward"));
        BOOST_LEAF_AUTO(reset, optionalBool(body, "reset"));
        BOOST_LEAF_AUTO(freeze, optionalBool(body, "freeze"));
        BOOST_LEAF_AUTO(delay, optionalNumber(body, "delay_ms"));
        BOOST_LEAF_AUTO(rate, optionalNumber(body, "rate_mbit"));
        LinkSettings settings = relay.settings();
        if (cut)
            settings.cut = {*cut, *cut};
        settings.cut[Forward] = cutForward.value_or(settings.cut[Forward]);
        settings.cut[Backward] = cutBackward.value_or(settings.cut[Backward]);
        settings.freeze = freeze.value_or(settings.freeze);
        if (delay)
            settings.delay = std::chrono::microseconds(std::llround(*delay * 1000));
        settings.megabitsPerSecond = rate.value_or(settings.megabitsPerSecond);
        relay.apply(settings);
        if (reset.value_or(false))
            relay.resetConnections();
        return {};
    }

    std::string show() const
    {
        const LinkSettings &settings = relay.settings();
        const LinkCounters counters = relay.counters();
        return json::serialize(
            json::object{{"cut_forward", settings.cut[Forward]},
                         {"cut_backward", settings.cut[Backward]},
                         {"freeze", settings.freeze},
                         {"delay_ms", static_cast<double>(settings.delay.count()) / 1000},
                         {"rate_mbit", settings.megabitsPerSecond},
                         {"forward_bytes", counters.deliveredBytes[Forward]},
                         {"backward_bytes", counters.deliveredBytes[Backward]},
                         {"accepted_connections", counters.acceptedConnections},
                         {"open_connections", counters.openConnections}});
    }

    Relay &relay;
    HttpServer server;
};

RelayControl::RelayControl(EventLoop &loop, Relay &relay)
    : private_(std::make_unique<Private>(loop, relay))
{
}

RelayControl::~RelayControl() = default;

Result<void> RelayControl::listen(const SocketAddress &address)
{
    return private_->server.listen(address);
}

std::uint16_t RelayControl::port() const
{
    return private_->server.port();
}

} // namespace pistachiowood::relay
