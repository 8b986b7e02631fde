#ifndef PISTACHIOWOOD_DAEMON_ADMIN_SERVER_H
#define PISTACHIOWOOD_DAEMON_ADMIN_SERVER_H

#include "administration/administration_api.h"
#include "burn/text_exposition.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <vector>

namespace pistachiowood {

/// What the traffic thread has recorded, as one immutable value.
struct TrafficRecord
{
    MetricsSnapshot metrics;
    std::vector<EndpointPoolStats> pools;
};

/// Administration port of a daemon: the administration API, burn metrics and text exposition.
class AdminServer
{
public:
    /// Delivers the record in the control thread.
    using RecordRequester = std::function<void(std::function<void(const TrafficRecord &)>)>;

    AdminServer(EventLoop &loop, AdministrationApi &api, CredentialList credentials,
                RecordRequester requester);

    Result<void> listen(const SocketAddress &address);

private:
    void handle(const HttpRequest &request, const HttpServer::Responder &respond);
    void handleRecord(const HttpRequest &request, const HttpServer::Responder &respond);

    AdministrationApi &api_;
    CredentialList credentials_;
    RecordRequester requester_;
    HttpServer server_;
};

} // namespace pistachiowood

#endif
