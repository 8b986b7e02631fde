#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_PEERS_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_PEERS_H

#include "takeover/exchange_pacing.h"
#include "takeover/fleet_context.h"
#include "takeover/fleet_members.h"
#include "takeover/primary_permission.h"
#include "takeover/records_recovery.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiowood {

/// Reachability of a primary as this daemon and its peers see it.
struct PrimaryReachabilitySummary
{
    std::optional<TimePoint> failingSince; ///< as seen from this daemon
    unsigned peerCount = 0; ///< peers, whether they have reported or not
    unsigned peersHeard = 0; ///< peers with a recent report
    unsigned peersReaching = 0; ///< peers with a recent reply from it
    unsigned peersFailing = 0; ///< peers that it does not reply to
    std::optional<TermPosition> newestPosition; ///< highest position that it reported to any
};

/// Exchanges reports with the other daemons, maintains this daemon's member record, and renews the
/// permission to use primaries, which the store or the other daemons confirm.
class FleetPeers
{
public:
    struct Hooks
    {
        /// Sends a pending view with the newest records to the traffic thread.
        std::function<void()> flushView;
        /// Whether this daemon neither runs a replacement nor has an announcement whose outcome is
        /// unknown.
        std::function<bool(TimePoint now)> mayPromise;
        /// Runs after each answer of a peer.
        std::function<void()> reportReceived;
    };

    FleetPeers(FleetContext &context, Hooks hooks);

    /// Sets the daemons of the member records, without this one, and whether this one is
    /// registered.
    void setMembers(const std::map<VmId, DaemonRecord> &present,
                    const std::map<VmId, DaemonRecord> &removed, bool registered);
    FleetMembers &members() { return members_; }
    /// Called when the store has confirmed that the local records hold every change made before
    /// `at`.
    void confirmByStore(TimePoint at);
    /// Called when the traffic thread has applied the records of that version.
    void noteAppliedRecords(StoreVersion version)
    {
        appliedRecords_ = std::max(appliedRecords_, version);
    }
    void handleReachability(std::vector<PrimaryReachability> reachability);
    void tick(TimePoint now);

    /// Takes the report of a peer and returns the answer.
    PeerReport handlePeerReport(const PeerReport &report);
    /// Exchanges reports with all peers now.
    void requestReports() { exchangeWithAll(false); }

    /// Since when the store has confirmed the records to this daemon or a peer without a break;
    /// nullopt during a break.
    std::optional<TimePoint> storeAnswersSince(TimePoint now) const;

    /// What this daemon knows of the records of before the store was restored.
    FormerRecords formerRecords() const;

    /// Whether a promise is in force that this daemon neither announces a replacement nor promotes.
    bool promised(TimePoint now) const { return now < promisedUntil_; }
    /// Whether this daemon may announce a replacement.
    bool mayAnnounce(TimePoint now) const;
    /// Whether every daemon that may use a primary has applied the records of that version.
    bool allApplied(StoreVersion version) const;
    /// Whether at least half of the daemons have, counted as FleetMembers::halfMeet() does.
    bool halfApplied(StoreVersion version) const;
    PrimaryReachabilitySummary reachabilityOf(const ServiceName &service,
                                              const EndpointId &endpoint) const;

private:
    struct PeerState
    {
        std::optional<PeerStatus> report;
        TimePoint receivedAt; ///< when the report, or else the member's record, was received
        bool exchanging = false; ///< an exchange with the peer is in progress
        TimePoint askedAt{}; ///< when the last exchange was started
        unsigned failures = 0; ///< exchanges in a row without an answer
        bool removing = false; ///< a change that removes the member record is in progress
        StoreEra mergedEra; ///< era in which this daemon took over the peer's records
    };
    /// State of the queries that confirm this daemon's records.
    struct Confirmation
    {
        bool checking = false; ///< a check by the store is in progress
        std::size_t nextConfirmer = 0; ///< index of the confirmer to ask, modulo their number
        unsigned misses = 0; ///< queries in a row that found no fresh confirmation
        TimePoint lastQuery{}; ///< last query to the store or a confirmer
        TimePoint lastObjectsCheck{}; ///< last check of configuration and endpoints
        TimePoint queryStoreUntil{}; ///< this daemon asks the store itself until then
    };

    /// One request to all members for their promises.
    struct PromiseRound
    {
        TimePoint startedAt;
        std::size_t asked = 0;
        std::size_t promised = 0;
        std::size_t confirmed = 0; ///< those of processes to which the store confirmed the records
    };

    /// What this daemon remembers of a request until it is answered.
    struct SentRequest
    {
        TimePoint at;
        StoreEra era; ///< of this daemon's records
        bool acceptsCopies = false;
        std::shared_ptr<PromiseRound> round;
    };

