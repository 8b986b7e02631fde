#include "takeover/duty_lease.h"
#include "takeover/primary_permission.h"
#include "takeover/primary_replacement.h"

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
constexpr unsigned horizon = 76;
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
enum class CallFate { Answered, AnswerLost, DoneLate, Refused };

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
    CallFate duty = CallFate::Answered;
    CallFate announcement = CallFate::Answered;
    CallFate promotion = CallFate::Answered;
};

/// Mechanisms that the protocol needs; tests turn one off and expect a violation.
struct Safeguards
{
    bool bootClock = true; ///< permissions expire also during a suspension
    bool countedFromQuestion = true; ///< permissions start when the question was sent
    bool waitsForPermissions = true; ///< a replacement waits until all permissions have expired
    bool obeysAnnouncement = true; ///< an announced replacement ends the use of the primary
    bool dutyChecked = true; ///< promotions need the promotion lease
    bool promisesEnd = true; ///< promises of most daemons renew a permission for a limited time
    bool waitsForTheOthers =
        true; ///< daemons that did not answer do not count as having acknowledged
};

/// State of the store and the platform.
struct World
{
    struct Versioned
    {
        PrimaryRecord record;
        ResourceVersion version;
    };

    ResourceVersion version{5};
    Versioned service{{ServiceName("db"), oldPrimary, false, VmId("a"), 0}, ResourceVersion(5)};
    std::optional<DutyRecord> duty;
    ResourceVersion dutyVersion;
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
    DutyLease lease;
    unsigned rank;
    std::optional<World::Versioned> known;
    TimePoint knownSince{};
    std::optional<std::function<void(TimePoint)>> result; ///< of the open call
    bool dutyAsked = false; ///< the fault of the scenario concerns the first call only
    bool announced = false;
    bool promoted = false;
};

/// One run of a scenario.
class Exploration
{
public:
    Exploration(const Scenario &scenario, const Safeguards &safeguards)
        : scenario_(scenario)
        , safeguards_(safeguards)
    {
    }

    /// Returns the first violation, or an empty string.
    std::string play()
    {
        for (now_ = 0; now_ < horizon && world_.violation.empty(); ++now_) {
            doLateChanges();
            history_.push_back(world_.service);
            stepCommitter();
            stepReplacer(first_, scenario_.replacer.covers(now_));
            stepReplacer(second_, false);
        }
        return world_.violation;
    }

    bool replaced() const { return world_.replacedAt.has_value(); }

private:
    void stepCommitter()
    {
        if (scenario_.committer.covers(now_)) {
            committerSlept_ += 1;
            return;
        }
        // Processes the answers that are due; only questions sent while the daemon ran and reached
        // the store have one.
        for (; nextAnswer_ + scenario_.answerDelay <= now_; ++nextAnswer_) {
            if (nextAnswer_ >= scenario_.storeLostAt || scenario_.committer.covers(nextAnswer_))
                continue;
            committerCopy_ = history_.at(nextAnswer_);
            permission_.confirm(safeguards_.countedFromQuestion ? timeOf(nextAnswer_)
                                                                : committerClock());
            storeConfirmed_ = timeOf(nextAnswer_);
        }
        renewByPromises();
        if (!committerCopy_ || !permission_.expiresAt()
            || committerClock() >= *permission_.expiresAt())
            return;
        const PrimaryRecord &record = committerCopy_->record;
        if (record.primary != oldPrimary || (record.replacing && safeguards_.obeysAnnouncement))
            return;
        if (world_.replacedAt && now_ >= *world_.replacedAt)
            world_.violation = "commit at the old primary after another one was promoted";
    }

    // The peers that promise know no newer record than the committer.
    void renewByPromises()
    {
        const bool recent =
            storeConfirmed_
            && committerClock() <= *storeConfirmed_ + PrimaryPermission::majorityLimit;
        if (committerCopy_ && now_ < scenario_.majorityLeavesAt
            && (recent || !safeguards_.promisesEnd))
            permission_.confirm(committerClock());
    }

    TimePoint committerClock() const
    {
        return timeOf(safeguards_.bootClock ? now_ : now_ - committerSlept_);
    }

