#include "daemon/admin_server.h"

#include "base/byte_counters.h"
#include "base/json.h"
#include "burn/snapshot_codec.h"
#include "net/http_error.h"

#include <string>

namespace pistachiowood {

namespace json = boost::json;

namespace {

std::string describeCounters()
{
    json::object counters;
    for (std::size_t i = 0; i < connectionClassCount; ++i) {
        const auto connectionClass = static_cast<ConnectionClass>(i);
        const ByteCounter &counter = byteCounter(connectionClass);
        counters[connectionClassName(connectionClass)] = {{"received", counter.received.load()},
                                                          {"sent", counter.sent.load()},
                                                          {"messages", counter.messages.load()}};
    }
    return json::serialize(counters);
}

} // namespace

AdminServer::AdminServer(EventLoop &loop, AdministrationApi &api, CredentialList credentials,
                         StatsRequester requester)
    : api_(api)
    , credentials_(std::move(credentials))
    , statsRequester_(std::move(requester))
    , server_(loop, {}, [this](const HttpRequest &request, const HttpServer::Responder &respond) {
        handle(request, respond);
    })
{
}

Result<void> AdminServer::listen(const SocketAddress &address)
{
    return server_.listen(address);
}

void AdminServer::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const bool isStats = request.target == "/metrics" || request.target == "/v1/burn/local"
                         || request.target == "/counters";
    if (request.method == "GET" && isStats)
        handleStats(request, respond);
    else
        api_.handle(request, respond);
}

void AdminServer::handleStats(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const auto access = capture([&] { return credentials_.authenticate(request.bearer); });
    if (const auto *error = std::get_if<Error>(&access)) {
        respond(errorResponse(*error));
        return;
    }
    if (request.target == "/counters") {
        respond({200, describeCounters()});
        return;
    }
    const bool isExposition = request.target == "/metrics";
    statsRequester_([respond, isExposition](const TrafficStats &stats) {
        if (isExposition)
            respond({200, renderExposition(stats.metrics, stats.pools, readProcessUsage()),
                     std::string(expositionContentType)});
        else
            respond({200, encodeSnapshot(stats.metrics)});
    });
}

} // namespace pistachiowood
