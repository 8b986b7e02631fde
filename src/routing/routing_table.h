#ifndef PISTACHIOWOOD_ROUTING_ROUTING_TABLE_H
#define PISTACHIOWOOD_ROUTING_ROUTING_TABLE_H

#include "configuration/objects.h"
#include "sessions/term_history.h"

#include <map>
#include <memory>
#include <vector>

namespace pistachiowood {

/// One endpoint and the daemon that owns its connections.
struct EndpointRoute
{
    EndpointSpec spec;
    VmId owner; ///< empty when no daemon is known to be live
    SocketAddress ownerAddress; ///< traffic RPC of the owner
};

/// What the traffic thread knows of one service.
struct ServiceRoutes
{
    ServiceSpec spec;
    std::uint32_t teamWeight = 1;
    Term term;
    EndpointId primary; ///< empty while the service has no known primary
    TermHistory history;
    std::vector<EndpointRoute> endpoints;

    const EndpointRoute *findEndpoint(const EndpointId &id) const
    {
        for (const EndpointRoute &route : endpoints) {
            if (route.spec.id == id)
                return &route;
        }
        return nullptr;
    }
};

/// Immutable snapshot that the control thread publishes to the traffic thread.
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