    void stepReplacer(Replacer &replacer, bool suspended)
    {
        if (suspended)
            return;
        if (auto result = std::exchange(replacer.result, std::nullopt))
            (*result)(timeOf(now_));
        if (now_ >= scenario_.answerDelay) {
            const World::Versioned &copy = history_.at(now_ - scenario_.answerDelay);
            if (!replacer.known || copy.version > replacer.known->version) {
                replacer.known = copy;
                replacer.knownSince = timeOf(now_);
            }
        }
        // Watches deliver the lease record, every second step if the store is slow.
        if (world_.duty && (scenario_.answerDelay == 0 || now_ % 2 == 0))
            replacer.lease.observe(world_.duty, world_.dutyVersion, timeOf(now_));
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
        input.peersAsked = 2;
        input.mayAnnounce = true;
        input.dutyHeld = !safeguards_.dutyChecked || replacer.lease.held(input.now);
        input.dutyAvailable = !input.dutyHeld && replacer.lease.available(input.now);
        input.allWithdrawn = !safeguards_.waitsForPermissions;
        input.halfWithdrawn = now_ >= scenario_.majorityLeavesAt || !safeguards_.waitsForTheOthers;
        input.rank = replacer.rank;
        return input;
    }

    void execute(Replacer &replacer, const ReplacementCommand &command)
    {
        PrimaryReplacement &replacement = replacer.replacement;
        if (std::holds_alternative<TakeDutyCommand>(command)) {
            takeDuty(replacer);
        } else if (const auto *announcement = std::get_if<AnnounceCommand>(&command)) {
            const auto version =
                putRecord(replacer, announcement->record,
                          fateOf(replacer, replacer.announced, scenario_.announcement));
            replacer.result = [&replacement, version](TimePoint now) {
                replacement.handleAnnounced(version, now);
            };
        } else if (std::holds_alternative<SurveyCommand>(command)) {
            const bool leads = world_.replacedAt.has_value();
            const Term term(leads ? 2 : 1);
            replacer.result = [&replacement, leads, term](TimePoint now) {
                replacement.handleSurvey({{replica, {leads, term, {Term(1), LogPosition(4)}}}},
                                         now);
            };
        } else if (std::holds_alternative<PromoteCommand>(command)) {
            promote(replacer);
        } else if (const auto *publication = std::get_if<PublishCommand>(&command)) {
            const auto version = putRecord(replacer, publication->record, CallFate::Answered);
            replacer.result = [&replacement, version](TimePoint now) {
                replacement.handlePublished(version.has_value(), now);
            };
        }
    }

    void takeDuty(Replacer &replacer)
    {
        const TimePoint sentAt = timeOf(now_);
        const DutyRecord proposed = replacer.lease.propose(sentAt);
        const auto expected = replacer.lease.expectedVersion();
        const CallFate fate = fateOf(replacer, replacer.dutyAsked, scenario_.duty);
        const auto change = [this, proposed, expected] {
            const bool matches = world_.duty ? expected == world_.dutyVersion : !expected;
            if (matches) {
                world_.duty = proposed;
                world_.dutyVersion = nextVersion();
            }
            return matches;
        };
        bool taken = false;
        if (fate == CallFate::DoneLate)
            late_.emplace_back(now_ + lateBy, [change] { change(); });
        else if (fate != CallFate::Refused)
            taken = change();
        taken = taken && fate == CallFate::Answered;
        replacer.result = [&replacer, proposed, sentAt, taken,
                           version = world_.dutyVersion](TimePoint now) {
            if (taken)
                replacer.lease.accept(proposed, version, sentAt, now);
            replacer.replacement.handleDutyTaken(taken, now);
        };
    }

    std::optional<ResourceVersion> putRecord(Replacer &replacer, const PrimaryRecord &record,
                                             CallFate fate)
    {
        const ResourceVersion expected = replacer.known->version;
        const auto change = [this, record, expected]() -> std::optional<ResourceVersion> {
            if (world_.service.version != expected)
                return std::nullopt;
            world_.service = {record, nextVersion()};
            return world_.service.version;
        };
        if (fate == CallFate::Refused)
            return std::nullopt;
        if (fate == CallFate::DoneLate) {
            late_.emplace_back(now_ + lateBy, [change] { change(); });
            return std::nullopt;
        }
        const auto version = change();
        if (version) { // a daemon knows its own change at once
            replacer.known = world_.service;
            replacer.knownSince = timeOf(now_);
        }
        return fate == CallFate::Answered ? version : std::nullopt;
    }

