#ifndef PISTACHIOWOOD_PRIMARY_PRIMARY_CONTROLLER_H
#define PISTACHIOWOOD_PRIMARY_PRIMARY_CONTROLLER_H

#include "base/random.h"
#include "primary/promotion.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Time from the loss of a primary to its successor, from the default constants below:
//
//   detection   suspicion timeout 2000 + probe interval of the other daemon 500
//               + confirmation interval 500 + tick interval 100 + round trip 500      = 3600 ms
//   attempt     status 500 + raise 1000 + promote 1500                                = 3000 ms
//   rank 0      3600 + 3000                                                           = 6600 ms
//   rank 1      3600 + delay per rank 2000 + 3000 (rank 0 does not act)               = 8600 ms
//
// detectionBound(), attemptBound() and failoverBound() compute the same. Each step is counted with
// its full timeout; without lost requests an attempt takes three round trips. The failover limit of
// 12 s leaves time for one failed attempt of rank 0, which ends before rank 1 completes its own.
// The hold-down is added for a service whose primary has changed before.

namespace pistachiowood {

/// Asks the other responsible daemons whether they reach the primary.
struct AskConfirmation
{
    EndpointId endpoint;
};
/// Gossips a new status at once, without waiting for the platform to store it.
struct AnnounceStatus
{
    ServiceStatus status;
};
/// Stops admission of new work for the service. Expires after the limit, so that a daemon that dies
/// during a switchover does not stop the service.
struct StopAdmission
{
    Milliseconds limit;
};
struct ResumeAdmission
{
};

using PrimaryCommand =
    std::variant<ProbeEndpoint, AskConfirmation, RaiseTerm, PromoteEndpoint, FollowPrimary,
                 PublishStatus, AnnounceStatus, StopAdmission, ResumeAdmission>;

enum class StatusSource { Platform, Gossip };

struct ControllerSettings
{
    DetectorSettings detector;
    PromotionSettings promotion;
    Milliseconds tickInterval{100}; ///< longest time between calls to tick() in the bounds below
    Milliseconds probeInterval{500};
    /// Multiple of probeInterval at which daemons of rank 1 and above probe the primary of a
    /// healthy group. The product must stay below suspicionTimeout, so that their last good answer
    /// remains valid evidence until the next probe.
    unsigned standbyProbeFactor = 2;
    /// Multiple of probeInterval at which daemons of all ranks probe the replicas of a healthy
    /// group. A replica that reports a quarter of contactLimit without contact restores the full
    /// rate, 500 + 5 x 500 = 3000 ms after the loss of contact at the latest. That equals
    /// isolationLimit, so that detectionBound() also holds for an isolated primary.
    unsigned replicaProbeFactor = 5;
    Milliseconds probeTimeout{1000};
    Milliseconds assumedRoundTrip{500}; ///< used only in the bounds below
    Milliseconds confirmationInterval{500};
    /// A daemon of rank r waits r times this before it promotes or repairs a member.
    Milliseconds actionDelayPerRank{2000};
    /// Delay after the first failed attempt; half of it is random. Doubles up to the cap.
    Milliseconds promotionBackoffBase{500};
    Milliseconds promotionBackoffCap{8000};
    /// No promotion starts for this time after a change of primary; doubles with each change up to
    /// the cap.
    Milliseconds holdDownBase{5000};
    Milliseconds holdDownCap{60000};
    /// Time without a change of primary that resets the hold-down to its base.
    Milliseconds holdDownResetDelay{300000};
    Milliseconds publishBackoffBase{250};
    Milliseconds publishBackoffCap{5000};
    /// A daemon of rank r publishes a gossiped status that the platform lacks after r + 1 times
    /// this.
    Milliseconds publishDelayPerRank{5000};
    /// Delay before a primary of a newer term is adopted although no majority reports that term.
    Milliseconds adoptionDelay{2000};
    Milliseconds repairInterval{1000};
    /// A promotion starts when a member has rejected its primary's older term for this time.
    Milliseconds newerTermMemberLimit{3000};
    Milliseconds switchoverTimeout{5000}; ///< for a replica to catch up with admission stopped
    Milliseconds switchoverRetryInterval{30000}; ///< between the starts of two switchovers
    /// A daemon of rank r waits r times this before a planned switchover. Longer than a switchover
    /// and its promotion, so that the daemon of the next lower rank has ended its own.
    Milliseconds switchoverDelayPerRank{15000};
    Milliseconds switchoverProbeInterval{100};
    /// After a longer gap between ticks the daemon was paused and its evidence is discarded.
    Milliseconds tickGapLimit{1000};
    ZoneName preferredZone; ///< preferred among members with equal logs
};

/// Longest time from the loss of a primary to the verdict Failed.
constexpr Milliseconds detectionBound(const ControllerSettings &settings)
{
    return settings.detector.suspicionTimeout + settings.probeInterval
           + settings.confirmationInterval + settings.tickInterval + settings.assumedRoundTrip;
}

/// Longest time from the start of an attempt to the end of its promote step.
constexpr Milliseconds attemptBound(const ControllerSettings &settings)
{
    return settings.promotion.statusTimeout + settings.promotion.raiseTimeout
           + settings.promotion.promoteTimeout;
}

/// Longest time from the loss of a primary to the end of the promote step of the first attempt,
/// when the daemons of lower rank do not act and no hold-down applies.
constexpr Milliseconds failoverBound(const ControllerSettings &settings, unsigned rank)
{
    return detectionBound(settings) + rank * settings.actionDelayPerRank + attemptBound(settings);
}

/// Longest time from the end of all faults until all members follow one primary. An abandoned
/// attempt may have left a member in a newer term, which requires a second change of primary.
constexpr Milliseconds settleBound(const ControllerSettings &settings, unsigned rank)
{
    return 2
               * (settings.holdDownCap + settings.newerTermMemberLimit
                  + failoverBound(settings, rank) + settings.promotionBackoffCap)
           + settings.publishBackoffCap;
}

/// Detects the failure of one service's primary and promotes a replacement. Runs on each daemon
/// that is responsible for the service.
///
/// Safety does not depend on timing or on a single active controller: an endpoint grants each term
/// once, and every promotion needs a majority of grants.
class PrimaryController
{
public:
    PrimaryController(ServiceName service, VmId self, ZoneName zone, const Clock &clock,
                      RandomSource &random, ControllerSettings settings = {});

