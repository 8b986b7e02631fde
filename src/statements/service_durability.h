#ifndef PISTACHIOWOOD_STATEMENTS_SERVICE_DURABILITY_H
#define PISTACHIOWOOD_STATEMENTS_SERVICE_DURABILITY_H

#include "endpoints/endpoint_report.h"
#include "net/event_loop.h"
#include "routing/read_router.h"
#include "routing/routing_table.h"
#include "writes/durability_tracker.h"

#include <functional>
#include <memory>

namespace pistachiowood {

/// Waits of one service for a majority, fed by long polls of its replicas. The polls are shared by
/// all waits and run only while there are some.
class ServiceDurability
{
public:
    using Callback = std::function<void(Durability, Term)>;

    ServiceDurability(EventLoop &loop, const Clock &clock, Locality locality);
    ~ServiceDurability();

    void setRoutes(std::shared_ptr<const ServiceRoutes> routes);
    void report(const EndpointId &endpoint, const EndpointReport &report);
    /// Starts the polls ahead of a write, so that they are waiting when it is replicated.
    void expectWrite();
    void wait(Term term, LogPosition position, TimePoint deadline, Callback callback);
    bool isDurable(Term term, LogPosition position) const;
    /// Ends the waits whose deadline has passed and widens the polls; call it regularly.
    void tick();

private:
    struct Private;
    std::shared_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
