#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_CONTROL_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_CONTROL_H

#include "gateway/gateway.h"
#include "takeover/duty_lease.h"
#include "takeover/group_feed.h"
#include "takeover/peer_report.h"
#include "takeover/primary_permission.h"
#include "takeover/primary_replacement.h"

#include <functional>
#include <map>
#include <memory>
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
};

/// Control thread of a daemon: copies of the platform's objects, the permission to use primaries,
/// exchange with peers, and the replacement of primaries.
class FleetControl
{
public:
    FleetControl(EventLoop &loop, const Clock &clock, RandomSource &random, FleetSettings settings,
                 PlatformStore &store, PromotionService &promotions, PeerChannel &peers,
                 TrafficPort &traffic);
    ~FleetControl();

    void start();
    /// Begins no further replacement of a primary. The member record stays: the daemon uses
    /// primaries until its end, and most restart at once.
    void leave();

    /// Answers the report of a peer.
    PeerReport handlePeerReport(const PeerReport &report);
    void handleEvidence(std::vector<PrimaryEvidence> evidence);
    /// True once the configuration and an endpoint are known.
    bool ready() const;

private:
    struct PeerState
    {
        std::optional<PeerReport> report;
        TimePoint receivedAt; ///< of the report, or of the member's record
        bool exchanging = false;
        unsigned failures = 0; ///< exchanges in a row without an answer
        bool removing = false;
    };
    /// How this daemon keeps its permission to use primaries.
    struct Confirmation
    {
        std::vector<VmId> confirmers; ///< daemons of the region that ask the store for the others
        bool self = true; ///< this daemon is one of them
        bool checking = false; ///< a call to the store is open
        std::size_t next = 0; ///< index of the confirmer to ask
        unsigned misses = 0; ///< answers without a recent confirmation
        TimePoint lastAsked{};
        TimePoint lastObjects{}; ///< last check of configuration and endpoints
        TimePoint selfUntil{}; ///< asks the store itself until then
    };
    struct ServiceState
    {
        std::unique_ptr<PrimaryReplacement> replacement;
        std::optional<PrimaryRecord> record;
        ResourceVersion recordVersion;
        TimePoint recordSince{};
        TimePoint missingSince{}; ///< a service without a record
        bool creating = false;
        bool waitsForDuty = false;
    };
    struct PromiseRound
    {
        TimePoint startedAt;
        std::size_t asked = 0;
        std::size_t promised = 0;
        std::size_t answered = 0;
    };

    void handleConfiguration();
    void handleEndpoints();
    void handleRecords();
    void confirmRecords(TimePoint at);
    void publishView();
    void scheduleView();
    void tick();
    void chooseConfirmers();
    void tickConfirmation(TimePoint now);
    void checkRecords(TimePoint now);
    void checkObjects(ObjectGroup group);
    void askConfirmer(TimePoint now);
    void tickPeers(TimePoint now);
    void removeLostMembers(TimePoint now);
    void removeMember(const VmId &vm);
    void exchangeWithAll(bool wantPromise);
    void exchangeWithSome();
    void exchangeWith(const VmId &vm, const SocketAddress &address, bool wantPromise,
                      std::shared_ptr<PromiseRound> round);
    PeerReport makeReport() const;
    void probeFor(const PeerReport &report);
    void takeReport(const PeerReport &report, TimePoint sentAt, bool answer);
    std::vector<GroupCopy> copiesFor(const PeerReport &peer) const;
    void registerSelf();
    void tickService(const ServiceLimits &service, ServiceState &state);
    void stepSoon(const ServiceName &service);
    void createRecord(const ServiceLimits &service, ServiceState &state);
    ReplacementInput collectInput(const ServiceLimits &service, const ServiceState &state) const;
    void execute(const ServiceName &service, const ReplacementCommand &command);
    void logStep(const ServiceName &service, const ReplacementCommand &command) const;
    void takeDuty();
    void putPrimaryRecord(const PrimaryRecord &record, ResourceVersion expected,
                          std::function<void(StoreOutcome<ResourceVersion>)> callback);
    void survey(const ServiceName &service, const std::vector<EndpointId> &endpoints);
    void promote(const ServiceName &service, const EndpointId &endpoint);
    PrimaryReplacement *replacementOf(const ServiceName &service);
    unsigned rankFor(const ServiceName &service) const;
    bool allWithdrawn(ResourceVersion version) const;
    bool mayPromise(TimePoint now) const;
    unsigned distanceTo(const ZoneName &zone) const;
    const PrimaryEvidence *ownEvidence(const ServiceName &service) const;

    EventLoop &loop_;
    const Clock &clock_;
    RandomSource &random_;
    FleetSettings settings_;
    PlatformStore &store_;
    PromotionService &promotions_;
    PeerChannel &peers_;
    TrafficPort &traffic_;
    std::array<std::unique_ptr<GroupFeed>, objectGroupCount> feeds_;
    std::optional<DeploymentConfiguration> configuration_;
    std::map<EndpointId, EndpointEntry> endpoints_;
    std::map<EndpointId, TimePoint> drainingSince_; ///< when this daemon learnt that it leaves
    std::map<VmId, DaemonRecord> members_; ///< without this daemon
    std::vector<VmId> regionMembers_; ///< with this daemon, in the order of their weight
    Confirmation confirmation_;
    bool registered_ = false;
    bool registering_ = false;
    bool leaving_ = false;
    std::optional<TimePoint> registeredAt_; ///< set if this life created the member record
    std::map<VmId, PeerState> peerStates_;
    std::optional<TimePoint> memberRemovedAt_; ///< when the last member's record disappeared
    std::map<ServiceName, ServiceState> services_;
    std::map<ServiceName, PrimaryEvidence> evidence_;
    PrimaryPermission permission_;
    std::optional<TimePoint> sentPermission_;
    DutyLease duty_;
    bool takingDuty_ = false;
    bool recordsReachable_ = true; ///< the last question about the records had an answer
    TimePoint promisedUntil_{};
    TimePoint announcementUncertainUntil_{};
    ResourceVersion obeyedRecords_;
    bool viewScheduled_ = false;
    unsigned viewsOnTheWay_ = 0;
    TimePoint lastExchange_{};
    TimePoint lastLossCheck_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
