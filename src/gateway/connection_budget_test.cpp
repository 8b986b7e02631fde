#include "gateway/connection_budget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

constexpr unsigned maxConnections = 32;
// Connections that an endpoint needs to keep its five slots busy while some rest in transactions.
constexpr std::size_t connectionsToServe = 12;

} // namespace

TEST_GROUP(ConnectionBudget)
{
    SeededRandom random{7};
    TimePoint start{std::chrono::hours(1)};

    std::vector<ConnectionBudget> makeBudgets(unsigned daemons)
    {
        std::vector<ConnectionBudget> budgets;
        for (unsigned i = 0; i < daemons; ++i) {
            budgets.emplace_back(random, start);
            budgets.back().setShare(maxConnections, daemons);
        }
        return budgets;
    }
};

// Guards against daemons that return together and of which the first take all connections, while
// the endpoint still counts those of the previous processes: the others refused everything for 2 s.
TEST(ConnectionBudget, returningDaemonsLeaveRoomForEachOther)
{
    for (const unsigned daemons : {6U, 63U, 95U, 300U}) {
        std::size_t opened = 0;
        for (const ConnectionBudget &budget : makeBudgets(daemons)) {
            CHECK_TRUE(budget.limit(start + 1s) >= 1);
            CHECK_TRUE(budget.limit(start + 1s) <= (budget.share() + 1) / 2);
            opened += budget.limit(start + 1s);
        }
        CHECK_TRUE(daemons > 6 || opened <= maxConnections * 3 / 5);
        CHECK_TRUE(opened >= std::min<std::size_t>(connectionsToServe, daemons));
    }
}

// Guards against idle connections that use up the endpoint's limit: after a power loss it still
// counts all of them, and nothing is left for the daemons that return.
TEST(ConnectionBudget, unusedConnectionsAreClosedSoon)
{
    std::size_t kept = 0;
    for (ConnectionBudget &budget : makeBudgets(6)) {
        budget.recordInUse(5, start);
        for (TimePoint now = start + 100ms; now < start + 6s; now += 100ms)
            budget.recordInUse(2, now);
        std::size_t open = budget.share();
        while (open > 0 && budget.idleTimeout(open, start + 6s) <= 1s)
            --open;
        kept += open;
    }
    CHECK_TRUE(kept <= maxConnections / 2);
}

// Guards against a connection that is opened anew for each statement in calm times.
TEST(ConnectionBudget, usedConnectionsAreKept)
{
    ConnectionBudget budget = makeBudgets(6).front();
    budget.recordInUse(2, start);
    CHECK_TRUE(budget.idleTimeout(2, start + 1s) >= 10s);
}

// Guards against daemons that together ask for more connections than the endpoint accepts, again
// and again: each refusal ends the borrowing, which returns by one connection a second.
TEST(ConnectionBudget, refusalEndsBorrowing)
{
    ConnectionBudget budget = makeBudgets(6).front();
    const TimePoint now = start + 60s;
    CHECK_EQUAL(15, budget.limit(now));
    budget.recordRefused(budget.share(), now);
    CHECK_EQUAL(budget.share(), budget.limit(now));
    CHECK_EQUAL(budget.share() + 2, budget.limit(now + 2500ms));
    CHECK_EQUAL(15, budget.limit(now + 60s));
}

// Guards against a pause after a refusal that outlasts the patience of the callers.
TEST(ConnectionBudget, pauseAfterRefusalsIsBounded)
{
    ConnectionBudget budget = makeBudgets(6).front();
    TimePoint now = start;
    for (int i = 0; i < 10; ++i) {
        budget.recordRefused(budget.share(), now);
        CHECK_TRUE(budget.dialBlockedUntil() > now);
        CHECK_TRUE(budget.dialBlockedUntil() - now <= 480ms);
        now = budget.dialBlockedUntil();
    }
    budget.recordOpened();
    budget.recordRefused(budget.share(), now);
    CHECK_TRUE(budget.dialBlockedUntil() - now <= 60ms);
}

// Guards against idle connections that use up an endpoint when daemons outnumber its connections:
// on a day with 63 daemons it refused 4,011 connections while others lay idle.
TEST(ConnectionBudget, refusalsShortenTheIdleTimeOfLargeFleets)
{
    ConnectionBudget budget = makeBudgets(95).front();
    const TimePoint now = start + 60s;
    const Milliseconds calm = budget.idleTimeout(1, now);
    for (int i = 0; i < 10; ++i)
        budget.recordRefused(budget.share(), now);
    CHECK_TRUE(budget.idleTimeout(1, now) <= 50ms);
    CHECK_TRUE(budget.idleTimeout(1, now + 60s) == calm);
}
