#include "pools/fair_queue.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(FairQueue)
{
    ManualClock clock;
    std::uint64_t lastTicket = 0;

    PoolRequest request(const std::string &team, const std::string &session,
                        std::uint32_t weight = 1, Milliseconds remaining = 1000ms)
    {
        return {Ticket(++lastTicket), TeamName(team), weight, session, clock.now() + remaining};
    }
    Admission push(FairQueue & queue, const PoolRequest &entry, Milliseconds waitPerEntry = 0ms)
    {
        return queue.push(entry, {clock.now(), waitPerEntry, 0});
    }
    void fill(FairQueue & queue, const std::string &team, const std::string &session, int entries,
              std::uint32_t weight = 1)
    {
        for (int i = 0; i < entries; ++i)
            CHECK_TRUE(push(queue, request(team, session, weight)).refusal
                       == AdmissionRefusal::None);
    }
};

// Guards against weights that have no effect between teams.
TEST(FairQueue, teamsAreServedByWeight)
{
    FairQueue queue(100);
    fill(queue, "a", "s", 40, 3);
    fill(queue, "b", "s", 40, 1);
    std::map<std::string, int> served;
    for (int i = 0; i < 40; ++i)
        ++served[queue.pop()->team.value()];
    LONGS_EQUAL(30, served["a"]);
    LONGS_EQUAL(10, served["b"]);
}

// Guards against one session taking the whole share of its team.
TEST(FairQueue, sessionsOfTeamAlternate)
{
    FairQueue queue(100);
    fill(queue, "a", "busy", 20);
    fill(queue, "a", "calm", 2);
    std::string order;
    for (int i = 0; i < 5; ++i)
        order += queue.pop()->sessionKey.front();
    STRCMP_EQUAL("bcbcb", order.c_str());
}

// Guards against a full queue that refuses flows which are below their share.
TEST(FairQueue, fullQueueEvictsNewestOfLargestFlow)
{
    FairQueue queue(4);
    fill(queue, "a", "s", 4);
    const Admission admission = push(queue, request("b", "s"));
    CHECK_TRUE(admission.refusal == AdmissionRefusal::None);
    CHECK_TRUE(admission.evicted == Ticket(4));
    const Admission sibling = push(queue, request("a", "t"));
    CHECK_TRUE(sibling.evicted == Ticket(3));
    LONGS_EQUAL(4, queue.size());
}

// Guards against flows at their share evicting each other repeatedly, and against exceeding the
// limit.
TEST(FairQueue, fullQueueRefusesFlowsAtTheirShare)
{
    FairQueue queue(3);
    fill(queue, "a", "s", 2);
    fill(queue, "b", "s", 1);
    CHECK_TRUE(push(queue, request("b", "s")).refusal == AdmissionRefusal::Full);
    CHECK_TRUE(push(queue, request("a", "s")).refusal == AdmissionRefusal::Full);
    CHECK_TRUE(push(queue, request("b", "other")).refusal == AdmissionRefusal::Full);
    LONGS_EQUAL(3, queue.size());
}

// Guards against running work whose deadline has passed.
TEST(FairQueue, expiredEntriesAreRemoved)
{
    FairQueue queue(10);
    push(queue, request("a", "s", 1, 10ms));
    push(queue, request("a", "s", 1, 30ms));
    clock.advance(10ms);
    const auto expired = queue.takeExpired(clock.now());
    LONGS_EQUAL(1, expired.size());
    CHECK_TRUE(expired.front() == Ticket(1));
    LONGS_EQUAL(1, queue.size());
    CHECK_TRUE(push(queue, request("a", "s", 1, 0ms)).refusal == AdmissionRefusal::Expired);
}

// Guards against queueing work that cannot be served before its deadline.
TEST(FairQueue, arrivalThatWouldExpireIsRefused)
{
    FairQueue queue(100);
    fill(queue, "a", "s", 10);
    CHECK_TRUE(push(queue, request("a", "s", 1, 99ms), 10ms).refusal
               == AdmissionRefusal::WouldExpire);
    CHECK_TRUE(push(queue, request("a", "s", 1, 100ms), 10ms).refusal == AdmissionRefusal::None);
    CHECK_TRUE(queue.push(request("b", "s", 1, 99ms), {clock.now(), 10ms, 10}).refusal
               == AdmissionRefusal::WouldExpire);
}

// Guards against refusing a request of a short flow because another flow has many entries.
TEST(FairQueue, expectedWaitFollowsFairOrder)
{
    FairQueue queue(100);
    fill(queue, "a", "s", 50);
    LONGS_EQUAL(1, queue.countAhead(request("b", "s")));
    LONGS_EQUAL(1, queue.countAhead(request("a", "t")));
    LONGS_EQUAL(50, queue.countAhead(request("a", "s")));
    CHECK_TRUE(push(queue, request("b", "s", 1, 20ms), 10ms).refusal == AdmissionRefusal::None);
}

// Guards against waiting transactions blocking the statements behind them.
TEST(FairQueue, transactionsWaitWithoutBlockingStatements)
{
    FairQueue queue(10);
    PoolRequest transaction = request("a", "s");
    transaction.forTransaction = true;
    push(queue, transaction);
    fill(queue, "a", "s", 1);
    CHECK_TRUE(queue.pop(false)->ticket == Ticket(2));
    CHECK_FALSE(queue.pop(false).has_value());
    CHECK_TRUE(queue.pop(true)->ticket == Ticket(1));
}

// Guards against a lowered limit that leaves the entries above it in the queue.
TEST(FairQueue, loweredLimitRemovesNewestOfLargestFlows)
{
    FairQueue queue(10);
    fill(queue, "a", "s", 4);
    fill(queue, "b", "s", 1);
    const auto removed = queue.setLimit(3);
    LONGS_EQUAL(2, removed.size());
    CHECK_TRUE(removed.front() == Ticket(4) && removed.back() == Ticket(3));
}
