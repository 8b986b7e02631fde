#ifndef PISTACHIOWOOD_TAKEOVER_ENDPOINT_REGISTRY_H
#define PISTACHIOWOOD_TAKEOVER_ENDPOINT_REGISTRY_H

#include "gateway/deployment.h"

#include <pistachiowood/clock.h>

#include <map>
#include <optional>
#include <vector>

namespace pistachiowood {

/// Endpoint as its registration describes it, or last described it.
struct RegisteredEndpoint
{
    EndpointEntry entry;
    std::optional<TimePoint> drainingSince; ///< when this daemon learned of the drain
    std::optional<TimePoint> missingSince; ///< since when the registration is missing
};

/// An endpoint that has left, or has started again under its id, and may have taken its log along.
struct LostLog
{
    ServiceName service;
    EndpointId endpoint;
};

/// Endpoints in use according to their registrations. Logs changes; performs no other I/O.
///
/// A registration expires when the endpoint's reports do not reach the platform's store, for
/// example while the store is down, and comes back with the next report. An endpoint that did not
/// drain therefore stays in use after its registration is gone, until it has not come back although
/// the store answered all the time.
class EndpointRegistry
{
public:
    /// Time in which an endpoint that is alive registers again.
    static constexpr Milliseconds returnTime{2500};

    /// By id.
    using Endpoints = std::map<EndpointId, RegisteredEndpoint>;

    const Endpoints &endpoints() const { return endpoints_; }
    /// Sets the present registrations.
    void update(const std::map<EndpointId, EndpointEntry> &registered, TimePoint now);
    /// Removes endpoints whose registration has been missing for too long. `storeAnswersSince` is
    /// unset while the store does not answer. Returns whether there were any.
    bool expire(std::optional<TimePoint> storeAnswersSince, TimePoint now);
    /// Returns the losses since the last call.
    std::vector<LostLog> takeLostLogs();

private:
    void remove(const EndpointId &id);

    Endpoints endpoints_;
    std::vector<LostLog> lostLogs_;
};

} // namespace pistachiowood

#endif
