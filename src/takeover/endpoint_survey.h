#ifndef PISTACHIOWOOD_TAKEOVER_ENDPOINT_SURVEY_H
#define PISTACHIOWOOD_TAKEOVER_ENDPOINT_SURVEY_H

#include "takeover/fleet_context.h"

#include <functional>
#include <map>
#include <vector>

namespace pistachiowood {

using EndpointStatuses = std::map<EndpointId, ReplicationStatus>;

/// Queries the replication status of endpoints of a service. The callback gets the answers that
/// came in time; it does not run after the FleetControl is destroyed.
void surveyEndpoints(FleetContext &context, const ServiceName &service,
                     const std::vector<EndpointId> &endpoints,
                     std::function<void(const EndpointStatuses &)> callback);

/// Whether the statuses of all endpoints of a service show that this one is its only primary: all
/// have answered, and none is of a newer term.
bool isOnlyPrimary(const EndpointId &endpoint, const std::vector<EndpointId> &endpoints,
                   const EndpointStatuses &statuses);

} // namespace pistachiowood

#endif
