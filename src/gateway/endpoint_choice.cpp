#include "gateway/endpoint_choice.h"

#include <vector>

namespace pistachiowood {

namespace {

// Position that a replica's log must hold to serve a read, and how long ago the primary reached it.
struct RequiredPosition
{
    std::optional<TermPosition> minPosition;
    Milliseconds age{0};
};

RequiredPosition findRequiredPosition(GatewayContext &context, const ServiceView &service,
                                      const EndpointRequirements &requirements)
{
    const DatabaseRoute &route = requirements.route;
    const PositionHistory &positions = context.positions(route.service);
    RequiredPosition required{std::nullopt, route.maxStaleness};
    if (positions.primaryEpoch() == service.primaryEpoch)
        required.minPosition =
            positions.positionCovering(requirements.startedAt - route.maxStaleness);
    const bool lastCommitRequired = requirements.lastCommit
                                    && requirements.lastCommit->primaryEpoch == service.primaryEpoch
                                    && route.consistency == Consistency::ReadYourWrites;
    if (required.minPosition && lastCommitRequired
        && requirements.lastCommit->position > *required.minPosition) {
        required.minPosition = requirements.lastCommit->position;
        required.age = std::chrono::duration_cast<Milliseconds>(
            context.clock().now() - requirements.lastCommit->repliedAt);
    }
    return required;
}

EndpointCandidate describeCandidate(GatewayContext &context, const ServiceView &service,
                                    const EndpointView &endpoint,
                                    const EndpointRequirements &requirements,
                                    const RequiredPosition &required)
{
    const ConnectionPool *pool = context.findPool(requirements.route.service, endpoint.id);
    const ConnectionPoolHealth health =
        pool ? pool->health(requirements.customer) : ConnectionPoolHealth{};
    EndpointCandidate candidate;
    candidate.primary = service.primary == endpoint.id;
    candidate.usable = pool && pool->usable() && !endpoint.draining
                       && requirements.excluded.count(endpoint.id) == 0
                       && (!candidate.primary || context.primariesPermitted());
    candidate.expectedFresh =
        candidate.primary
        || (required.minPosition
            && context.replicaLag(endpoint.id)
                   .expectedFresh(*required.minPosition, required.age, context.clock().now()));
    candidate.distance = endpoint.distance;
    candidate.latency = health.latency;
    candidate.connectDelay = health.connectDelay;
    candidate.inUse = health.inUse;
    candidate.waiting = health.waiting;
    candidate.limit = health.limit;
    return candidate;
}

// Time for which an endpoint must be failing before statements for it are refused at once. Status
// queries to it continue.
constexpr Milliseconds unresponsiveTimeout{300};

} // namespace

std::optional<EndpointChoice> choosePrimary(GatewayContext &context,
                                            const EndpointRequirements &requirements)
{
    const ServiceView *service = context.findService(requirements.route.service);
    if (!service || !service->primary || !context.primariesPermitted()
        || requirements.excluded.count(*service->primary) > 0)
        return std::nullopt;
    ConnectionPool *pool = context.findPool(requirements.route.service, *service->primary);
    if (!pool)
        return std::nullopt;
    const auto &acceptsStatementsUntil = pool->endpoint().acceptsStatementsUntil;
    if (acceptsStatementsUntil && context.clock().now() >= *acceptsStatementsUntil)
        return std::nullopt;
    return EndpointChoice{pool, *service->primary, std::nullopt, service->primaryEpoch};
}

std::optional<EndpointChoice> chooseForRead(GatewayContext &context,
                                            const EndpointRequirements &requirements)
{
    const ServiceView *service = context.findService(requirements.route.service);
    if (!service)
        return std::nullopt;
    const RequiredPosition required = findRequiredPosition(context, *service, requirements);
    std::vector<EndpointCandidate> candidates;
    for (const EndpointView &endpoint : service->endpoints)
        candidates.push_back(
            describeCandidate(context, *service, endpoint, requirements, required));
    auto chosen = chooseReadEndpoint(candidates);
    if (!chosen && required.minPosition) {
        // No endpoint is expected to be fresh enough. A replica may have caught up since its lag
        // was last observed, and rejects the read as lagging if it has not.
        for (EndpointCandidate &candidate : candidates)
            candidate.expectedFresh = true;
        chosen = chooseReadEndpoint(candidates);
    }
    if (!chosen)
        return std::nullopt;
    const EndpointId &id = service->endpoints.at(*chosen).id;
    return EndpointChoice{context.findPool(requirements.route.service, id), id,
                          candidates.at(*chosen).primary ? std::nullopt : required.minPosition,
                          service->primaryEpoch};
}

bool isUnresponsive(const EndpointChoice &choice, TimePoint now)
{
    const auto failingSince = choice.pool->health().failingSince;
    return failingSince && now - *failingSince >= unresponsiveTimeout;
}

// Under overload a statement that misses its target anyway only delays others. It is refused at
// once, so that its caller can retry.
bool exceedsTargetLatency(const EndpointChoice &choice, const DatabaseRoute &route,
                          const std::optional<CustomerName> &customer, Milliseconds elapsed)
{
    const Milliseconds wait = choice.pool->expectedWait(route.priority, customer);
    return wait > Milliseconds(0)
           && elapsed + wait + choice.pool->health().latency > route.targetLatency * 3 / 4;
}

} // namespace pistachiowood
