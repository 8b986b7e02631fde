#include "takeover/primary_permission.h"
#include "takeover/primary_replacement.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const EndpointId oldPrimary("old");
const EndpointId first("first");
const EndpointId second("second");

ReplicationStatus replicaAt(std::uint64_t number)
{
    return {false, Term(1), {Term(1), LogPosition(number)}};
}

ReplicationStatus primaryAt(std::uint64_t number)
{
    return {true, Term(1), {Term(1), LogPosition(number)}};
}

} // namespace

TEST_GROUP(PrimaryReplacement)
{
    PrimaryReplacement replacement{ServiceName("db"), VmId("vm")};
    ReplacementInput input;

    void setup() override
    {
        input.now = TimePoint(std::chrono::hours(1));
        input.record = PrimaryRecord{ServiceName("db"), oldPrimary, false, VmId("vm"), 0};
        input.recordVersion = storeVersion(5);
        input.candidates = {{oldPrimary, false, 2}, {first, false, 2}, {second, false, 1}};
        input.registrationsCurrent = true;
        input.mayAnnounce = true;
        input.leaseAvailable = true;
    }

    template <typename T>
    bool nextCommandIs()
    {
        const auto command = replacement.step(input);
        return command && std::holds_alternative<T>(*command);
    }

    template <typename T>
    T nextCommand()
    {
        const auto command = replacement.step(input);
        CHECK_TRUE(command && std::holds_alternative<T>(*command));
        return std::get<T>(*command);
    }

    void startPlannedReplacement()
    {
        input.candidates.front().draining = true;
        CHECK_TRUE(nextCommandIs<AcquireLeaseCommand>());
        replacement.handleLeaseResult(true, input.now);
        input.leaseHeld = true;
    }

    // Starts a planned replacement and announces it.
    void announce()
    {
        startPlannedReplacement();
        survey({{oldPrimary, primaryAt(4)}, {first, replicaAt(4)}});
        input.now += 100ms;
        CHECK_TRUE(nextCommandIs<AnnounceCommand>());
        input.recordVersion = storeVersion(6);
        input.record->replacing = true;
        replacement.handleAnnounced(storeVersion(6), input.now);
    }

    void survey(const std::map<EndpointId, ReplicationStatus> &statuses)
    {
        CHECK_TRUE(nextCommandIs<SurveyCommand>());
        replacement.handleSurvey(statuses, input.now);
    }
};

// Guards against a replacement of a healthy primary.
TEST(PrimaryReplacement, healthyPrimaryStays)
{
    CHECK_FALSE(replacement.step(input).has_value());
    input.now += 60s;
    CHECK_FALSE(replacement.step(input).has_value());
}

// Guards against a replacement because this daemon alone cannot reach the primary.
TEST(PrimaryReplacement, primaryThatMostReachStays)
{
    input.primaryFailingSince = input.now - 5s;
    input.peerCount = 5;
    input.peersReaching = 4;
    input.peersFailing = 1;
    for (int i = 0; i < 40; ++i) {
        const auto command = replacement.step(input);
        CHECK_TRUE(!command || std::holds_alternative<AskPeersCommand>(*command));
        input.now += 100ms;
    }
    input.peersReaching = 1;
    input.peersFailing = 4;
    CHECK_TRUE(nextCommandIs<AcquireLeaseCommand>());
}

// Guards against a replacement of a healthy primary by a daemon that reaches neither it nor any
// peer: one with a saturated link replaced the primaries of five services.
TEST(PrimaryReplacement, daemonThatHearsNoPeerReplacesAHealthyPrimary)
{
    input.primaryFailingSince = input.now - 5s;
    input.peerCount = 5;
    input.peersHeard = 0;
    const TimePoint start = input.now;
    while (input.now < start + PrimaryPermission::longestLifetime) {
        const auto command = replacement.step(input);
        CHECK_TRUE(!command || std::holds_alternative<AskPeersCommand>(*command));
        input.now += 100ms;
    }
    input.now += 2s; // the others are lost
    CHECK_TRUE(nextCommandIs<AcquireLeaseCommand>());
}

