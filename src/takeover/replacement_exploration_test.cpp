#include "takeover/primary_permission.h"
#include "takeover/primary_replacement.h"
#include "takeover/promotion_lease.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <deque>
#include <functional>

using namespace pistachiowood;
using namespace std::chrono_literals;

// Runs the state machines of a replacement in virtual time, with every combination of the faults
// below. Two daemons replace a primary; a third one, the committer, still reaches the old primary
// and loses its connection to the store. The committer must never commit at the old primary after
// another endpoint was promoted.

namespace {

// Virtual time of a step; longer than the delays between ranks, retries and surveys.
constexpr Milliseconds step{250};
// Steps of a run: 19 s, enough for a replacement that waits for permissions renewed by promises.
constexpr unsigned stepCount = 76;
// Step from which the replacing daemons cannot reach the primary.
constexpr unsigned primaryFailsAt = 4;
const TimePoint epoch{std::chrono::hours(1)};
const EndpointId oldPrimary("old");
const EndpointId replica("replica");

TimePoint timeOf(unsigned number)
{
    return epoch + step * static_cast<int>(number);
}

/// Steps in which a daemon does not run.
struct Suspension
{
    unsigned from = 0;
    unsigned length = 0;

    bool covers(unsigned now) const { return now >= from && now < from + length; }
};

/// Fault injected into the first call of a kind.
enum class CallFault { None, AnswerLost, ExecutedLate, Refused };

/// Faults of one run.
struct Scenario
{
    unsigned storeLostAt = 0; ///< step from which the committer gets no answers of the store
    unsigned answerDelay = 0; ///< steps that an answer of the store takes
    Suspension committer;
    Suspension replacer;
    /// Step from which most daemons are reachable by the replacing daemons and no longer by the
    /// committer. Before it, their promises renew the committer's permission; from it on, they
    /// acknowledge announcements.
    unsigned majorityLeavesAt = 0;
    CallFault leaseRequest = CallFault::None;
    CallFault announcement = CallFault::None;
    CallFault promotion = CallFault::None;
};

/// Mechanisms that the protocol needs; tests turn one off and expect a violation.
struct Safeguards
{
    bool bootClock = true; ///< permissions expire also during a suspension
    bool countedFromRequest = true; ///< permissions start when the request was sent
    bool waitsForPermissions = true; ///< a replacement waits until all permissions have expired
    bool appliesAnnouncement = true; ///< an announced replacement ends the use of the primary
    bool leaseRequired = true; ///< promotions need the promotion lease
    bool promisesExpire = true; ///< promises of most daemons renew a permission for a limited time
    /// Daemons that did not answer do not count as having acknowledged.
    bool acknowledgementsRequired = true;
};

/// State of the store and the platform.
struct SimulatedPlatform
{
    struct Versioned
    {
        PrimaryRecord record;
        StoreVersion version;
    };

    StoreVersion version = storeVersion(5);
    Versioned service{{ServiceName("db"), oldPrimary, false, VmId("a"), 0}, storeVersion(5)};
    std::optional<PromotionLeaseRecord> lease;
    StoreVersion leaseVersion;
    std::optional<unsigned> replacedAt; ///< step at which another endpoint became the primary
    std::uint64_t highestToken = 0;
    VmId highestTokenOwner;
    std::string violation;
};

/// One daemon that may replace the primary.
struct Replacer
{
    Replacer(const std::string &name, unsigned daemonRank)
        : vm(name)
        , replacement(ServiceName("db"), vm)
        , lease(vm)
        , rank(daemonRank)
    {
    }

    VmId vm;
    PrimaryReplacement replacement;
    PromotionLease lease;
    unsigned rank;
    std::optional<SimulatedPlatform::Versioned> known;
    TimePoint knownSince{};
    std::optional<std::function<void(TimePoint)>> result; ///< of the open call
    bool leaseRequested = false; ///< the fault of the scenario concerns the first call only
    bool announced = false;
    bool promoted = false;
};

/// One run of a scenario.
class ScenarioRun
{
public:
    ScenarioRun(const Scenario &scenario, const Safeguards &safeguards)
        : scenario_(scenario)
        , safeguards_(safeguards)
    {
    }

    /// Returns the first violation, or an empty string.
    std::string run()
    {
        for (now_ = 0; now_ < stepCount && platform_.violation.empty(); ++now_) {
            executeLateChanges();
            history_.push_back(platform_.service);
            stepCommitter();
            stepReplacer(first_, scenario_.replacer.covers(now_));
            stepReplacer(second_, false);
        }
        return platform_.violation;
    }

