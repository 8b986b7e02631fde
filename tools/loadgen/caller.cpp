#include "loadgen/caller.h"

#include <boost/json/serialize.hpp>

#include <array>

namespace pistachiowood::loadgen {

namespace {

// The daemon answers at the deadline; later answers are treated as lost.
constexpr Milliseconds answerGrace{1000};

std::string failureName(HttpFailure::Kind kind)
{
    static constexpr std::array<std::string_view, 6> names{"connect_failed", "connection_refused",
                                                           "timeout",        "connection_lost",
                                                           "bad_response",   "connection_closed"};
    return std::string(names.at(static_cast<std::size_t>(kind)));
}

} // namespace

boost::json::object readStatement(const std::string &key)
{
    return {{"op", "get"}, {"key", key}};
}

boost::json::object appendStatement(const std::string &key, const std::string &value)
{
    return {{"op", "append"}, {"key", key}, {"value", value}};
}

Caller::Caller(EventLoop &loop, const std::vector<SocketAddress> &daemons, Milliseconds deadline)
    : loop_(loop)
    , daemons_(daemons)
    , deadline_(deadline)
{
}

void Caller::post(std::size_t daemon, const std::string &service, const std::string &operation,
                  boost::json::object body, Callback callback)
{
    auto &connection = connections_[daemon];
    if (!connection)
        connection = std::make_unique<HttpConnection>(loop_, daemons_.at(daemon));
    body["deadline_ms"] = deadline_.count();
    HttpRequest request{"POST", "/v1/services/" + service + "/" + operation,
                        boost::json::serialize(body)};
    connection->send(std::move(request), deadline_ + answerGrace,
                     [callback = std::move(callback)](HttpOutcome outcome) {
                         if (const auto *response = std::get_if<HttpResponse>(&outcome)) {
                             callback(readAnswer(response->status, response->body));
                             return;
                         }
                         const auto &failure = std::get<HttpFailure>(outcome);
                         callback(failedAnswer(failure.requestSent, failureName(failure.kind)));
                     });
}

} // namespace pistachiowood::loadgen