// Guards against a promotion while a daemon may still use the old primary.
TEST(PrimaryReplacement, waitsForAcknowledgementsOrThePeriod)
{
    announce();
    input.now += 300ms;
    input.halfAcknowledged = true;
    const TimePoint acknowledgedAt = input.now;
    while (input.now < PrimaryPermission::effectiveAfterAcknowledgement(acknowledgedAt)) {
        const auto command = replacement.step(input);
        CHECK_TRUE(!command || std::holds_alternative<AskPeersCommand>(*command));
        input.now += 50ms;
    }
    CHECK_TRUE(nextCommandIs<SurveyCommand>());
}

// Guards against a promotion while most daemons, which this one cannot reach, still renew their
// permissions for the old primary by promises to each other.
TEST(PrimaryReplacement, withoutMostDaemonsWaitsUntilTheirPromisesEnd)
{
    announce();
    const TimePoint announcedAt = input.now;
    while (input.now < PrimaryPermission::effectiveWithoutAcknowledgement(announcedAt)) {
        const auto command = replacement.step(input);
        CHECK_TRUE(!command || std::holds_alternative<AskPeersCommand>(*command));
        input.now += 50ms;
    }
    CHECK_TRUE(nextCommandIs<SurveyCommand>());
}

// Guards against the loss of commits that another replica holds and the promoted one lacks.
TEST(PrimaryReplacement, longestLogIsPromoted)
{
    announce();
    input.allAcknowledged = true;
    survey({{first, replicaAt(7)}, {second, replicaAt(9)}});
    input.now += 100ms;
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == second);
    replacement.handlePromoted(PromotionOutcome::Accepted, input.now);
    input.now += 100ms;
    CHECK_TRUE(nextCommandIs<SurveyCommand>());
    replacement.handleSurvey({{second, {true, Term(2), {}}}}, input.now);
    CHECK_TRUE(nextCommand<PublishCommand>().record.primary == second);
}

// Guards against the loss of the last commits of a primary that drains.
TEST(PrimaryReplacement, plannedReplacementWaitsForTheEndOfTheLog)
{
    announce();
    input.allAcknowledged = true;
    survey({{oldPrimary, primaryAt(9)}, {first, replicaAt(8)}, {second, replicaAt(8)}});
    CHECK_TRUE(nextCommand<DemoteCommand>().term == Term(2));
    replacement.handleDemoted(replicaAt(9), input.now);
    input.now += 100ms;
    survey({{oldPrimary, replicaAt(9)}, {first, replicaAt(8)}, {second, replicaAt(8)}});
    input.now += 100ms;
    survey({{first, replicaAt(9)}});
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
}

// Guards against two primaries after an unanswered promotion that takes effect late.
TEST(PrimaryReplacement, promotionWithoutAnswerIsRepeatedForTheSameEndpoint)
{
    announce();
    input.allAcknowledged = true;
    survey({{first, replicaAt(9)}, {second, replicaAt(9)}});
    const EndpointId chosen = nextCommand<PromoteCommand>().endpoint;
    replacement.handlePromoted(PromotionOutcome::NoAnswer, input.now);
    input.now += 200ms;
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == chosen);
}

// Guards against a second promotion when an earlier lease holder promoted an endpoint and failed
// before it published it.
TEST(PrimaryReplacement, endpointThatIsAlreadyPrimaryIsPublished)
{
    announce();
    input.allAcknowledged = true;
    survey({{oldPrimary, replicaAt(9)}, {first, replicaAt(9)}, {second, {true, Term(2), {}}}});
    CHECK_TRUE(nextCommand<PublishCommand>().record.primary == second);
}

// Guards against the loss of an acknowledged commit when the replica that holds it did not answer.
TEST(PrimaryReplacement, synchronousServiceNeedsEveryReplica)
{
    input.syncReplicas = 1;
    announce();
    input.allAcknowledged = true;
    survey({{first, replicaAt(7)}});
    input.now += 10s;
    CHECK_FALSE(nextCommandIs<PromoteCommand>());
    replacement.handleSurvey({{second, replicaAt(9)}}, input.now);
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == second);
}

