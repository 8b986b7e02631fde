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

/// Combines configuration, members and ownership into what the traffic thread needs. Routes of
/// services whose objects, owners and addresses are unchanged are shared with the previous table.
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

    std::shared_ptr<const ConfigurationView> view_;
    std::shared_ptr<const RoutingTable> table_;
    std::uint64_t ownersVersion_ = 0;
};

} // namespace pistachiowood

#endif
