#ifndef PISTACHIOWOOD_TAKEOVER_PRIMARY_REPLACEMENT_H
#define PISTACHIOWOOD_TAKEOVER_PRIMARY_REPLACEMENT_H

#include "takeover/platform_store.h"
#include "takeover/primary_choice.h"
#include "takeover/records.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace pistachiowood {

/// State that a replacement decides from; collected anew for each step.
struct ReplacementInput
{
    TimePoint now;
    std::optional<PrimaryRecord> record;
    StoreVersion recordVersion;
    TimePoint recordSince; ///< when this daemon first saw the record's version
    std::vector<ReplacementCandidate> candidates; ///< registered endpoints of the service
    bool registrationsCurrent = false; ///< an endpoint without a registration has failed or left
    std::optional<TimePoint> primaryFailingSince; ///< as seen from this daemon
    unsigned peersReaching = 0; ///< peers that recently had an answer from the primary
    unsigned peersFailing = 0; ///< peers that recently had none
    unsigned peerCount = 0; ///< all peers, whether they answered or not
    unsigned peersHeard = 0; ///< peers with a recent report, about this primary or not
    bool announcedByThisRun = false; ///< an announcement in force is of this run of this daemon
    bool mayAnnounce = false; ///< no promise to a peer forbids announcements
    bool leaseHeld = false;
    bool leaseAvailable = false;
    std::uint64_t leaseToken = 0; ///< fencing token of the lease that is held
    /// Every member has acknowledged the announcement and no longer uses the primary.
    bool allAcknowledged = false;
    bool halfAcknowledged = false; ///< at least half have; the others are no majority
    unsigned rank = 0; ///< position in the order in which the daemons act
    /// This daemon has known the members for the longest lifetime of a permission.
    bool membershipEstablished = true;
    unsigned syncReplicas = 0;
    std::optional<TermInForce> newest; ///< newest term in force that this daemon knows of
    /// Endpoints whose log may be gone; see PrimaryEvidence.
    std::map<EndpointId, std::optional<TermPosition>> lostLogs;
};

struct AcquireLeaseCommand
{
};
/// Exchanges reports with all peers.
struct AskPeersCommand
{
};
/// Stores the record that tells the daemons to stop using the primary.
struct AnnounceCommand
{
    PrimaryRecord record;
};
/// Queries the replication status of the endpoints.
struct SurveyCommand
{
    std::vector<EndpointId> endpoints;
};
/// Makes the old primary a replica, which ends its log.
struct DemoteCommand
{
    EndpointId endpoint;
    Term term;
};
struct PromoteCommand
{
    EndpointId endpoint;
    bool olderTerm = false; ///< its log is of an older term than the newest one in force
};
/// Stores the record of the new primary.
struct PublishCommand
{
    PrimaryRecord record;
};
using ReplacementCommand =
    std::variant<AcquireLeaseCommand, AskPeersCommand, AnnounceCommand, SurveyCommand,
                 DemoteCommand, PromoteCommand, PublishCommand>;

/// Replaces the primary of one service: decides when to do so, announces it, waits until no daemon
/// may use the old primary, promotes the endpoint that choosePrimary() names and publishes it.
/// Performs no I/O: step() returns the command to execute, and the caller passes its result to the
/// matching handler.
class PrimaryReplacement
{
public:
    enum class Stage {
        Monitoring,
        AcquiringLease,
        Announcing,
        AwaitingAcknowledgements,
        Surveying,
        Demoting,
        Promoting,
        Verifying,
        Publishing
    };

    PrimaryReplacement(ServiceName service, VmId self);

    /// Returns the next command, if any. At most one command is open at a time, except
    /// AskPeersCommand, which has no result.
    std::optional<ReplacementCommand> step(const ReplacementInput &input);

    void handleLeaseResult(bool acquired, TimePoint now);
    void handleAnnounced(std::optional<StoreVersion> version, TimePoint now);
    void handleSurvey(const std::map<EndpointId, ReplicationStatus> &statuses, TimePoint now);
    void handleDemoted(std::optional<ReplicationStatus> status, TimePoint now);
    void handlePromoted(PromotionOutcome outcome, TimePoint now);
    void handlePublished(bool published, TimePoint now);
    /// Forgets what the endpoint answered: its log may be gone since.
    void handleLostLog(const EndpointId &endpoint);

