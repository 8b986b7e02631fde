#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_PEERS_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_PEERS_H

#include "takeover/fleet_context.h"
#include "takeover/fleet_members.h"
#include "takeover/primary_permission.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiowood {

/// Who reaches a primary, as this daemon and its peers see it.
struct PrimaryOpinion
{
    std::optional<TimePoint> failingSince; ///< as seen from this daemon
    unsigned asked = 0; ///< peers that exist
    unsigned reaching = 0; ///< peers that reached it lately
    unsigned failing = 0; ///< peers that did not reach it
};

/// The other daemons: who they are, what they report, and the permission to use primaries, which
/// is confirmed by the store or by them.
class FleetPeers
{
public:
    struct Hooks
    {
        /// Brings the newest records to the traffic thread.
        std::function<void()> flushView;
        /// Whether no replacement of this daemon is under way or may still be announced.
        std::function<bool(TimePoint now)> mayPromise;
        /// A peer has answered.
        std::function<void()> reportReceived;
    };

    FleetPeers(FleetContext &context, Hooks hooks);

    /// Daemons by the member records, without this one, and whether it has a record itself.
    void setMembers(const std::map<VmId, DaemonRecord> &present,
                    const std::map<VmId, DaemonRecord> &removed, bool registered);
    FleetMembers &members() { return members_; }
    /// The store has shown that the records hold every change made before the time.
    void confirmByStore(TimePoint at);
    /// The traffic thread obeys the records of that version.
    void noteObeyed(ResourceVersion version) { obeyedRecords_ = std::max(obeyedRecords_, version); }
    void handleEvidence(std::vector<PrimaryReachability> evidence);
    void tick(TimePoint now);

    /// Answers the report of a peer.
    PeerReport handlePeerReport(const PeerReport &report);
    void askAll() { exchangeWithAll(false); }

    /// Whether this daemon has promised not to announce or promote.
    bool promised(TimePoint now) const { return now < promisedUntil_; }
    bool mayAnnounce(TimePoint now) const;
    /// Whether every daemon that may use a primary obeys the records of that version.
    bool allWithdrawn(ResourceVersion version) const;
    /// Whether at least half of them do, whichever of the lately known members the others count.
    bool halfWithdrawn(ResourceVersion version) const;
    PrimaryOpinion opinionOn(const ServiceName &service, const EndpointId &endpoint) const;

private:
    struct PeerState
    {
        std::optional<PeerFacts> report;
        TimePoint receivedAt; ///< of the report, or of the member's record
        bool exchanging = false;
        unsigned failures = 0; ///< exchanges in a row without an answer
        bool removing = false;
    };
    /// How this daemon keeps its permission to use primaries.
    struct Confirmation
    {
        bool checking = false; ///< a call to the store is open
        std::size_t next = 0; ///< index of the confirmer to ask
        unsigned misses = 0; ///< answers without a recent confirmation
        TimePoint lastAsked{};
        TimePoint lastObjects{}; ///< last check of configuration and endpoints
        TimePoint selfUntil{}; ///< asks the store itself until then
    };

    /// Collects the promises of all members.
    struct PromiseRound
    {
        TimePoint startedAt;
        std::size_t asked = 0;
        std::size_t promised = 0;
    };

    void confirmRecords(TimePoint at);
    void noteStoreConfirmation(TimePoint at);
    bool obeys(const VmId &vm, ResourceVersion version) const;
    void chooseFeedsToWatch(TimePoint now);
    void logPermission(TimePoint now);
    void registerSelf();
    void tickConfirmation(TimePoint now);
    void checkRecords(TimePoint now);
    void checkObjects(ObjectGroup group);
    void askConfirmer(TimePoint now);
    void askStore(TimePoint now);
    bool answersLately(const VmId &vm, TimePoint now) const;
    const VmId &collector() const;
    void tickPeers(TimePoint now);
    void removeLostMembers(TimePoint now);
    void removeMember(const VmId &vm);
    void deleteRemoved(TimePoint now);
    void tickConfiguration(TimePoint now);
    void exchangeWithAll(bool wantPromise);
    void exchangeWithSome();
    void exchangeWithMember(const VmId &vm);
    void exchangeWith(const VmId &vm, const SocketAddress &address, bool wantPromise,
                      std::shared_ptr<PromiseRound> round);
    void countPromise(PromiseRound &round);
    PeerReport makeReport() const;
    void takeReport(const PeerReport &report, TimePoint sentAt, bool answer);
    void probeFor(const PeerReport &report);
    bool mayPromise(TimePoint now) const;
    const PrimaryReachability *ownEvidence(const ServiceName &service) const;

    FleetContext &context_;
    Hooks hooks_;
    FleetMembers members_;
    Confirmation confirmation_;
    bool registering_ = false;
    TimePoint nextRegistration_{}; ///< after a failed one
    std::optional<TimePoint> startedAt_;
    TimePoint nextOwnQuestion_{}; ///< to the store, while the confirmers answer without news
    std::optional<TimePoint> configurationMissedSince_; ///< a peer has a newer one since
    TimePoint nextConfigurationFetch_{};
    bool fetchingConfiguration_ = false;
    std::optional<TimePoint> registeredAt_; ///< set if this life created the member record
    std::map<VmId, PeerState> peerStates_;
    std::optional<TimePoint> storeConfirmedAt_; ///< by this daemon's own question or a peer's
    std::map<ServiceName, PrimaryReachability> evidence_;
    PrimaryPermission permission_;
    std::optional<TimePoint> sentPermission_;
    bool permissionLapsed_ = false; ///< as the log says
    bool recordsReachable_ = true; ///< the last question about the records had an answer
    TimePoint promisedUntil_{};
    ResourceVersion obeyedRecords_;
    TimePoint lastExchange_{};
    TimePoint lastLossCheck_{};
};

} // namespace pistachiowood

#endif