    void renewPermission(TimePoint at);
    void noteStoreConfirmation(TimePoint at);
    bool hasMerged(const VmId &vm) const;
    bool hasApplied(const VmId &vm, StoreVersion version) const;
    void chooseFeedsToWatch(TimePoint now);
    void logPermission(TimePoint now);
    void registerSelf();
    void confirmRecordsIfDue(TimePoint now);
    void checkRecords(TimePoint now);
    void checkGroup(ObjectGroup group);
    void queryConfirmer(TimePoint now);
    void queryStore(TimePoint now);
    bool hasFreshReport(const VmId &vm, TimePoint now) const;
    const VmId &promiseCollector() const;
    void exchangeIfDue(TimePoint now);
    void removeLostMembers(TimePoint now);
    void removeMember(const VmId &vm);
    void deleteRemoved(TimePoint now);
    void fetchNewerConfiguration(TimePoint now);
    void exchangeWithAll(bool wantPromise);
    void exchangeWithSome();
    void exchangeWithMember(const VmId &vm);
    void exchangeWith(const VmId &vm, const SocketAddress &address, bool wantPromise,
                      std::shared_ptr<PromiseRound> round);
    void countPromise(PromiseRound &round, bool confirmed);
    /// Whether the store has confirmed the records since this process was started, so that they
    /// hold every announcement that its former process acknowledged.
    bool confirmedSinceStart() const { return storeConfirmedAt_ >= createdAt_; }
    PeerReport makeReport() const;
    void handleAnswer(const VmId &vm, const PeerReport &answer, const SentRequest &request,
                      bool late);
    bool isOfRegion(const VmId &vm) const;
    bool isRegionConfirmer(const VmId &vm) const;
    void preferRegion(std::vector<VmId> &vms) const;
    bool holdsNewer(const PeerStatus &peer) const;
    ExchangePacing::Holders knownHolders() const;
    bool acceptsCopiesFrom(const VmId &vm, TimePoint now);
    bool admitsCopy(const VmId &vm, const GroupCopy &copy, bool declined);
    std::vector<GroupCopy> copiesFor(const PeerReport &peer);
    void noteExchangeEnd(ExchangeEnd end);
    VmId chooseOther(TimePoint now);
    bool isOfLaterEra(const PeerStatus &peer) const;
    void fetchLaterEra(TimePoint now);
    void takeReport(const PeerReport &report, TimePoint sentAt, bool answer);
    void probeFailingPrimaries(const PeerReport &report);
    bool mayPromise(TimePoint now) const;
    const PrimaryReachability *findOwnReachability(const ServiceName &service) const;

    FleetContext &context_;
    Hooks hooks_;
    FleetMembers members_;
    ExchangePacing pacing_; ///< applies to large fleets only
    ExchangePacing::Holders holders_; ///< as of holdersAt_
    TimePoint holdersAt_{};
    Confirmation confirmation_;
    const TimePoint createdAt_;
    bool registering_ = false;
    TimePoint nextRegistration_{}; ///< earliest time of the next attempt
    std::optional<TimePoint> startedAt_; ///< time of the first tick
    TimePoint nextStoreQuery_{}; ///< earliest next check by the store in a large fleet
    std::optional<TimePoint> configurationOutdatedSince_; ///< a peer has had a newer one since
    TimePoint nextConfigurationFetch_{};
    bool fetchingConfiguration_ = false;
    bool fetchingEra_ = false; ///< an exchange that asks for a later era is in progress
    TimePoint nextEraFetch_{};
    std::optional<TimePoint> registeredAt_; ///< unset if the record of an earlier run was valid
    std::map<VmId, PeerState> peerStates_;
    std::optional<TimePoint> storeConfirmedAt_; ///< to this daemon or to a peer
    TimePoint storeAnswersSince_{}; ///< of the last confirmations without a break
    StoreEra confirmedEra_; ///< see PeerStatus
    std::map<ServiceName, PrimaryReachability> ownReachability_;
    PrimaryPermission permission_;
    std::optional<TimePoint> sentExpiry_; ///< expiry last sent to the traffic thread
    bool lapseLogged_ = false; ///< the last logged event is PermissionLapsed
    bool recordsReachable_ = true; ///< the store answered the last check of the records
    TimePoint promisedUntil_{};
    StoreVersion appliedRecords_; ///< version that the traffic thread has applied
    TimePoint lastExchange_{};
    TimePoint lastLostMemberCheck_{}; ///< last search for lost members
};

} // namespace pistachiowood

#endif
