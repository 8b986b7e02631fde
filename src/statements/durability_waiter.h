#ifndef PISTACHIOWOOD_STATEMENTS_DURABILITY_WAITER_H
#define PISTACHIOWOOD_STATEMENTS_DURABILITY_WAITER_H

#include "endpoints/endpoint_report.h"
#include "net/event_loop.h"
#include "routing/read_router.h"
#include "routing/routing_table.h"
#include "writes/durability_tracker.h"

#include <functional>
#include <memory>

namespace pistachiowood {

/// Waits until a majority of one service's endpoints holds a log position, which long polls of the
/// replicas report. All waits share the polls, which are repeated only while a wait is pending.
class DurabilityWaiter
{
public:
    using Callback = std::function<void(Durability, Term)>;

    DurabilityWaiter(EventLoop &loop, const Clock &clock, Locality locality);
    ~DurabilityWaiter();

    void setRoutes(std::shared_ptr<const ServiceRoutes> routes);
    /// Records a report that came with an answer of the endpoint.
    void report(const EndpointId &endpoint, const EndpointReport &report);
    /// Starts the polls before a write is sent, so that they are pending when it is replicated.
    void startPolling();
    void wait(Term term, LogPosition position, TimePoint deadline, Callback callback);
    bool isDurable(Term term, LogPosition position) const;
    /// Ends the waits whose deadline has passed and polls farther replicas for waits that take
    /// long. Call it every few tens of milliseconds.
    void tick();

private:
    struct Private;
    std::shared_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
