#ifndef PISTACHIOWOOD_STATEMENTS_ATTEMPT_EXECUTOR_H
#define PISTACHIOWOOD_STATEMENTS_ATTEMPT_EXECUTOR_H

#include "base/random.h"
#include "endpoints/attempt.h"
#include "net/event_loop.h"
#include "pools/endpoint_pool.h"
#include "routing/read_router.h"
#include "routing/routing_table.h"

#include <functional>
#include <map>
#include <memory>

namespace pistachiowood {

/// Executes attempts on endpoints: owns their connections, slots and transactions, and waits until
/// results are durable. Runs in the traffic thread of the daemon that owns the endpoint. Other
/// daemons execute on a few reserved connections when the owner is not reachable.
class AttemptExecutor
{
public:
    struct Settings
    {
        VmId self;
        Locality locality;
        /// Connections of each endpoint that its owner leaves to the other daemons.
        std::uint32_t reservedConnections = 6;
        /// Limit of a daemon's connections to an endpoint that it does not own.
        std::uint32_t maxNonOwnerConnections = 2;
    };

    using Observer = std::function<void(const EndpointId &, const EndpointReport &)>;

    AttemptExecutor(EventLoop &loop, const Clock &clock, RandomSource &random, Settings settings);
    ~AttemptExecutor();

    void setRoutingTable(std::shared_ptr<const RoutingTable> table);
    /// Sets the function that receives each report that an endpoint's answer carries.
    void setObserver(Observer observer);

    void execute(const AttemptRequest &request, AttemptCallback callback);

    std::map<EndpointId, PoolStats> stats() const;
    /// Service of an endpoint that has executed attempts here; empty for other endpoints.
    ServiceName findServiceOf(const EndpointId &endpoint) const;
    std::size_t countOpenTransactions() const;

private:
    struct Private;
    std::shared_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
