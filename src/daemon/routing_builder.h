#ifndef PISTACHIOWOOD_DAEMON_ROUTING_BUILDER_H
#define PISTACHIOWOOD_DAEMON_ROUTING_BUILDER_H

#include "configuration/configuration_store.h"
#include "membership/membership.h"
#include "membership/owner_table.h"
#include "routing/routing_table.h"

#include <memory>
#include <vector>

namespace pistachiowood {

/// Combines configuration, members and ownership into what the traffic thread needs.
std::shared_ptr<const RoutingTable> buildRoutingTable(const ConfigurationView &view,
                                                      const std::vector<MemberRecord> &members,
                                                      OwnerTable &owners);

} // namespace pistachiowood

#endif
