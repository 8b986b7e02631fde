#ifndef PISTACHIOWOOD_GATEWAY_GATEWAY_CONTEXT_H
#define PISTACHIOWOOD_GATEWAY_GATEWAY_CONTEXT_H

#include "allotments/operation_admission.h"
#include "gateway/connection_pool.h"
#include "gateway/deployment.h"
#include "gateway/position_history.h"
#include "gateway/read_choice.h"

#include <pistachiowood/clock.h>

namespace pistachiowood {

/// State of one traffic thread that its sessions share.
class GatewayContext
{
public:
    virtual ~GatewayContext() = default;

    virtual EventLoop &loop() = 0;
    /// A clock that also advances while the machine is suspended.
    virtual const Clock &clock() const = 0;
    virtual const DeploymentView &view() const = 0;
    virtual const ServiceView *findService(const ServiceName &service) const = 0;
    virtual ConnectionPool *findPool(const ServiceName &service, const EndpointId &endpoint) = 0;
    virtual const PositionHistory &positions(const ServiceName &service) = 0;
    /// Whether a read should wait because the primary's position, which decides whether a replica
    /// may serve it, is expected soon. Asks the primary for its position if nothing else does.
    virtual bool awaitPosition(const ServiceName &service) = 0;
    virtual OperationAdmission &admission() = 0;
    virtual ReplicaLag &replicaLag(const EndpointId &endpoint) = 0;
    /// Whether this daemon may use the primaries of the view now.
    virtual bool primariesPermitted() const = 0;
    /// When the last permission to use them expired; meaningful only if they may not be used.
    virtual TimePoint permissionExpiredAt() const = 0;
    /// When the first view of this daemon was published; it has had no permission before.
    virtual TimePoint firstViewAt() const = 0;
};

} // namespace pistachiowood

#endif