// Guards against the loss of acknowledged commits that only a draining replica holds.
TEST(PrimaryReplacement, drainingReplicaWithTheLongestLogIsPassedOver)
{
    for (const unsigned syncReplicas : {0U, 1U}) {
        replacement = PrimaryReplacement(ServiceName("db"), VmId("vm"));
        input = {};
        setup();
        input.syncReplicas = syncReplicas;
        announce();
        input.candidates[1].draining = true;
        input.allAcknowledged = true;
        survey({{first, replicaAt(9)}, {second, replicaAt(7)}});
        input.now += 2s;
        CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
    }
}

// Guards against the loss of acknowledged commits that only a replica holds whose registration has
// expired, for example while the store was away.
TEST(PrimaryReplacement, replicaWithTheLongestLogButNoRegistrationIsPassedOver)
{
    input.syncReplicas = 1;
    announce();
    input.candidates[1].registered = false;
    input.allAcknowledged = true;
    survey({{first, replicaAt(9)}, {second, replicaAt(7)}});
    input.now += 2s;
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
}

// Guards against a planned change that loses the end of the log: no replica received it in time,
// and the former primary that holds it was passed over.
TEST(PrimaryReplacement, replicaThatDidNotCatchUpIsPromotedBesideTheDemotedPrimary)
{
    input.syncReplicas = 1;
    announce();
    input.allAcknowledged = true;
    survey({{oldPrimary, primaryAt(9)}, {first, replicaAt(7)}, {second, replicaAt(8)}});
    CHECK_TRUE(nextCommandIs<DemoteCommand>());
    replacement.handleDemoted(replicaAt(9), input.now);
    input.now += 100ms;
    survey({{oldPrimary, replicaAt(9)}, {first, replicaAt(7)}, {second, replicaAt(8)}});
    input.now += 3s;
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == oldPrimary);
}

// Guards against the loss of acknowledged commits after the platform refused to promote the replica
// that holds them, and against a service that stays without a primary after such a refusal.
TEST(PrimaryReplacement, shorterLogIsPromotedAfterARefusal)
{
    input.syncReplicas = 1;
    announce();
    input.allAcknowledged = true;
    const std::map<EndpointId, ReplicationStatus> statuses{{first, replicaAt(9)},
                                                           {second, replicaAt(7)}};
    survey(statuses);
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
    replacement.handlePromoted(PromotionOutcome::NotPromotable, input.now);
    input.now += 100ms;
    survey(statuses);
    input.now += 100ms;
    survey(statuses);
    input.now += 3s;
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
}

// Guards against the loss of commits, without synchronous replicas, because the platform refused
// once to promote the replica that holds them: 409 also means that it is not running at the moment.
TEST(PrimaryReplacement, refusedEndpointIsNotAskedAgainWithoutSynchronousReplicas)
{
    announce();
    input.allAcknowledged = true;
    const std::map<EndpointId, ReplicationStatus> statuses{{first, replicaAt(9)},
                                                           {second, replicaAt(7)}};
    survey(statuses);
    for (int refusals = 0; refusals < 2; ++refusals) {
        CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
        replacement.handlePromoted(PromotionOutcome::NotPromotable, input.now);
        input.now += 100ms;
        survey(statuses);
        CHECK_FALSE(nextCommandIs<PromoteCommand>());
        input.now += 1s;
    }
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
    replacement.handlePromoted(PromotionOutcome::NotPromotable, input.now);
    input.now += 900ms;
    survey(statuses);
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == second);
}

// Guards against a service without a primary for seconds: a draining primary was demoted although
// the only replica that could follow it received nothing.
TEST(PrimaryReplacement, primaryIsDemotedWhileNoReplicaKeepsUp)
{
    startPlannedReplacement();
    for (std::uint64_t written = 9; written < 40; ++written) {
        survey({{oldPrimary, primaryAt(written)}, {first, replicaAt(7)}, {second, replicaAt(8)}});
        input.now += 100ms;
    }
    survey({{oldPrimary, primaryAt(40)}, {second, replicaAt(9)}});
    input.now += 100ms;
    CHECK_TRUE(nextCommandIs<AnnounceCommand>());
}

