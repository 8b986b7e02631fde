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
//   detection   suspicion 2000 + probe interval of the other daemon 500 + question interval 500
//               + tick 100 + answers 500                                              = 3600 ms
//   attempt     status 500 + raise 1000 + promote 1500                                = 3000 ms
//   rank 0      3600 + 3000                                                           = 6600 ms
//   rank 1      3600 + stagger 2000 + 3000 (rank 0 does not act)                      = 8600 ms
//
// detectionBound(), attemptBound() and failoverBound() compute the same. Each step is counted with
// its full timeout; without lost requests an attempt takes three round trips. The bound of 12 s
// leaves room for one failed attempt of rank 0, which ends before rank 1 has completed its own. A
// hold-down comes on top for a service whose primary has changed shortly before.

namespace pistachiowood {

/// Asks the other responsible daemons whether they reach the primary.
struct AskConfirmation
{
    EndpointId endpoint;
};
/// Gossips a status; sent at once, whether or not the platform responds.
struct AnnounceStatus
{
    ServiceStatus status;
};
/// Stops admission of new work for the service. Ends by itself after the limit, so that a daemon
/// that dies during a switchover does not stop the service.
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
    Milliseconds tickInterval{100}; ///< longest time between ticks that the bounds assume
    Milliseconds probeInterval{500};
    /// While nothing needs attention, daemons of rank 1 and above probe the primary at this
    /// multiple of the interval. Below suspicionTimeout, so that their last good answer stays valid
    /// evidence.
    unsigned standbyProbeFactor = 2;
    /// The same for members that are not primary, on every rank. A replica that shows a quarter of
    /// contactLimit without contact ends it: 500 + 5 x 500 = 3000 ms after the loss of contact at
    /// the latest, which is isolationLimit, so that detectionBound() holds for isolation too.
    unsigned replicaProbeFactor = 5;
    Milliseconds probeTimeout{1000};
    Milliseconds answerTime{500}; ///< round trip that the bounds assume
    Milliseconds confirmationInterval{500};
    Milliseconds stagger{2000}; ///< rank r waits r times this before it acts
    Milliseconds backoffBase{500}; ///< after a failed attempt; randomised
    Milliseconds backoffCap{8000};
    Milliseconds holdDownBase{5000};
    Milliseconds holdDownCap{60000};
    Milliseconds quietPeriod{300000}; ///< without a change of primary; resets the hold-down
    Milliseconds publishBackoffBase{250};
    Milliseconds publishBackoffCap{5000};
    /// Others publish a gossiped status that the platform still lacks after this times rank + 1.
    Milliseconds publishTakeover{5000};
    /// A primary of a newer term without a majority in its term is adopted after this.
    Milliseconds adoptionDelay{2000};
    Milliseconds repairInterval{1000};
    Milliseconds splitLimit{3000}; ///< a member may reject its primary's older term for this long
    Milliseconds switchoverTimeout{5000};
    Milliseconds switchoverRetry{30000};
    /// Longer than one switchover of a lower rank with its attempt.
    Milliseconds switchoverStagger{15000};
    Milliseconds switchoverProbeInterval{100};
    /// A longer gap between ticks means that this daemon was paused and its evidence is stale.
    Milliseconds pauseLimit{1000};
    ZoneName preferredZone; ///< wins ties between equal logs
};

constexpr Milliseconds detectionBound(const ControllerSettings &settings)
{
    return settings.detector.suspicionTimeout + settings.probeInterval
           + settings.confirmationInterval + settings.tickInterval + settings.answerTime;
}

constexpr Milliseconds attemptBound(const ControllerSettings &settings)
{
    return settings.promotion.statusTimeout + settings.promotion.raiseTimeout
           + settings.promotion.promoteTimeout;
}

/// Longest time from the loss of a primary to the end of the promote step of the first attempt,
/// when the daemons of lower rank do not act and no hold-down applies.
constexpr Milliseconds failoverBound(const ControllerSettings &settings, unsigned rank)
{
    return detectionBound(settings) + rank * settings.stagger + attemptBound(settings);
}

/// Longest time after all faults end until one primary is followed by all members. An attempt that
/// was given up may have left a member in a newer term, which takes a second change of primary.
constexpr Milliseconds settleBound(const ControllerSettings &settings, unsigned rank)
{
    return 2
               * (settings.holdDownCap + settings.splitLimit + failoverBound(settings, rank)
                  + settings.backoffCap)
           + settings.publishBackoffCap;
}

/// Keeps one service supplied with a primary, on a daemon that is responsible for it.
///
/// Safety does not depend on anything here being timely or unique: endpoints grant each term once,
/// and every promotion needs a majority of grants.
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
    /// Statuses are ordered by term; equal and older ones change nothing.
    void handleServiceStatus(const ServiceStatus &status, StatusSource source);
    /// Plans a change to another member; false when this daemon is not responsible.
    bool requestSwitchover(std::string_view reason);
    /// Answer to AskConfirmation of another daemon; nullopt: no answer, for lack of evidence.
    std::optional<bool> answerConfirmation(const EndpointId &endpoint) const;

    void tick();
    std::vector<PrimaryCommand> takeCommands();

    const std::optional<ServiceStatus> &status() const { return status_; }
    Assessment assessment() const { return assessment_; }
    bool isPromoting() const { return promotion_.has_value(); }

private:
    enum class Cause { Failure, Split, Switchover };

    struct Probe
    {
        std::optional<TimePoint> sentAt;
        bool outstanding = false;
    };

    bool isPaused() const;
    bool isDue(TimePoint since, Milliseconds step) const;
    bool needsAttention() const;
    Milliseconds probeIntervalOf(const EndpointId &endpoint) const;
    void sendProbes();
    void updateAssessment();
    void adoptNewerPrimary();
    void checkSplit();
    void startPromotion(Cause cause);
    bool startAllowed();
    void advancePromotion();
    void runPromotion();
    void concludePromotion();
    void abandonPromotion(std::string_view reason);
    void yieldPromotion(std::string_view reason);
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
    TimePoint nextQuestion_;
    std::optional<TimePoint> failedSince_;
    std::optional<TimePoint> splitSince_;
    std::optional<TimePoint> newerPrimarySince_;
    std::map<EndpointId, TimePoint> strayingSince_;
    std::map<EndpointId, TimePoint> nextRepair_;

    std::optional<Promotion> promotion_;
    Cause cause_ = Cause::Failure;
    TimePoint promotionStart_;
    TimePoint nextAttempt_;
    Milliseconds backoff_;
    bool heldDownLogged_ = false;
    TimePoint holdDownUntil_;
    Milliseconds holdDown_;
    std::optional<TimePoint> lastChange_;

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
