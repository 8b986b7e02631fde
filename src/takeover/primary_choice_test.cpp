#include "takeover/primary_choice.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const EndpointId former("former");
const EndpointId first("first");
const EndpointId second("second");

TermPosition at(std::uint64_t number, std::uint64_t term = 1)
{
    return {Term(term), LogPosition(number)};
}

ReplicationStatus replicaAt(std::uint64_t number)
{
    return {false, Term(1), at(number)};
}

} // namespace

// A service with one synchronous replica: each acknowledged commit is on the primary and a replica.
TEST_GROUP(PrimaryChoice)
{
    PrimaryEvidence evidence;

    void setup() override
    {
        evidence.formerPrimary = former;
        evidence.candidates = {{former, false, 2}, {first, false, 2}, {second, false, 1}};
        evidence.syncReplicas = 1;
        evidence.waited = 30s;
    }

    void removeCandidate(const EndpointId &id)
    {
        std::erase_if(evidence.candidates,
                      [&](const ReplacementCandidate &candidate) { return candidate.id == id; });
    }

    void checkWaits(ChoiceWait wait)
    {
        const PrimaryChoice choice = choosePrimary(evidence);
        CHECK_TRUE(choice.action == PrimaryChoice::Action::Wait);
        STRCMP_EQUAL(choiceWaitName(wait).data(), choiceWaitName(choice.wait).data());
    }

    void checkChooses(PrimaryChoice::Action action, const EndpointId &id)
    {
        const PrimaryChoice choice = choosePrimary(evidence);
        CHECK_TRUE(choice.action == action);
        STRCMP_EQUAL(id.value().c_str(), choice.endpoint.value().c_str());
    }
};

// Guards against the loss of commits that only a replica holds which has left: it was no longer
// counted among those that did not answer.
TEST(PrimaryChoice, replicaThatLeftIsNotMissed)
{
    removeCandidate(first);
    evidence.lostLogs[first] = at(9);
    evidence.statuses = {{second, replicaAt(7)}};
    checkWaits(ChoiceWait::Copies);
    evidence.lostLogs[first] = std::nullopt;
    checkWaits(ChoiceWait::Copies);
}

// Guards against a service without a primary because a replica left at any time in the past.
TEST(PrimaryChoice, replicaThatLeftLongAgoIsMissed)
{
    removeCandidate(first);
    evidence.lostLogs[first] = at(9);
    evidence.statuses = {{second, replicaAt(9)}};
    checkChooses(PrimaryChoice::Action::Promote, second);
}

// Guards against the loss of commits that a replica held before it restarted without its log.
TEST(PrimaryChoice, answerOfARestartedReplicaCountsForItsFormerLog)
{
    evidence.lostLogs[first] = at(9);
    evidence.statuses = {{first, {}}, {second, replicaAt(7)}};
    checkWaits(ChoiceWait::Copies);
}

// Guards against a primary that restarted without its log and is used again, with or without
// synchronous replicas, although a replica holds the log.
TEST(PrimaryChoice, primaryThatLostItsLogIsPublished)
{
    for (const unsigned syncReplicas : {0U, 1U}) {
        evidence.syncReplicas = syncReplicas;
        evidence.lostLogs[former] = at(9);
        evidence.statuses = {
            {former, {true, Term(1), {}}}, {first, replicaAt(9)}, {second, replicaAt(8)}};
        evidence.demotionTried = false;
        checkChooses(PrimaryChoice::Action::Demote, former);
        evidence.demotionTried = true;
        evidence.finalPosition = TermPosition();
        evidence.statuses[former].primary = false;
        checkChooses(PrimaryChoice::Action::Promote, first);
        evidence.finalPosition.reset();
    }
}

// Guards against a primary that restarted with its log and is replaced for it.
TEST(PrimaryChoice, primaryThatKeptItsLogIsNotPublished)
{
    evidence.lostLogs[former] = at(9);
    evidence.statuses = {{former, {true, Term(1), at(9)}}, {first, replicaAt(9)}};
    checkChooses(PrimaryChoice::Action::Publish, former);
}

// Guards against a primary of an older term that is used again while the primary of the newer term
// and the replica that has its commits do not answer.
TEST(PrimaryChoice, formerLeaderIsPublishedWhileItsSuccessorIsAway)
{
    evidence.newest = {Term(2), at(7, 2)};
    evidence.statuses = {{first, {true, Term(1), at(7)}}};
    checkWaits(ChoiceWait::Copies);
    evidence.newest.reset();
    checkWaits(ChoiceWait::Copies);
}

