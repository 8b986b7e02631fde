#include "writes/durability_tracker.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(DurabilityTracker)
{
    ManualClock clock;
    DurabilityTracker tracker{clock};
    const EndpointId a{"a"}, b{"b"}, c{"c"}, d{"d"}, e{"e"};

    void setup() override
    {
        tracker.setGroup(Term(5), a, {a, b, c, d, e});
    }
    void report(const EndpointId &endpoint, std::uint64_t position, std::uint64_t term = 5,
                std::uint64_t lastEntryTerm = 5)
    {
        tracker.recordReport(endpoint, {Term(term), LogPosition(position), Term(lastEntryTerm)});
    }
    void wait(std::uint64_t ticket, std::uint64_t position, std::uint64_t term = 5)
    {
        tracker.addWait(Ticket(ticket), Term(term), LogPosition(position), clock.now() + 100ms);
    }
    void expectResult(std::uint64_t ticket, Durability durability)
    {
        const auto results = tracker.takeResults();
        LONGS_EQUAL(1, results.size());
        CHECK_TRUE(results.front().ticket == Ticket(ticket));
        CHECK_TRUE(results.front().durability == durability);
    }
};

// Guards against acknowledging a write that only a minority holds. A report of a replica also shows
// that the primary holds the position.
TEST(DurabilityTracker, majorityMakesPositionDurable)
{
    wait(1, 10);
    report(a, 10);
    report(b, 10);
    CHECK_TRUE(tracker.takeResults().empty());
    report(c, 9);
    LONGS_EQUAL(9, tracker.durablePosition().value());
    report(c, 12); // a is known to hold 12 now, b still 10
    expectResult(1, Durability::Durable);
    wait(2, 10);
    expectResult(2, Durability::Durable);
}

// Guards against counting a divergent end of a log, or a position of another term, as a copy.
TEST(DurabilityTracker, onlyEntriesOfTheTermCount)
{
    tracker.setGroup(Term(5), a, {a, b, c, d});
    report(a, 20);
    report(b, 20); // two of four members are no majority
    report(c, 20, 5, 4); // granted term 5, but its last entry is of term 4
    report(c, 20, 4, 4);
    report(c, 20, 6, 5); // granted term 6, so it refuses the primary of term 5
    report(EndpointId("stranger"), 20);
    LONGS_EQUAL(0, tracker.durablePosition().value());
}

// Guards against acknowledging a write of a primary that has been replaced.
TEST(DurabilityTracker, termChangeFailsOlderWaits)
{
    wait(1, 10);
    wait(2, 3, 6);
    tracker.setGroup(Term(6), b, {a, b, c});
    expectResult(1, Durability::TermChanged);
    wait(3, 10, 5);
    expectResult(3, Durability::TermChanged);
    tracker.setGroup(Term(5), a, {a});
    LONGS_EQUAL(6, tracker.term().value());
    report(b, 3, 6, 6);
    report(c, 3, 6, 6);
    expectResult(2, Durability::Durable);
}

// Guards against waits that are kept after their deadline or after they were cancelled.
TEST(DurabilityTracker, waitsExpireOrAreCancelled)
{
    wait(1, 10);
    wait(2, 10);
    tracker.cancel(Ticket(2));
    clock.advance(99ms);
    CHECK_TRUE(tracker.takeResults().empty());
    clock.advance(1ms);
    expectResult(1, Durability::Expired);
}

// Guards against a durable position that decreases within a term when members change.
TEST(DurabilityTracker, memberChangeKeepsDurablePosition)
{
    report(b, 10);
    report(c, 10);
    tracker.setGroup(Term(5), a, {a, d, e});
    LONGS_EQUAL(10, tracker.durablePosition().value());
    report(d, 11);
    LONGS_EQUAL(11, tracker.durablePosition().value());
}

// Guards against long polls while nothing waits, and against polls that return below the lowest
// awaited position.
TEST(DurabilityTracker, pollsAreForReplicasBelowAwaitedPositions)
{
    CHECK_TRUE(tracker.neededPolls().empty());
    report(b, 12);
    report(c, 10);
    wait(1, 11);
    wait(2, 12);
    const std::vector<ReplicaPoll> expected{
        {c, LogPosition(10)}, {d, LogPosition(10)}, {e, LogPosition(10)}};
    CHECK_TRUE(tracker.neededPolls() == expected);
    report(c, 12);
    CHECK_TRUE(tracker.neededPolls().empty());
}
