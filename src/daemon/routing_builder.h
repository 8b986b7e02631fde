#ifndef PISTACHIOWOOD_DAEMON_ROUTING_BUILDER_H
#define PISTACHIOWOOD_DAEMON_ROUTING_BUILDER_H

#include "configuration/configuration_store.h"
#include "membership/membership.h"
#include "membership/owner_table.h"
#include "routing/routing_table.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace pistachiowood {

/// Builds the routing table of the traffic thread from configuration, members and ownership. Tables
/// share the routes of services whose objects, owners and addresses have not changed.
class RoutingBuilder
{
public:
    std::shared_ptr<const RoutingTable> build(std::shared_ptr<const ConfigurationView> view,
                                              const std::vector<MemberRecord> &members,
                                              OwnerTable &owners);

private:
    std::shared_ptr<const ServiceRoutes> findUnchanged(const ConfigurationView &view,
                                                       const ServiceSpec &service,
                                                       const RoutingTable &next, bool ownersChanged,
                                                       OwnerTable &owners) const;

    std::shared_ptr<const ConfigurationView> previousView_;
    std::shared_ptr<const RoutingTable> previousTable_;
    std::uint64_t previousOwnersVersion_ = 0;
};

} // namespace pistachiowood

#endif
