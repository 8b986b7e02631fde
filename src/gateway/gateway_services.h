#ifndef PISTACHIOWOOD_GATEWAY_GATEWAY_SERVICES_H
#define PISTACHIOWOOD_GATEWAY_GATEWAY_SERVICES_H

#include "gateway/deployment.h"
#include "gateway/link_pool.h"
#include "gateway/position_history.h"
#include "gateway/read_choice.h"

#include <pistachiowood/clock.h>

namespace pistachiowood {

/// What the sessions of one traffic thread share.
class GatewayServices
{
public:
    virtual ~GatewayServices() = default;

    virtual EventLoop &loop() = 0;
    /// Also counts the time during which the machine is suspended.
    virtual const Clock &clock() const = 0;
    virtual const DeploymentView &view() const = 0;
    virtual const ServiceView *findService(const ServiceName &service) const = 0;
    virtual LinkPool *findPool(const ServiceName &service, const EndpointId &endpoint) = 0;
    virtual const PositionHistory &positions(const ServiceName &service) = 0;
    virtual ReplicaLag &replicaLag(const EndpointId &endpoint) = 0;
    /// Whether the primaries of the view may be used now.
    virtual bool primariesPermitted() const = 0;
    /// Time since which they may not be used; only without a permission.
    virtual TimePoint permissionLapsedAt() const = 0;
};

} // namespace pistachiowood

#endif
