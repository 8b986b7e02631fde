#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_CONTEXT_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_CONTEXT_H

#include "gateway/gateway.h"
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

/// The traffic thread as the control thread uses it. Callbacks run in the control thread.
class TrafficPort
{
public:
    virtual ~TrafficPort() = default;
    /// The callback runs once the traffic thread obeys the view.
    virtual void setView(std::shared_ptr<const DeploymentView> view,
                         std::function<void()> obeyed) = 0;
    virtual void permitPrimaries(TimePoint until) = 0;
    /// A position that a peer learnt from the primary of that epoch.
    virtual void recordPeerPosition(const ServiceName &service, std::uint64_t primaryEpoch,
                                    PositionHistory::Sample sample) = 0;
    /// Whether this daemon asks primaries without traffic for their status.
    virtual void setProbing(bool probing) = 0;
    virtual void queryStatus(const ServiceName &service, const EndpointId &endpoint,
                             SessionStatement statement, Milliseconds timeout,
                             Gateway::StatusCallback callback) = 0;
};

struct FleetSettings
{
    VmId vm;
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> regions; ///< of every zone
    Milliseconds drainLimit{7000}; ///< after which a leaving endpoint gets no new work
    SocketAddress peerAddress; ///< where the peers reach this daemon
    std::vector<SocketAddress> seeds; ///< daemons to ask while the store is away at the start

    /// Empty for an unknown zone.
    RegionName regionOf(const ZoneName &zoneName) const
    {
        const auto found = regions.find(zoneName);
        return found == regions.end() ? RegionName() : found->second;
    }
};

/// What the parts of the control thread share: their surroundings and the copies of the platform's
/// objects, as stored and as decoded.
struct FleetContext
{
    EventLoop &loop;
    const Clock &clock; ///< also counts the time during which the machine is suspended
    RandomSource &random;
    FleetSettings settings;
    PlatformStore &store;
    PromotionService &promotions;
    PeerChannel &peers;
    TrafficPort &traffic;
    std::array<std::unique_ptr<GroupFeed>, objectGroupCount> feeds;
    std::optional<DeploymentConfiguration> configuration;
    std::map<EndpointId, EndpointEntry> endpoints;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< false once the control ended

    GroupFeed &feed(ObjectGroup group) const { return *feeds.at(static_cast<std::size_t>(group)); }
    GroupFeed &records() const { return feed(ObjectGroup::Records); }
    /// What a peer lacks of the groups. A large configuration only if the peer wants it.
    std::vector<GroupCopy> copiesFor(const PeerReport &peer) const;
    void takeCopies(const std::vector<GroupCopy> &copies) const;
    /// Changes a record; the copy holds the change before the callback runs, which is dropped once
    /// the control has ended.
    void putRecord(const std::string &name, std::optional<ResourceVersion> expected,
                   const std::string &text,
                   std::function<void(const StoreOutcome<ResourceVersion> &)> callback);
};

/// Time until a change of a record counts as not answered.
inline constexpr Milliseconds recordTimeout{1500};
/// Time until an endpoint counts as not answering a question about its status.
inline constexpr Milliseconds surveyTimeout{700};

} // namespace pistachiowood

#endif
