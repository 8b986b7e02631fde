#include "gateway/endpoint_choice.h"

#include <vector>

namespace pistachiowood {

namespace {

// Position that a replica's log must hold to serve a read, and how long ago the primary reached it.
struct RequiredPosition
{
    std::optional<TermPosition> after;
    Milliseconds age{0};
};

RequiredPosition requirePosition(GatewayServices &services, const ServiceView &service,
                                 const EndpointNeed &need)
{
    const DatabaseRoute &route = need.route;
    const PositionHistory &positions = services.positions(route.service);
    RequiredPosition required{std::nullopt, route.maxStaleness};
    if (positions.primaryEpoch() == service.primaryEpoch)
        required.after = positions.positionCovering(need.startedAt - route.maxStaleness);
    const bool ownCommitCounts = need.ownCommit
                                 && need.ownCommit->primaryEpoch == service.primaryEpoch
                                 && route.consistency == Consistency::ReadYourWrites;
    if (required.after && ownCommitCounts && need.ownCommit->position > *required.after) {
        required.after = need.ownCommit->position;
        required.age =
            std::chrono::duration_cast<Milliseconds>(services.clock().now() - need.ownCommit->at);
    }
    return required;
}

EndpointCandidate describeCandidate(GatewayServices &services, const ServiceView &service,
                                    const EndpointView &endpoint, const EndpointNeed &need,
                                    const RequiredPosition &required)
{
    const LinkPool *pool = services.findPool(need.route.service, endpoint.id);
    const LinkPoolHealth health = pool ? pool->health() : LinkPoolHealth{};
    EndpointCandidate candidate;
    candidate.primary = service.primary == endpoint.id;
    candidate.usable = pool && pool->usable() && !endpoint.draining
                       && need.excluded.count(endpoint.id) == 0
                       && (!candidate.primary || services.primariesPermitted());
    candidate.expectedFresh =
        candidate.primary
        || (required.after
            && services.replicaLag(endpoint.id)
                   .expectedFresh(*required.after, required.age, services.clock().now()));
    candidate.distance = endpoint.distance;
    candidate.latency = health.latency;
    candidate.inUse = health.inUse;
    candidate.waiting = health.waiting;
    candidate.limit = health.limit;
    return candidate;
}

// Time for which an endpoint must be failing before statements for it are refused at once. Status
// queries to it continue.
constexpr Milliseconds outOfReachAfter{300};

} // namespace

std::optional<EndpointChoice> choosePrimary(GatewayServices &services, const EndpointNeed &need)
{
    const ServiceView *service = services.findService(need.route.service);
    if (!service || !service->primary || !services.primariesPermitted()
        || need.excluded.count(*service->primary) > 0)
        return std::nullopt;
    LinkPool *pool = services.findPool(need.route.service, *service->primary);
    if (!pool)
        return std::nullopt;
    const auto &closedFrom = pool->endpoint().closedFrom;
    if (closedFrom && services.clock().now() >= *closedFrom)
        return std::nullopt;
    return EndpointChoice{pool, std::nullopt, service->primaryEpoch};
}

std::optional<EndpointChoice> chooseForRead(GatewayServices &services, const EndpointNeed &need)
{
    const ServiceView *service = services.findService(need.route.service);
    if (!service)
        return std::nullopt;
    const RequiredPosition required = requirePosition(services, *service, need);
    std::vector<EndpointCandidate> candidates;
    for (const EndpointView &endpoint : service->endpoints)
        candidates.push_back(describeCandidate(services, *service, endpoint, need, required));
    auto chosen = chooseReadEndpoint(candidates);
    if (!chosen && required.after) {
        // No endpoint is expected to be fresh enough. A replica may have caught up since its lag
        // was last observed, and rejects the read as lagging if it has not.
        for (EndpointCandidate &candidate : candidates)
            candidate.expectedFresh = true;
        chosen = chooseReadEndpoint(candidates);
    }
    if (!chosen)
        return std::nullopt;
    const EndpointId &id = service->endpoints.at(*chosen).id;
    return EndpointChoice{services.findPool(need.route.service, id),
                          candidates.at(*chosen).primary ? std::nullopt : required.after,
                          service->primaryEpoch};
}

bool outOfReach(const EndpointChoice &choice, TimePoint now)
{
    const auto failingSince = choice.pool->health().failingSince;
    return failingSince && now - *failingSince >= outOfReachAfter;
}

// Under overload a statement that misses its target anyway only delays others. It is refused at
// once, so that its caller can retry.
bool waitTooLong(const EndpointChoice &choice, const DatabaseRoute &route, Milliseconds elapsed)
{
    const Milliseconds wait = choice.pool->expectedWait(route.priority);
    return wait > Milliseconds(0)
           && elapsed + wait + choice.pool->health().latency > route.targetLatency * 3 / 4;
}

} // namespace pistachiowood
