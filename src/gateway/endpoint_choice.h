#ifndef PISTACHIOWOOD_GATEWAY_ENDPOINT_CHOICE_H
#define PISTACHIOWOOD_GATEWAY_ENDPOINT_CHOICE_H

#include "gateway/gateway_context.h"

#include <cstdint>
#include <optional>
#include <set>

namespace pistachiowood {

/// Newest commit of a session.
struct LastCommit
{
    std::uint64_t primaryEpoch = 0;
    TermPosition position;
    TimePoint repliedAt;
};

/// Conditions that the endpoint of a statement must meet.
struct EndpointRequirements
{
    const DatabaseRoute &route;
    TimePoint startedAt; ///< start of the transaction, or of a statement outside of one
    const std::optional<LastCommit> &lastCommit;
    const std::set<EndpointId> &excluded; ///< endpoints that refused the statement
    const std::optional<CustomerName> &customer; ///< of the session
};

/// Endpoint chosen to run a statement.
struct EndpointChoice
{
    ConnectionPool *pool = nullptr; ///< not valid after the connection was granted or refused
    EndpointId endpoint;
    std::optional<TermPosition> minPosition; ///< replicas: position that the log must hold
    std::uint64_t primaryEpoch = 0;

    /// Whether the statement may run only while the daemon is permitted to use the primary.
    bool needsPrimaryPermission() const { return !minPosition.has_value(); }
};

/// Returns the primary; nullopt if it is unknown, excluded, draining or may not be used now.
std::optional<EndpointChoice> choosePrimary(GatewayContext &context,
                                            const EndpointRequirements &requirements);

/// Returns the endpoint with the lowest expected cost among those that are expected to be fresh
/// enough, or among all usable ones if none is.
std::optional<EndpointChoice> chooseForRead(GatewayContext &context,
                                            const EndpointRequirements &requirements);

/// Whether the endpoint has been failing for 300 ms or longer.
bool isUnresponsive(const EndpointChoice &choice, TimePoint now);
/// Whether the expected wait for a connection makes the statement exceed three quarters of its
/// target latency.
bool exceedsTargetLatency(const EndpointChoice &choice, const DatabaseRoute &route,
                          const std::optional<CustomerName> &customer, Milliseconds elapsed);

} // namespace pistachiowood

#endif
