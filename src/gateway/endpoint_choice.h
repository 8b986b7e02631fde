#ifndef PISTACHIOWOOD_GATEWAY_ENDPOINT_CHOICE_H
#define PISTACHIOWOOD_GATEWAY_ENDPOINT_CHOICE_H

#include "gateway/gateway_services.h"

#include <cstdint>
#include <optional>
#include <set>

namespace pistachiowood {

/// Newest commit of a session.
struct OwnCommit
{
    std::uint64_t primaryEpoch = 0;
    TermPosition position;
    TimePoint at;
};

/// What a statement asks of its endpoint.
struct EndpointNeed
{
    const DatabaseRoute &route;
    TimePoint startedAt; ///< of the statement, or of its transaction
    const std::optional<OwnCommit> &ownCommit;
    const std::set<EndpointId> &excluded; ///< endpoints that have refused the statement
};

/// Endpoint that is to run a statement.
struct EndpointChoice
{
    LinkPool *pool = nullptr;
    std::optional<TermPosition> after; ///< position that a replica's log must hold
    std::uint64_t primaryEpoch = 0;

    /// Whether the choice relies on the permission to use the primary.
    bool reliesOnPrimary() const { return !after.has_value(); }
};

/// The primary, if it may be used now.
std::optional<EndpointChoice> choosePrimary(GatewayServices &services, const EndpointNeed &need);

/// The endpoint with the lowest cost that is expected to hold what the read must see.
std::optional<EndpointChoice> chooseForRead(GatewayServices &services, const EndpointNeed &need);

/// Whether the endpoint has not answered this daemon for a while.
bool outOfReach(const EndpointChoice &choice, TimePoint now);
/// Whether the statement would wait so long for a connection that it misses its target latency.
bool waitTooLong(const EndpointChoice &choice, const DatabaseRoute &route, Milliseconds elapsed);

} // namespace pistachiowood

#endif
