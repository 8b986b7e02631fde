#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_CONTEXT_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_CONTEXT_H

#include "gateway/gateway.h"
#include "takeover/endpoint_registry.h"
#include "takeover/group_feed.h"
#include "takeover/peer_report.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiowood {

/// Interface of the control thread to the traffic thread. Callbacks run in the control thread.
class TrafficPort
{
public:
    virtual ~TrafficPort() = default;
    /// Replaces the view. The callback runs once the traffic thread has applied it.
    virtual void setView(std::shared_ptr<const DeploymentView> view,
                         std::function<void()> applied) = 0;
    /// Permits statements at primaries until that time.
    virtual void permitPrimaries(TimePoint until) = 0;
    /// Records a log position that the primary of that epoch reported to a peer.
    virtual void recordPeerPosition(const ServiceName &service, std::uint64_t primaryEpoch,
                                    PositionHistory::Sample sample) = 0;
    /// Sets whether this daemon queries the status of primaries that have no traffic.
    virtual void setProbing(bool probing) = 0;
    /// Sends a Status or Demote statement. The callback gets nullopt without an answer in time.
    virtual void queryStatus(const ServiceName &service, const EndpointId &endpoint,
                             SessionStatement statement, Milliseconds timeout,
                             Gateway::StatusCallback callback) = 0;
};

/// Location and address of this daemon, and settings of its control thread.
struct FleetSettings
{
    VmId vm;
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> regions; ///< region of every zone
    Milliseconds drainLimit{7000}; ///< time until a draining endpoint gets no statements
    SocketAddress peerAddress; ///< address at which peers reach this daemon
    std::vector<SocketAddress> seeds; ///< daemons to ask if the store is unreachable at the start
    std::optional<unsigned> linkRate; ///< of this VM's link, Mbit/s

    /// Region of the zone; empty if the zone is unknown.
    RegionName regionOf(const ZoneName &zoneName) const
    {
        const auto found = regions.find(zoneName);
        return found == regions.end() ? RegionName() : found->second;
    }
};

/// State that the parts of the control thread share: the interfaces that they use and the copies of
/// the platform's objects, as stored and as decoded.
struct FleetContext
{
    EventLoop &loop;
    const Clock &clock; ///< must also count the time while the VM is suspended
    RandomSource &random;
    FleetSettings settings;
    PlatformStore &store;
    PromotionService &promotions;
    PeerChannel &peers;
    TrafficPort &traffic;
    std::array<std::unique_ptr<GroupFeed>, objectGroupCount> feeds;
    std::optional<DeploymentConfiguration> configuration;
    EndpointRegistry endpoints;
    std::optional<StoreEra> recoveredEra; ///< newest era whose records are complete
    /// False once the FleetControl is destroyed; checked by callbacks that may run later.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    using CopyFilter = std::function<bool(const GroupCopy &copy)>;
    using RecordCallback = std::function<void(const StoreOutcome<StoreVersion> &)>;

    GroupFeed &feed(ObjectGroup group) const { return *feeds.at(static_cast<std::size_t>(group)); }
    GroupFeed &records() const { return feed(ObjectGroup::Records); }
    /// Whether the records are complete, in particular after the store was restored.
    bool recordsRecovered() const
    {
        return records().loaded() && recoveredEra == records().version().era;
    }
    /// Returns copies of the groups of which the peer has an older version. Leaves out a large
    /// configuration unless the peer requests it, and with `eraOnRequest` also groups of another
    /// era than the peer's.
    /// Copies that `admits` rejects are left out.
    std::vector<GroupCopy> copiesFor(const PeerReport &peer, bool eraOnRequest,
                                     const CopyFilter &admits) const;
    /// Passes copies from a peer to the feeds of their groups.
    void applyCopies(const std::vector<GroupCopy> &copies) const;
    /// Ids of the endpoints of the service.
    std::vector<EndpointId> endpointsOf(const ServiceName &service) const;
    /// Writes a record to the store. The local copy holds an accepted change before the callback
    /// runs. A change of which it is not known whether the store has kept it is reported as
    /// unanswered. The callback does not run after the FleetControl is destroyed.
    void putRecord(const std::string &name, std::optional<StoreVersion> expected,
                   const std::string &text, RecordCallback callback);
    /// Generation for the next change of the record.
    std::uint64_t nextGeneration(const std::string &name) const;
};

/// Timeout of a write to a record.
inline constexpr Milliseconds recordWriteTimeout{1500};
/// Timeout of a status query to an endpoint.
inline constexpr Milliseconds statusQueryTimeout{700};

} // namespace pistachiowood

#endif
