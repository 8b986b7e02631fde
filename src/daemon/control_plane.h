#ifndef PISTACHIOWOOD_DAEMON_CONTROL_PLANE_H
#define PISTACHIOWOOD_DAEMON_CONTROL_PLANE_H

#include "configuration/change_tracker.h"
#include "configuration/configuration_store.h"
#include "membership/membership.h"
#include "net/event_loop.h"
#include "primary/primary_controller.h"
#include "routing/routing_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiowood {

struct ControlSettings
{
    VmId vm;
    ZoneName zone;
    RegionName region;
    SocketAddress platform;
    SocketAddress controlAddress; ///< RPC between daemons, control messages
    SocketAddress trafficAddress; ///< RPC between daemons, forwarded statements
    SocketAddress adminAddress;
    std::vector<SocketAddress> seeds; ///< control addresses of other daemons, asked at start
    ControllerSettings controller;
};

/// Work of a daemon's control thread: configuration, membership, ownership and choice of primaries.
/// Every member function runs in the loop's thread.
class ControlPlane
{
public:
    using TableHandler = std::function<void(std::shared_ptr<const RoutingTable>)>;
    using ReportHandler = std::function<void(const EndpointId &, const EndpointReport &)>;
    using ChangeCallback = std::function<void(const ChangeResult &)>;

    ControlPlane(EventLoop &loop, const Clock &clock, RandomSource &random,
                 ControlSettings settings);
    ~ControlPlane();

    /// Called with each new routing table.
    void setTableHandler(TableHandler handler);
    /// Called with the report of each answered probe.
    void setReportHandler(ReportHandler handler);

    Result<void> start();
    /// Announces that this daemon is leaving, so that others take over its endpoints.
    void leave();
    /// Fetches newer status of a service from the daemons that are responsible for it.
    void requestStatus(const ServiceName &service);

    const ConfigurationStore &store() const;
    std::vector<MemberRecord> members() const;
    const MemberRecord &self() const;
    ResourceVersion lowestAppliedVersion() const;
    std::shared_ptr<const RoutingTable> routingTable() const;
    bool platformAnswers() const;
    /// Makes one conditional change on the platform.
    void submitChange(ChangeRequest change, ChangeCallback callback);
    /// This daemon's assessment of the service's primary; nullopt when it is not responsible.
    std::optional<Assessment> assessService(const ServiceName &service) const;
    /// Daemons responsible for the service, ordered by rank.
    std::vector<VmId> responsibleDaemons(const ServiceName &service) const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