    Stage stage() const { return stage_; }
    /// Why an announced replacement has not chosen a primary yet.
    ChoiceWait wait() const { return wait_; }
    /// Whether this daemon may have announced a replacement that it has not finished.
    bool announced() const
    {
        return stage_ != Stage::Monitoring && stage_ != Stage::AcquiringLease;
    }

private:
    enum class Reason {
        None,
        Unfinished, ///< a replacement is announced but not published
        Planned, ///< the primary drains and another endpoint may take its place
        Failed, ///< the primary does not answer, or its registration is gone
    };

    Reason findReason(const ReplacementInput &input) const;
    std::optional<ReplacementCommand> monitor(const ReplacementInput &input);
    std::optional<ReplacementCommand> acquireLease(const ReplacementInput &input);
    std::optional<ReplacementCommand> announce(const ReplacementInput &input);
    bool successorKeepsUp(const ReplacementInput &input);
    std::optional<ReplacementCommand> awaitAcknowledgements(const ReplacementInput &input);
    std::optional<ReplacementCommand> survey(const ReplacementInput &input);
    void notePromotionOfOthers(const ReplacementInput &input);
    void noteMissingHolder(const ReplacementInput &input);
    std::optional<ReplacementCommand> surveyCandidates(const ReplacementInput &input);
    std::optional<ReplacementCommand> followChoice(const ReplacementInput &input);
    PrimaryEvidence collectEvidence(const ReplacementInput &input) const;
    std::optional<ReplacementCommand> promote(const ReplacementInput &input);
    std::optional<ReplacementCommand> verify(const ReplacementInput &input);
    std::optional<ReplacementCommand> publish(const ReplacementInput &input);
    std::optional<ReplacementCommand> askPeers(const ReplacementInput &input);
    void enter(Stage stage, TimePoint now);
    void reset(TimePoint now);

    ServiceName service_;
    VmId self_;
    Stage stage_ = Stage::Monitoring;
    TimePoint stageSince_{};
    bool pending_ = false; ///< a command is open
    TimePoint retryAt_{};
    TimePoint nextSurvey_{};
    TimePoint peersAskedAt_{};
    Reason reason_ = Reason::None;
    std::optional<TimePoint> reasonSince_;
    std::uint64_t attempt_ = 0;
    std::optional<TimePoint> announcedAt_;
    std::optional<TimePoint> halfAcknowledgedAt_;
    StoreVersion announcedVersion_;
    /// Position of the draining primary when a planned replacement first asked it.
    std::optional<TermPosition> drainPosition_;
    EndpointId oldPrimary_;
    std::map<EndpointId, ReplicationStatus> statuses_;
    std::optional<TimePoint> surveySince_;
    std::optional<TermPosition> finalPosition_; ///< end of the demoted primary's log
    bool demotionTried_ = false;
    TimePoint demotionRetryAt_{}; ///< when a demotion without an answer is repeated
    /// See PrimaryEvidence; for the announcement in force, over all attempts.
    std::optional<Term> orderedAfter_;
    std::optional<Term> chosenLedIn_; ///< term that the chosen endpoint led in before its promotion
    std::set<EndpointId> unchanged_; ///< see PrimaryEvidence
    Term termBeforeOrder_; ///< newest term in force when the open promotion was ordered
    std::uint64_t leaseToken_ = 0; ///< last one of this daemon
    /// Endpoints that the platform could not promote, and when to try them again.
    std::map<EndpointId, TimePoint> refusedUntil_;
    EndpointId chosen_;
    bool chosenOlderTerm_ = false;
    /// Since when the service lacks an answer of a holder of the newest term. Kept when an attempt
    /// ends, so that attempts in a row do not prolong the wait.
    std::optional<TimePoint> holderMissingSince_;
    ChoiceWait wait_ = ChoiceWait::None;
};

} // namespace pistachiowood

#endif