// Guards against a draining primary that is not replaced because it does not tell its position.
TEST(PrimaryReplacement, busyDrainingPrimaryIsKept)
{
    startPlannedReplacement();
    survey({{first, replicaAt(7)}});
    input.now += 2s;
    CHECK_TRUE(nextCommandIs<AnnounceCommand>());
}

// Guards against a crashed primary that is kept because it drained before.
TEST(PrimaryReplacement, crashedDrainingPrimaryIsKept)
{
    startPlannedReplacement();
    survey({{oldPrimary, primaryAt(9)}, {first, replicaAt(7)}, {second, replicaAt(7)}});
    input.now += 2s;
    input.primaryFailingSince = input.now - 1s;
    CHECK_TRUE(nextCommandIs<AnnounceCommand>());
}

// Guards against the same where all replicas drain as well.
TEST(PrimaryReplacement, crashedPrimaryIsKeptWhileAllReplicasDrain)
{
    for (ReplacementCandidate &candidate : input.candidates)
        candidate.draining = true;
    input.primaryFailingSince = input.now - 1s;
    CHECK_TRUE(nextCommandIs<AcquireLeaseCommand>());
}

// Guards against the promotion of an endpoint that has restarted without its log since it answered.
TEST(PrimaryReplacement, answerFromBeforeARestartCounts)
{
    input.syncReplicas = 1;
    announce();
    input.allAcknowledged = true;
    survey({{first, replicaAt(9)}});
    input.lostLogs[first] = TermPosition{Term(1), LogPosition(9)};
    replacement.handleLostLog(first);
    input.now += 100ms;
    survey({{second, replicaAt(7)}});
    input.now += 30s;
    CHECK_TRUE(nextCommandIs<SurveyCommand>());
    CHECK_TRUE(replacement.wait() == ChoiceWait::Copies);
    replacement.handleSurvey({{first, {}}, {second, replicaAt(9)}}, input.now);
    CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == second);
}

// Guards against a wait for a holder of the newest term that starts over with each attempt.
TEST(PrimaryReplacement, attemptsInARowProlongTheWaitForTheNewestTerm)
{
    input.newest = {Term(3), {Term(3), LogPosition(9)}};
    input.announcedByThisRun = true;
    announce();
    input.allAcknowledged = true;
    const TimePoint start = input.now;
    survey({{first, replicaAt(7)}});
    input.now += 10s;
    CHECK_FALSE(nextCommandIs<PromoteCommand>());
    replacement.handleSurvey({{first, replicaAt(7)}}, input.now);
    CHECK_TRUE(replacement.wait() == ChoiceWait::NewestTerm);
    input.leaseHeld = false;
    input.leaseAvailable = false;
    replacement.step(input);
    CHECK_TRUE(replacement.stage() == PrimaryReplacement::Stage::Monitoring);
    input.leaseHeld = true;
    input.now += 100ms;
    survey({{first, replicaAt(7)}});
    input.now = start + 15s;
    CHECK_TRUE(nextCommand<PromoteCommand>().olderTerm);
}

// Guards against the old primary being published again after an accepted promotion whose endpoint
// went away before it was seen as primary: it may lead at any time. The order is this daemon's, or
// may be that of the daemon whose announcement this one has taken over.
TEST(PrimaryReplacement, oldPrimaryIsPublishedAfterAPromotionWasOrdered)
{
    for (const bool takenOver : {false, true}) {
        replacement = PrimaryReplacement(ServiceName("db"), VmId("vm"));
        input = {};
        setup();
        input.newest = {Term(1), {Term(1), LogPosition(9)}};
        input.announcedByThisRun = !takenOver;
        announce();
        input.candidates.front().draining = false;
        input.allAcknowledged = true;
        if (!takenOver) {
            survey({{first, replicaAt(9)}, {second, replicaAt(8)}});
            CHECK_TRUE(nextCommand<PromoteCommand>().endpoint == first);
            replacement.handlePromoted(PromotionOutcome::Accepted, input.now);
            input.now += 5s;
        }
        survey({{oldPrimary, primaryAt(9)}, {second, replicaAt(8)}});
        CHECK_TRUE(nextCommandIs<DemoteCommand>());
        replacement.handleDemoted({}, input.now); // no answer
        input.now += 4s;
        CHECK_FALSE(nextCommandIs<PublishCommand>());
        replacement.handleSurvey({{first, {true, Term(2), {Term(1), LogPosition(9)}}}}, input.now);
        const PrimaryRecord record = nextCommand<PublishCommand>().record;
        CHECK_TRUE(record.primary == first && record.newest->term == Term(2));
    }
}