    bool replaced() const { return platform_.replacedAt.has_value(); }

private:
    void stepCommitter()
    {
        if (scenario_.committer.covers(now_)) {
            committerSuspendedSteps_ += 1;
            return;
        }
        // Processes the answers that are due; only requests sent while the daemon ran and reached
        // the store have one.
        for (; nextAnswer_ + scenario_.answerDelay <= now_; ++nextAnswer_) {
            if (nextAnswer_ >= scenario_.storeLostAt || scenario_.committer.covers(nextAnswer_))
                continue;
            committerCopy_ = history_.at(nextAnswer_);
            permission_.confirm(safeguards_.countedFromRequest ? timeOf(nextAnswer_)
                                                               : committerClock());
            storeConfirmed_ = timeOf(nextAnswer_);
        }
        renewByPromises();
        if (!committerCopy_ || !permission_.expiresAt()
            || committerClock() >= *permission_.expiresAt())
            return;
        const PrimaryRecord &record = committerCopy_->record;
        if (record.primary != oldPrimary || (record.replacing && safeguards_.appliesAnnouncement))
            return;
        if (platform_.replacedAt && now_ >= *platform_.replacedAt)
            platform_.violation = "commit at the old primary after another one was promoted";
    }

    // The peers that promise know no newer record than the committer.
    void renewByPromises()
    {
        const bool recent =
            storeConfirmed_
            && committerClock() <= *storeConfirmed_ + PrimaryPermission::majorityRenewalLimit;
        if (committerCopy_ && now_ < scenario_.majorityLeavesAt
            && (recent || !safeguards_.promisesExpire))
            permission_.confirm(committerClock());
    }

    TimePoint committerClock() const
    {
        return timeOf(safeguards_.bootClock ? now_ : now_ - committerSuspendedSteps_);
    }

    void stepReplacer(Replacer &replacer, bool suspended)
    {
        if (suspended)
            return;
        if (auto result = std::exchange(replacer.result, std::nullopt))
            (*result)(timeOf(now_));
        if (now_ >= scenario_.answerDelay) {
            const SimulatedPlatform::Versioned &copy = history_.at(now_ - scenario_.answerDelay);
            if (!replacer.known || copy.version > replacer.known->version) {
                replacer.known = copy;
                replacer.knownSince = timeOf(now_);
            }
        }
        // Watches deliver the lease record, every second step if the store is slow.
        if (platform_.lease && (scenario_.answerDelay == 0 || now_ % 2 == 0))
            replacer.lease.observe(platform_.lease, platform_.leaseVersion, timeOf(now_));
        if (!replacer.known)
            return;
        if (const auto command = replacer.replacement.step(collectInput(replacer)))
            execute(replacer, *command);
    }

    ReplacementInput collectInput(const Replacer &replacer) const
    {
        ReplacementInput input;
        input.now = timeOf(now_);
        input.record = replacer.known->record;
        input.recordVersion = replacer.known->version;
        input.recordSince = replacer.knownSince;
        input.candidates = {{oldPrimary, false, 1}, {replica, false, 1}};
        input.registrationsCurrent = true;
        if (now_ >= primaryFailsAt)
            input.primaryFailingSince = timeOf(primaryFailsAt);
        input.peersFailing = 1;
        input.peerCount = 2;
        input.peersHeard = 1;
        input.mayAnnounce = true;
        input.leaseHeld = !safeguards_.leaseRequired || replacer.lease.held(input.now);
        input.leaseAvailable = !input.leaseHeld && replacer.lease.available(input.now);
        input.allAcknowledged = !safeguards_.waitsForPermissions;
        input.halfAcknowledged =
            now_ >= scenario_.majorityLeavesAt || !safeguards_.acknowledgementsRequired;
        input.rank = replacer.rank;
        return input;
    }

    void execute(Replacer &replacer, const ReplacementCommand &command)
    {
        PrimaryReplacement &replacement = replacer.replacement;
        if (std::holds_alternative<AcquireLeaseCommand>(command)) {
            acquireLease(replacer);
        } else if (const auto *announcement = std::get_if<AnnounceCommand>(&command)) {
            const auto version =
                putRecord(replacer, announcement->record,
                          faultOf(replacer, replacer.announced, scenario_.announcement));
            replacer.result = [&replacement, version](TimePoint now) {
                replacement.handleAnnounced(version, now);
            };
        } else if (std::holds_alternative<SurveyCommand>(command)) {
            const bool isPrimary = platform_.replacedAt.has_value();
            const Term term(isPrimary ? 2 : 1);
            replacer.result = [&replacement, isPrimary, term](TimePoint now) {
                replacement.handleSurvey({{replica, {isPrimary, term, {Term(1), LogPosition(4)}}}},
                                         now);
            };
        } else if (std::holds_alternative<PromoteCommand>(command)) {
            promote(replacer);
        } else if (const auto *publication = std::get_if<PublishCommand>(&command)) {
            const auto version = putRecord(replacer, publication->record, CallFault::None);
            replacer.result = [&replacement, version](TimePoint now) {
                replacement.handlePublished(version.has_value(), now);
            };
        }
    }