// Guards against a former primary that is published again, without synchronous replicas, while the
// primary that took its place is unreachable for seconds and a replica knows of no newer term.
TEST(PrimaryChoice, formerPrimaryIsPublishedWhileThePresentOneIsUnreachable)
{
    evidence.syncReplicas = 0;
    evidence.newest = {Term(2), at(9, 2)};
    evidence.statuses = {{first, {true, Term(1), at(12)}}, {second, replicaAt(7)}};
    CHECK_FALSE(choosePrimary(evidence).action == PrimaryChoice::Action::Publish);
    evidence.statuses[former] = {true, Term(2), at(9, 2)};
    checkChooses(PrimaryChoice::Action::Publish, former);
}

// Guards against a log of an older term that is promoted while the holders of the newer one are
// away for seconds, and against a service that waits for them for longer than 15 s.
TEST(PrimaryChoice, logOfAnOlderTermIsPromotedBeforeAHolderOfTheNewestOneIsBack)
{
    evidence.syncReplicas = 0;
    evidence.newest = {Term(3), at(9, 3)};
    evidence.statuses = {{first, replicaAt(50)}};
    evidence.holderMissing = 14999ms;
    checkWaits(ChoiceWait::NewestTerm);
    evidence.holderMissing = 15s;
    checkChooses(PrimaryChoice::Action::Promote, first);
    CHECK_TRUE(choosePrimary(evidence).olderTerm);
    evidence.holderMissing = 0s;
    evidence.statuses[second] = {false, Term(3), at(8, 3)};
    checkChooses(PrimaryChoice::Action::Promote, second);
    CHECK_FALSE(choosePrimary(evidence).olderTerm);
    evidence.statuses = {{first, replicaAt(50)}, {former, {false, Term(3), at(9, 3)}}};
    checkChooses(PrimaryChoice::Action::Promote, former);
}

// Guards against a slower replacement of a primary that has committed nothing in its term, and
// against commits of the term before it that only a log which left its history holds.
TEST(PrimaryChoice, logThatEndsWhereAnEmptyTermBeganIsNotPromoted)
{
    evidence.newest = {Term(2), at(9)};
    evidence.statuses = {{first, replicaAt(12)}, {second, replicaAt(9)}};
    for (const unsigned syncReplicas : {0U, 1U}) {
        evidence.syncReplicas = syncReplicas;
        checkChooses(PrimaryChoice::Action::Promote, second);
    }
}

// Guards against a service without a primary because the holder of the lease failed between the
// promotion and its publication.
TEST(PrimaryChoice, promotedEndpointIsNotPublished)
{
    evidence.newest = {Term(1), at(7)};
    evidence.statuses = {{first, {true, Term(2), at(7)}}};
    checkChooses(PrimaryChoice::Action::Publish, first);
}

// Guards against seconds without a primary in a planned change beside an endpoint that does not
// answer: the demoted primary and a replica hold every commit.
TEST(PrimaryChoice, plannedChangeWaitsForAnEndpointThatHoldsNothingMore)
{
    evidence.waited = 0s;
    evidence.demotionTried = true;
    evidence.finalPosition = at(9);
    evidence.statuses = {{former, replicaAt(9)}, {first, replicaAt(9)}};
    checkChooses(PrimaryChoice::Action::Promote, first);
    evidence.statuses[first] = replicaAt(8);
    checkWaits(ChoiceWait::CatchUp);
}

// Guards against a former primary that restarted without its log and as a replica counting as one
// that holds it.
TEST(PrimaryChoice, restartedFormerPrimaryCountsAsAnswer)
{
    evidence.statuses = {{former, {}}, {second, replicaAt(7)}};
    checkWaits(ChoiceWait::Copies);
    evidence.statuses[first] = replicaAt(9);
    checkChooses(PrimaryChoice::Action::Promote, first);
}

// Guards against the promotion of the longest log among too few answers.
TEST(PrimaryChoice, promotionNeedsAllButTheSynchronousReplicas)
{
    evidence.candidates.push_back({EndpointId("third"), false, 1});
    evidence.syncReplicas = 2;
    evidence.statuses = {{first, replicaAt(9)}};
    checkWaits(ChoiceWait::Copies);
    evidence.statuses[second] = replicaAt(7);
    checkChooses(PrimaryChoice::Action::Promote, first);
}
