#ifndef PISTACHIOWOOD_ROUTING_ROUTING_TABLE_H
#define PISTACHIOWOOD_ROUTING_ROUTING_TABLE_H

#include "configuration/objects.h"
#include "configuration/selector.h"
#include "sessions/term_history.h"

#include <map>
#include <memory>
#include <vector>

namespace pistachiowood {

/// One endpoint and the daemon that owns its connections.
struct EndpointRoute
{
    EndpointSpec spec;
    VmId owner; ///< empty when no daemon is eligible
    SocketAddress ownerAddress; ///< traffic RPC of the owner
};

/// ReadRule with parsed selectors.
struct ReadPolicy
{
    Selector sessions;
    Selector endpoints;
    Milliseconds defaultMaxAge{10000};
};

/// Routing data of one service.
struct ServiceRoutes
{
    ServiceSpec spec;
    std::uint32_t teamWeight = 1;
    std::vector<ReadPolicy> readPolicies;
    Term term;
    EndpointId primary; ///< empty while the primary is unknown
    TermHistory history;
    std::vector<EndpointRoute> endpoints;

    /// Returns the first policy that matches the session's labels, or null.
    const ReadPolicy *findReadPolicy(const Labels &sessionLabels) const
    {
        for (const ReadPolicy &policy : readPolicies) {
            if (policy.sessions.matches(sessionLabels))
                return &policy;
        }
        return nullptr;
    }

    const EndpointRoute *findEndpoint(const EndpointId &id) const
    {
        for (const EndpointRoute &route : endpoints) {
            if (route.spec.id == id)
                return &route;
        }
        return nullptr;
    }
};

/// Immutable snapshot of all routing data. The control thread publishes it to the traffic thread.
struct RoutingTable
{
    ResourceVersion version;
    std::map<ServiceName, std::shared_ptr<const ServiceRoutes>> services;
    std::map<VmId, SocketAddress> daemons; ///< traffic RPC of the live daemons

    std::shared_ptr<const ServiceRoutes> findService(const ServiceName &name) const
    {
        const auto found = services.find(name);
        return found == services.end() ? nullptr : found->second;
    }
};

} // namespace pistachiowood

#endif