// Guards against an endpoint that is published in its former term, before its promotion has taken
// effect, and against a service without a primary where the platform changes nothing.
TEST(PrimaryReplacement, endpointIsPublishedBeforeItsPromotionTakesEffect)
{
    input.newest = {Term(2), {Term(2), LogPosition(9)}};
    input.announcedByThisRun = true;
    announce();
    input.allAcknowledged = true;
    survey({{first, primaryAt(7)}});
    input.now += 15s;
    CHECK_TRUE(nextCommand<PromoteCommand>().olderTerm);
    replacement.handlePromoted(PromotionOutcome::Accepted, input.now);
    for (int i = 0; i < 30; ++i) {
        input.now += 100ms;
        survey({{first, primaryAt(7)}});
    }
    PrimaryReplacement changed = replacement;
    changed.step(input);
    changed.handleSurvey({{first, {true, Term(3), {Term(1), LogPosition(7)}}}}, input.now);
    const auto published = changed.step(input);
    CHECK_TRUE(published && std::holds_alternative<PublishCommand>(*published));
    input.now += 2s;
    survey({{first, primaryAt(7)}});
    CHECK_TRUE(nextCommand<PublishCommand>().record.newest->term == Term(1));
}

// Guards against two daemons that continue the same replacement.
TEST(PrimaryReplacement, newerRecordEndsTheAttempt)
{
    announce();
    input.recordVersion = storeVersion(8);
    CHECK_FALSE(replacement.step(input).has_value());
    CHECK_TRUE(replacement.stage() == PrimaryReplacement::Stage::Monitoring);
}

// Guards against an announcement for a primary that recovered while the announcement waited: in one
// fault run, a promise to a peer delayed it by 2.4 s.
TEST(PrimaryReplacement, announcementIsDroppedWhenThePrimaryIsBack)
{
    input.primaryFailingSince = input.now - 2s;
    CHECK_TRUE(nextCommandIs<AcquireLeaseCommand>());
    replacement.handleLeaseResult(true, input.now);
    input.leaseHeld = true;
    input.mayAnnounce = false;
    CHECK_FALSE(replacement.step(input).has_value());
    input.mayAnnounce = true;
    input.primaryFailingSince.reset();
    CHECK_FALSE(replacement.step(input).has_value());
    CHECK_TRUE(replacement.stage() == PrimaryReplacement::Stage::Monitoring);
}

// Guards against a replacement that starts over, or is left to others for seconds, when the store
// was restored and its announcement was written again.
TEST(PrimaryReplacement, announcementWrittenAgainStopsTheReplacement)
{
    announce();
    input.allAcknowledged = true;
    survey({{first, replicaAt(4)}, {second, replicaAt(4)}});
    input.announcedByThisRun = true;
    input.recordVersion = storeVersion(3, 2);
    input.leaseHeld = false;
    CHECK_TRUE(nextCommandIs<AcquireLeaseCommand>());
    replacement.handleLeaseResult(true, input.now);
    input.leaseHeld = true;
    input.now += 2s;
    CHECK_TRUE(nextCommandIs<PromoteCommand>());
}

// Guards against a daemon that goes on although another one has continued its replacement.
TEST(PrimaryReplacement, changeByAnotherDaemonDoesNotStopTheReplacement)
{
    announce();
    input.allAcknowledged = true;
    survey({{first, replicaAt(4)}, {second, replicaAt(4)}});
    input.recordVersion = storeVersion(3, 2);
    input.now += 2s;
    CHECK_FALSE(replacement.step(input).has_value());
    LONGS_EQUAL(static_cast<int>(PrimaryReplacement::Stage::Monitoring),
                static_cast<int>(replacement.stage()));
}
