#include "routing/read_router.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(ReadRouting)
{
    ManualClock clock;
    ReadRouter router{{}, clock};
    const Locality locality{ZoneName("z1"), RegionName("r1")};
    const EndpointId primary{"primary"};
    const EndpointId near{"near"};
    const EndpointId far{"far"};
    const std::vector<ReadCandidate> candidates{
        {primary, ZoneName("z1"), RegionName("r1"), true},
        {near, ZoneName("z2"), RegionName("r1"), false},
        {far, ZoneName("z3"), RegionName("r2"), false},
    };

    static EndpointReport report(std::uint64_t position, int age)
    {
        return {Term(1), LogPosition(position), Term(1), EndpointRole::Replica, Milliseconds(age)};
    }

    std::vector<EndpointId> rank(std::uint64_t minPosition, int maxAge = 1000) const
    {
        return router.rank(candidates, {Term(1), LogPosition(minPosition), Milliseconds(maxAge)},
                           locality);
    }
};

// Guards against primary reads that a replica of the region could serve.
TEST(ReadRouting, replicaOfTheRegionPrecedesPrimaryAndRemoteReplica)
{
    CHECK_TRUE(rank(0) == (std::vector<EndpointId>{near, primary, far}));
}

// Guards against preferring a replica that lags behind the session and whose recent answers did,
// too.
TEST(ReadRouting, laggingReplicaComesAfterPrimary)
{
    router.recordReport(near, report(10, 0));
    for (int i = 0; i < 7; ++i)
        router.recordVerdict(near, AnswerVerdict::BelowToken);
    clock.advance(Milliseconds(15001)); // until its ejections have ended
    CHECK_TRUE(rank(500).front() == primary);
    CHECK_TRUE(rank(10).front() == near);
}

// Guards against reads on the primary only because the last report of a replica is old.
TEST(ReadRouting, replicaThatKeepsUpIsTriedDespiteAnOldReport)
{
    router.recordReport(near, report(10, 0));
    CHECK_TRUE(rank(500).front() == near);
}

// Guards against a stale replica that causes a retry on each read.
TEST(ReadRouting, repeatedStaleAnswersEjectTheReplicaForAWhile)
{
    for (int i = 0; i < 3; ++i)
        router.recordVerdict(near, AnswerVerdict::TooOld);
    CHECK_TRUE(rank(0).front() == primary);
    clock.advance(Milliseconds(501));
    CHECK_TRUE(rank(0).front() == near);
}

// Guards against delivering data that is older than the session or the caller accepts.
TEST(ReadRouting, answersAreCheckedAgainstTheirOwnReport)
{
    const ReadRequirement requirement{Term(1), LogPosition(10), Milliseconds(100)};
    CHECK_TRUE(checkReadAnswer(requirement, report(10, 100)) == AnswerVerdict::Deliver);
    CHECK_TRUE(checkReadAnswer(requirement, report(9, 0)) == AnswerVerdict::BelowToken);
    CHECK_TRUE(checkReadAnswer(requirement, report(10, 101)) == AnswerVerdict::TooOld);
    EndpointReport oldTerm = report(10, 0);
    oldTerm.term = Term(0);
    CHECK_TRUE(checkReadAnswer(requirement, oldTerm) == AnswerVerdict::WrongTerm);
}

// Guards against reads that find no endpoint because all of them are ejected.
TEST(ReadRouting, primaryIsNeverEjected)
{
    router.recordFailure(primary);
    CHECK_TRUE(rank(0).back() == primary || rank(0)[1] == primary);
}