    void acquireLease(Replacer &replacer)
    {
        const TimePoint sentAt = timeOf(now_);
        const PromotionLeaseRecord proposed = replacer.lease.propose(sentAt);
        const auto expected = replacer.lease.expectedVersion();
        const CallFault fault = faultOf(replacer, replacer.leaseRequested, scenario_.leaseRequest);
        const auto change = [this, proposed, expected] {
            const bool matches = platform_.lease ? expected == platform_.leaseVersion : !expected;
            if (matches) {
                platform_.lease = proposed;
                platform_.leaseVersion = nextVersion();
            }
            return matches;
        };
        bool taken = false;
        if (fault == CallFault::ExecutedLate)
            lateChanges_.emplace_back(now_ + lateExecutionSteps, [change] { change(); });
        else if (fault != CallFault::Refused)
            taken = change();
        taken = taken && fault == CallFault::None;
        replacer.result = [&replacer, proposed, sentAt, taken,
                           version = platform_.leaseVersion](TimePoint now) {
            if (taken)
                replacer.lease.accept(proposed, version, sentAt, now);
            replacer.replacement.handleLeaseResult(taken, now);
        };
    }

    std::optional<StoreVersion> putRecord(Replacer &replacer, const PrimaryRecord &record,
                                          CallFault fault)
    {
        const StoreVersion expected = replacer.known->version;
        const auto change = [this, record, expected]() -> std::optional<StoreVersion> {
            if (platform_.service.version != expected)
                return std::nullopt;
            platform_.service = {record, nextVersion()};
            return platform_.service.version;
        };
        if (fault == CallFault::Refused)
            return std::nullopt;
        if (fault == CallFault::ExecutedLate) {
            lateChanges_.emplace_back(now_ + lateExecutionSteps, [change] { change(); });
            return std::nullopt;
        }
        const auto version = change();
        if (version) { // a daemon knows its own change at once
            replacer.known = platform_.service;
            replacer.knownSince = timeOf(now_);
        }
        return fault == CallFault::None ? version : std::nullopt;
    }

    void promote(Replacer &replacer)
    {
        const CallFault fault = faultOf(replacer, replacer.promoted, scenario_.promotion);
        const std::uint64_t token = replacer.lease.fencingToken();
        const bool stale =
            token < platform_.highestToken
            || (token == platform_.highestToken && !(platform_.highestTokenOwner == replacer.vm));
        if (stale)
            platform_.violation = "promotion with a fencing token that is not newer than the last";
        platform_.highestToken = token;
        platform_.highestTokenOwner = replacer.vm;
        const bool done = fault != CallFault::Refused;
        if (done && !platform_.replacedAt)
            platform_.replacedAt = now_ + 1;
        const auto outcome = fault == CallFault::None ? PromotionOutcome::Accepted
                             : done                   ? PromotionOutcome::NoAnswer
                                                      : PromotionOutcome::Refused;
        replacer.result = [&replacer, outcome](TimePoint now) {
            replacer.replacement.handlePromoted(outcome, now);
        };
    }

    static CallFault faultOf(const Replacer &replacer, bool &alreadyCalled, CallFault fault)
    {
        const bool first = replacer.rank == 0 && !std::exchange(alreadyCalled, true);
        return first ? fault : CallFault::None;
    }

    void executeLateChanges()
    {
        while (!lateChanges_.empty() && lateChanges_.front().first <= now_) {
            const auto change = std::move(lateChanges_.front().second);
            lateChanges_.pop_front();
            change();
        }
    }

    StoreVersion nextVersion()
    {
        return platform_.version = storeVersion(platform_.version.revision.value() + 1);
    }

    static constexpr unsigned lateExecutionSteps = 10; // steps