    void setGroup(std::vector<GroupMember> members);
    /// nullopt: this daemon is not responsible for the service.
    void setRank(std::optional<unsigned> rank);

    void handleStatus(const EndpointId &endpoint, const ProbeResult &result, Milliseconds latency);
    void handleConfirmation(const VmId &peer, const ZoneName &zone, bool reachable);
    void handleRaiseResult(const EndpointId &endpoint, Term term, const MemberResult &result);
    void handlePromoteResult(const EndpointId &endpoint, Term term, const MemberResult &result);
    void handleFollowResult(const EndpointId &endpoint, Term term, const MemberResult &result);
    void handlePublishResult(Term term, PublishResult result);
    /// Statuses are ordered by term; only a newer term replaces the current status.
    void handleServiceStatus(const ServiceStatus &status, StatusSource source);
    /// Schedules a switchover to another member; false when this daemon is not responsible.
    bool requestSwitchover(std::string_view reason);
    /// Answers AskConfirmation of another daemon; nullopt without enough evidence.
    std::optional<bool> answerConfirmation(const EndpointId &endpoint) const;

    void tick();
    std::vector<PrimaryCommand> takeCommands();

    const std::optional<ServiceStatus> &status() const { return status_; }
    Assessment assessment() const { return assessment_; }
    bool isPromoting() const { return promotion_.has_value(); }

private:
    enum class Cause { Failure, NewerTermMember, Switchover };

    struct Probe
    {
        std::optional<TimePoint> sentAt;
        bool outstanding = false;
    };

    bool isPaused() const;
    bool hasRankDelayPassed(TimePoint since, Milliseconds delayPerRank) const;
    bool needsFullProbeRate() const;
    Milliseconds probeIntervalOf(const EndpointId &endpoint) const;
    void sendProbes();
    void updateAssessment();
    void adoptNewerPrimary();
    void detectNewerTermMember();
    void startPromotion(Cause cause);
    bool mayStartPromotion();
    void advancePromotion();
    void runPromotion();
    void concludePromotion();
    void abandonPromotion(std::string_view reason);
    void abandonSupersededPromotion(std::string_view reason);
    void advanceSwitchover();
    void endSwitchover();
    void repairMembers();
    void publishPending();
    void delayPublish();
    void acceptStatus(const ServiceStatus &status);
    void queuePublish(Milliseconds delay);
    std::optional<EndpointId> findCaughtUpMember() const;
    const GroupMember *findMember(const EndpointId &endpoint) const;

    ServiceName service_;
    VmId self_;
    ZoneName zone_;
    const Clock &clock_;
    RandomSource &random_;
    ControllerSettings settings_;
    std::vector<GroupMember> members_;
    std::optional<unsigned> rank_;
    FailureDetector detector_;
    std::optional<ServiceStatus> status_;
    Term platformTerm_; ///< newest term known to be stored on the platform
    Term highestTerm_; ///< newest term seen anywhere or used by an own attempt
    Assessment assessment_;
    TimePoint lastTick_;
    std::map<EndpointId, Probe> probes_;
    TimePoint nextConfirmationRequest_;
    std::optional<TimePoint> failedSince_;
    std::optional<TimePoint> newerTermMemberSince_;
    std::optional<TimePoint> newerPrimarySince_;
    std::map<EndpointId, TimePoint> notFollowingSince_;
    std::map<EndpointId, TimePoint> nextRepair_;

    std::optional<Promotion> promotion_;
    Cause cause_ = Cause::Failure;
    TimePoint promotionStart_;
    TimePoint nextAttempt_;
    Milliseconds promotionBackoff_;
    bool heldDownLogged_ = false;
    TimePoint holdDownUntil_;
    Milliseconds holdDown_;
    std::optional<TimePoint> lastPrimaryChange_;

    std::optional<TimePoint> switchoverDueSince_;
    bool switchoverRequested_ = false;
    bool admissionStopped_ = false;
    TimePoint switchoverStart_;
    TimePoint nextSwitchover_;

    bool publishPending_ = false;
    bool publishOutstanding_ = false;
    TimePoint publishSentAt_;
    TimePoint nextPublish_;
    Milliseconds publishBackoff_;

    std::vector<PrimaryCommand> commands_;
};

} // namespace pistachiowood

#endif
