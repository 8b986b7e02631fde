#ifndef PISTACHIOWOOD_DAEMON_TRAFFIC_PLANE_H
#define PISTACHIOWOOD_DAEMON_TRAFFIC_PLANE_H

#include "base/random.h"
#include "daemon/caller_api.h"
#include "net/event_loop.h"
#include "pools/endpoint_pool.h"
#include "routing/routing_table.h"
#include "statements/statement_router.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pistachiowood {

struct TrafficSettings
{
    VmId vm;
    Locality locality;
    SocketAddress callerAddress;
    SocketAddress trafficAddress;
    std::string tokenKey;
    std::optional<std::string> previousTokenKey;
    std::size_t maxCallers = 8192;
    CallerApi::Settings callers;
    StatementRouter::Settings router;
};

/// Work of a daemon's traffic thread: callers, endpoint connections and forwarding. Every member
/// function runs in the loop's thread.
class TrafficPlane
{
public:
    using StatusRequester = std::function<void(const ServiceName &)>;

    TrafficPlane(EventLoop &loop, const Clock &clock, RandomSource &random,
                 TrafficSettings settings);
    ~TrafficPlane();

    /// Called when a statement needs newer status of a service.
    void setStatusRequester(StatusRequester requester);
    void setStatementObserver(CallerApi::StatementObserver observer);

    Result<void> start();
    void setRoutingTable(std::shared_ptr<const RoutingTable> table);
    void observeReport(const EndpointId &endpoint, const EndpointReport &report);

    /// Refuses new requests; running ones finish.
    void drain();
    /// True when no request, transaction or forwarded attempt is running.
    bool isIdle() const;

    std::map<EndpointId, PoolStats> poolStats() const;
    ServiceName serviceOf(const EndpointId &endpoint) const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