    void promote(Replacer &replacer)
    {
        const CallFate fate = fateOf(replacer, replacer.promoted, scenario_.promotion);
        const std::uint64_t token = replacer.lease.fencingToken();
        const bool stale =
            token < world_.highestToken
            || (token == world_.highestToken && !(world_.highestTokenOwner == replacer.vm));
        if (stale)
            world_.violation = "promotion with a fencing token that is not newer than the last";
        world_.highestToken = token;
        world_.highestTokenOwner = replacer.vm;
        const bool done = fate != CallFate::Refused;
        if (done && !world_.replacedAt)
            world_.replacedAt = now_ + 1;
        const auto outcome = fate == CallFate::Answered ? PromotionOutcome::Accepted
                             : done                     ? PromotionOutcome::NoAnswer
                                                        : PromotionOutcome::Refused;
        replacer.result = [&replacer, outcome](TimePoint now) {
            replacer.replacement.handlePromoted(outcome, now);
        };
    }

    static CallFate fateOf(const Replacer &replacer, bool &made, CallFate fate)
    {
        const bool first = replacer.rank == 0 && !std::exchange(made, true);
        return first ? fate : CallFate::Answered;
    }

    void doLateChanges()
    {
        while (!late_.empty() && late_.front().first <= now_) {
            const auto change = std::move(late_.front().second);
            late_.pop_front();
            change();
        }
    }

    ResourceVersion nextVersion()
    {
        return world_.version = ResourceVersion(world_.version.value() + 1);
    }

    static constexpr unsigned lateBy = 10; // steps

    const Scenario &scenario_;
    const Safeguards &safeguards_;
    World world_;
    Replacer first_{"a", 0};
    Replacer second_{"b", 1};
    PrimaryPermission permission_;
    std::optional<World::Versioned> committerCopy_;
    std::optional<TimePoint> storeConfirmed_;
    unsigned committerSlept_ = 0;
    unsigned nextAnswer_ = 0;
    std::vector<World::Versioned> history_; ///< of the service record, by step
    std::deque<std::pair<unsigned, std::function<void()>>> late_;
    unsigned now_ = 0;
};

struct Summary
{
    unsigned scenarios = 0;
    unsigned replaced = 0;
    unsigned violations = 0;
    std::string first;
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
        Exploration exploration(scenario, safeguards);
        const std::string violation = exploration.play();
        summary.replaced += exploration.replaced() ? 1 : 0;
        if (violation.empty())
            return;
        if (summary.violations++ == 0)
            summary.first = violation;
    };
    // With `horizon`, the majority stays with the committer for the whole run, and only the fixed
    // lifetime of permissions by promises makes a replacement safe.
    const std::array<unsigned, 4> majorities{0, 14, 24, horizon};
    for (const unsigned lostAt : {1U, 4U, 8U, 9U, 10U, 12U, 16U, 24U, 40U}) {
        for (const unsigned delay : {0U, 1U, 4U}) {
            for (const Suspension &committer : committers) {
                for (const Suspension &replacer : replacers) {
                    for (const CallFate duty : {CallFate::Answered, CallFate::AnswerLost,
                                                CallFate::DoneLate, CallFate::Refused}) {
                        for (const CallFate announcement :
                             {CallFate::Answered, CallFate::AnswerLost, CallFate::DoneLate}) {
                            for (const CallFate promotion :
                                 {CallFate::Answered, CallFate::AnswerLost}) {
                                for (const unsigned leavesAt : majorities)
                                    play({lostAt, delay, committer, replacer, leavesAt, duty,
                                          announcement, promotion});
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
    STRCMP_EQUAL("", summary.first.c_str());
    LONGS_EQUAL(0, summary.violations);
    CHECK_TRUE(summary.replaced * 10 >= summary.scenarios * 9); // the faults must not prevent it
}

// The following tests guard against an exploration that misses violations: without any one of the
// mechanisms it must find some.
TEST(ReplacementExploration, clockThatStopsInASuspensionBreaksIt)
{
    expectViolation({.bootClock = false});
}

TEST(ReplacementExploration, permissionFromTheArrivalOfAnAnswerBreaksIt)
{
    expectViolation({.countedFromQuestion = false});
}

TEST(ReplacementExploration, replacementWithoutTheWaitBreaksIt)
{
    expectViolation({.waitsForPermissions = false});
}

TEST(ReplacementExploration, announcementThatIsNotObeyedBreaksIt)
{
    expectViolation({.obeysAnnouncement = false});
}

TEST(ReplacementExploration, promotionWithoutTheDutyBreaksIt)
{
    expectViolation({.dutyChecked = false});
}

TEST(ReplacementExploration, promisesWithoutAnEndBreakIt)
{
    expectViolation({.promisesEnd = false});
}

TEST(ReplacementExploration, replacementThatCountsSilentDaemonsBreaksIt)
{
    expectViolation({.waitsForTheOthers = false});
}