    const Scenario &scenario_;
    const Safeguards &safeguards_;
    SimulatedPlatform platform_;
    Replacer first_{"a", 0};
    Replacer second_{"b", 1};
    PrimaryPermission permission_;
    std::optional<SimulatedPlatform::Versioned> committerCopy_;
    std::optional<TimePoint> storeConfirmed_;
    unsigned committerSuspendedSteps_ = 0;
    unsigned nextAnswer_ = 0;
    std::vector<SimulatedPlatform::Versioned> history_; ///< of the service record, by step
    std::deque<std::pair<unsigned, std::function<void()>>> lateChanges_;
    unsigned now_ = 0;
};

struct Summary
{
    unsigned scenarios = 0;
    unsigned replaced = 0;
    unsigned violations = 0;
    std::string firstViolation;
};

std::vector<Suspension> suspensions(const std::vector<unsigned> &starts,
                                    const std::vector<unsigned> &lengths)
{
    std::vector<Suspension> all{{}};
    for (const unsigned from : starts) {
        for (const unsigned length : lengths)
            all.push_back({from, length});
    }
    return all;
}

Summary explore(const Safeguards &safeguards, bool untilFirst)
{
    const auto committers = suspensions({3, 8, 12, 16, 20}, {8, 24});
    const auto replacers = suspensions({8, 11, 14, 18, 22, 25}, {8, 30});
    Summary summary;
    const auto play = [&](const Scenario &scenario) {
        if (untilFirst && summary.violations > 0)
            return;
        ++summary.scenarios;
        ScenarioRun scenarioRun(scenario, safeguards);
        const std::string violation = scenarioRun.run();
        summary.replaced += scenarioRun.replaced() ? 1 : 0;
        if (violation.empty())
            return;
        if (summary.violations++ == 0)
            summary.firstViolation = violation;
    };
    // With `stepCount`, the majority stays with the committer for the whole run, and only the fixed
    // lifetime of permissions by promises makes a replacement safe.
    const std::array<unsigned, 4> majorities{0, 14, 24, stepCount};
    for (const unsigned lostAt : {1U, 4U, 8U, 9U, 10U, 12U, 16U, 24U, 40U}) {
        for (const unsigned delay : {0U, 1U, 4U}) {
            for (const Suspension &committer : committers) {
                for (const Suspension &replacer : replacers) {
                    for (const CallFault leaseRequest :
                         {CallFault::None, CallFault::AnswerLost, CallFault::ExecutedLate,
                          CallFault::Refused}) {
                        for (const CallFault announcement :
                             {CallFault::None, CallFault::AnswerLost, CallFault::ExecutedLate}) {
                            for (const CallFault promotion :
                                 {CallFault::None, CallFault::AnswerLost}) {
                                for (const unsigned leavesAt : majorities)
                                    play({lostAt, delay, committer, replacer, leavesAt,
                                          leaseRequest, announcement, promotion});
                            }
                        }
                    }
                }
            }
        }
    }
    return summary;
}

} // namespace

TEST_GROUP(ReplacementExploration){static void expectViolation(const Safeguards &safeguards){
    CHECK_TRUE(explore(safeguards, true).violations > 0);
}
}
;

// Guards against a combination of lost answers, late changes, suspensions and partitions that lets
// a daemon commit at a replaced primary or request a promotion with an old fencing token.
TEST(ReplacementExploration, noCombinationOfFaultsBreaksTheProtocol)
{
    const Summary summary = explore({}, false);
    STRCMP_EQUAL("", summary.firstViolation.c_str());
    LONGS_EQUAL(0, summary.violations);
    CHECK_TRUE(summary.replaced * 10 >= summary.scenarios * 9); // the faults must not prevent it
}

// The following tests guard against an exploration that misses violations: without any one of the
// mechanisms it must find some.
TEST(ReplacementExploration, clockThatStopsInASuspensionCausesViolation)
{
    expectViolation({.bootClock = false});
}

TEST(ReplacementExploration, permissionFromTheArrivalOfAnAnswerCausesViolation)
{
    expectViolation({.countedFromRequest = false});
}

TEST(ReplacementExploration, replacementWithoutTheWaitCausesViolation)
{
    expectViolation({.waitsForPermissions = false});
}

TEST(ReplacementExploration, announcementThatIsNotAppliedCausesViolation)
{
    expectViolation({.appliesAnnouncement = false});
}

TEST(ReplacementExploration, promotionWithoutTheLeaseCausesViolation)
{
    expectViolation({.leaseRequired = false});
}

TEST(ReplacementExploration, promisesWithoutExpiryCauseViolation)
{
    expectViolation({.promisesExpire = false});
}

TEST(ReplacementExploration, replacementThatCountsSilentDaemonsCausesViolation)
{
    expectViolation({.acknowledgementsRequired = false});
}
