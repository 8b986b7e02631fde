#include "primary/failure_detector.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

const EndpointId primary("e0");
const EndpointId replica1("e1");
const EndpointId replica2("e2");

EndpointStatus primaryStatus()
{
    EndpointStatus status;
    status.report.term = Term(1);
    status.report.role = EndpointRole::Primary;
    return status;
}

EndpointStatus replicaStatus(int contactMs, std::uint64_t term = 1)
{
    EndpointStatus status;
    status.report.term = Term(term);
    status.primaryContact = Milliseconds(contactMs);
    return status;
}

} // namespace

TEST_GROUP(FailureDetector)
{
    ManualClock clock;
    FailureDetector detector{clock, ZoneName("z0")};

    void setup() override
    {
        detector.setMembers({primary, replica1, replica2});
        detector.setPrimary(primary, Term(1));
    }

    // Advances 500 ms before each round of probes; a replica with a negative contact does not
    // answer.
    void probe(int rounds, const ProbeResult &answer, int contact1, int contact2, int latencyMs = 5)
    {
        for (int i = 0; i < rounds; ++i) {
            clock.advance(Milliseconds(500));
            detector.handleProbe(primary, answer, Milliseconds(latencyMs));
            if (contact1 >= 0)
                detector.handleProbe(replica1, replicaStatus(contact1), Milliseconds(5));
            if (contact2 >= 0)
                detector.handleProbe(replica2, replicaStatus(contact2), Milliseconds(5));
        }
    }
    void checkVerdict(Verdict verdict, FailureReason reason)
    {
        const Assessment assessment = detector.assess();
        CHECK_TRUE(assessment.verdict == verdict);
        CHECK_TRUE(assessment.reason == reason);
    }
};

// Guards against a suspicion raised by a single lost probe.
TEST(FailureDetector, suspectsOnlyAfterTheTimeout)
{
    probe(1, primaryStatus(), 0, 0);
    probe(3, ProbeFailure::Timeout, 0, 0);
    checkVerdict(Verdict::Healthy, FailureReason::None);
    probe(1, ProbeFailure::Timeout, 0, 0);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
}

// Guards against waiting the whole timeout for a process that has ended.
TEST(FailureDetector, suspectsAfterTwoRefusals)
{
    probe(1, ProbeFailure::Refused, 0, 0);
    checkVerdict(Verdict::Healthy, FailureReason::None);
    probe(1, ProbeFailure::Refused, 0, 0);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
}

// Guards against failing a primary that only this daemon cannot reach.
TEST(FailureDetector, primaryUnreachableFromOneDaemonNeverFails)
{
    for (int i = 0; i < 100; ++i) {
        probe(1, ProbeFailure::Timeout, 50, 50);
        detector.handleConfirmation(VmId("b"), ZoneName("z1"), true);
        CHECK_TRUE(detector.assess().verdict != Verdict::Failed);
    }
}

// Guards against a confirmation from the same zone, which shares the same network fault.
TEST(FailureDetector, confirmationMustComeFromAnotherZone)
{
    probe(5, ProbeFailure::Timeout, 0, 0);
    detector.handleConfirmation(VmId("a"), ZoneName("z0"), false);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
    detector.handleConfirmation(VmId("b"), ZoneName("z1"), false);
    checkVerdict(Verdict::Failed, FailureReason::Unreachable);
}

// Guards against failing a primary that another daemon still reaches.
TEST(FailureDetector, reachablePeerOutweighsConfirmation)
{
    probe(5, ProbeFailure::Timeout, 0, 0);
    detector.handleConfirmation(VmId("b"), ZoneName("z1"), false);
    detector.handleConfirmation(VmId("c"), ZoneName("z2"), true);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
}

// Guards against the use of an outdated confirmation.
TEST(FailureDetector, confirmationExpires)
{
    probe(5, ProbeFailure::Timeout, 0, 0);
    detector.handleConfirmation(VmId("b"), ZoneName("z1"), false);
    probe(5, ProbeFailure::Timeout, 0, 0);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
}

// Guards against a service that stays without a primary when no other daemon answers.
TEST(FailureDetector, lostReplicationContactFailsPrimaryWithoutPeers)
{
    probe(5, ProbeFailure::Timeout, 2500, 0);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
    probe(1, ProbeFailure::Timeout, 2500, 2500);
    checkVerdict(Verdict::Failed, FailureReason::Unreachable);
}

// Guards against counting a replica that does not answer as one that lost its primary.
TEST(FailureDetector, replicasWithoutAnswerDoNotCountAsLost)
{
    probe(20, ProbeFailure::Timeout, 2500, -1);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
}

// Guards against keeping a primary that answers probes but cannot acknowledge writes.
TEST(FailureDetector, isolatedPrimaryFails)
{
    probe(10, primaryStatus(), 2500, 2500);
    checkVerdict(Verdict::Healthy, FailureReason::None);
    probe(1, primaryStatus(), 3000, 3000);
    checkVerdict(Verdict::Failed, FailureReason::Isolated);
}

// Guards against failing a new primary whose replicas have not reached it yet.
TEST(FailureDetector, contactLostToThePreviousPrimaryDoesNotCount)
{
    probe(5, primaryStatus(), 9000, 9000);
    checkVerdict(Verdict::Healthy, FailureReason::None);
}

// Guards against failing a primary for a short phase of slow answers.
TEST(FailureDetector, slowPrimaryNeedsTheWholeWindowAndAConfirmation)
{
    probe(9, primaryStatus(), 50, 50, 700);
    checkVerdict(Verdict::Healthy, FailureReason::None);
    probe(2, primaryStatus(), 50, 50, 700);
    checkVerdict(Verdict::Suspected, FailureReason::Slow);
    detector.handleConfirmation(VmId("b"), ZoneName("z1"), false);
    checkVerdict(Verdict::Failed, FailureReason::Slow);
    probe(1, primaryStatus(), 50, 50, 5);
    checkVerdict(Verdict::Healthy, FailureReason::None);
}

// Guards against waiting forever for a primary that an abandoned attempt has demoted.
TEST(FailureDetector, demotedPrimaryFailsWhenNoReplicaFollowsAnother)
{
    probe(5, replicaStatus(2500, 2), 0, 0);
    checkVerdict(Verdict::Suspected, FailureReason::NotPrimary);
    probe(1, replicaStatus(2500, 2), 2500, 0);
    checkVerdict(Verdict::Failed, FailureReason::NotPrimary);
}

// Guards against replacing a newer primary that only the replicas can reach.
TEST(FailureDetector, confirmationDoesNotFailAnUnseenNewerPrimary)
{
    probe(5, ProbeFailure::Timeout, 0, 0);
    detector.handleProbe(replica1, replicaStatus(10, 2), Milliseconds(5));
    detector.handleConfirmation(VmId("b"), ZoneName("z1"), false);
    checkVerdict(Verdict::Suspected, FailureReason::Unreachable);
}

// Guards against a confirmation by a daemon that has not probed the primary itself.
TEST(FailureDetector, givesNoAnswerWithoutEvidence)
{
    CHECK_FALSE(detector.isPrimaryReachable().has_value());
    probe(1, primaryStatus(), 0, 0);
    CHECK_TRUE(detector.isPrimaryReachable() == std::optional(true));
    probe(2, ProbeFailure::Refused, 0, 0);
    CHECK_TRUE(detector.isPrimaryReachable() == std::optional(false));
    detector.reset();
    CHECK_FALSE(detector.isPrimaryReachable().has_value());
}
