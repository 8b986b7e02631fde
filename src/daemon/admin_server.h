#ifndef PISTACHIOWOOD_DAEMON_ADMIN_SERVER_H
#define PISTACHIOWOOD_DAEMON_ADMIN_SERVER_H

#include "administration/administration_api.h"
#include "burn/text_exposition.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <vector>

namespace pistachiowood {

/// Immutable copy of the traffic thread's statistics.
struct TrafficStats
{
    MetricsSnapshot metrics;
    std::vector<EndpointPoolStats> pools;
};

/// Serves a daemon's administration port: the administration API, burn metrics, the text exposition
/// and byte counters.
class AdminServer
{
public:
    /// Fetches the statistics and passes them to the callback in the control thread.
    using StatsRequester = std::function<void(std::function<void(const TrafficStats &)>)>;

    AdminServer(EventLoop &loop, AdministrationApi &api, CredentialList credentials,
                StatsRequester requester);

    Result<void> listen(const SocketAddress &address);

private:
    void handle(const HttpRequest &request, const HttpServer::Responder &respond);
    void handleStats(const HttpRequest &request, const HttpServer::Responder &respond);

    AdministrationApi &api_;
    CredentialList credentials_;
    StatsRequester statsRequester_;
    HttpServer server_;
};

} // namespace pistachiowood

#endif
