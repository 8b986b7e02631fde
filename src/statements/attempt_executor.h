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

/// Executes attempts at endpoints: owns their connections, slots and transactions, and waits for
/// durability. Lives in the traffic thread of the daemon that owns the endpoint; other daemons use
/// a small reserve of connections when the owner cannot be reached.
class AttemptExecutor
{
public:
    struct Settings
    {
        VmId self;
        Locality locality;
        std::uint32_t reservedConnections =
            6; ///< of each endpoint, left to daemons that do not own it
        std::uint32_t connectionsWithoutOwnership = 2;
    };

    using Observer = std::function<void(const EndpointId &, const EndpointReport &)>;

    AttemptExecutor(EventLoop &loop, const Clock &clock, RandomSource &random, Settings settings);
    ~AttemptExecutor();

    void setRoutingTable(std::shared_ptr<const RoutingTable> table);
    /// Called with every report that came with an answer.
    void setObserver(Observer observer);

    void execute(const AttemptRequest &request, AttemptCallback callback);

    std::map<EndpointId, PoolStats> stats() const;
    /// Empty for an endpoint that has not been used here.
    ServiceName serviceOf(const EndpointId &endpoint) const;
    std::size_t openTransactions() const;

private:
    struct Private;
    std::shared_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
