#include "net/client_budget.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(ClientBudget)
{
    static constexpr std::size_t mebibyte = 1024 * 1024;
    ClientBudget budget{{.memoryBytes = 16 * mebibyte, .connections = 20}};
    TimePoint now{};

    void hold(ClientBudget::ClientId client, std::size_t bytes)
    {
        budget.add(client);
        budget.setHeld(client, bytes);
    }
};

// Guards against half-sent messages that are kept for ever, and against closing a short burst.
TEST(ClientBudget, lastingPressureClosesTheLargestOneByOne)
{
    for (ClientBudget::ClientId client = 1; client <= 13; ++client)
        hold(client, mebibyte - client);
    hold(14, 50);
    CHECK_FALSE(budget.mayRead(5));
    CHECK_TRUE(budget.mayRead(14));
    CHECK_FALSE(budget.chooseToClose(now).has_value());
    CHECK_FALSE(budget.chooseToClose(now + 900ms).has_value());
    CHECK_TRUE(budget.chooseToClose(now + 1000ms) == 1U);
    budget.remove(1);
    CHECK_FALSE(budget.chooseToClose(now + 1050ms).has_value());
    CHECK_TRUE(budget.mayRead(5));
    hold(15, mebibyte); // a new burst is tolerated for as long again
    CHECK_FALSE(budget.chooseToClose(now + 1100ms).has_value());
}

// Guards against a budget that is exceeded while pressure is tolerated.
TEST(ClientBudget, wholeBudgetIsNeverExceeded)
{
    for (ClientBudget::ClientId client = 1; client <= 17; ++client)
        hold(client, mebibyte - client);
    CHECK_TRUE(budget.chooseToClose(now) == 1U);
    budget.remove(1);
    CHECK_FALSE(budget.chooseToClose(now).has_value());
}

// Guards against one client that takes the memory of all others.
TEST(ClientBudget, clientWithHalfOfTheBudgetIsClosed)
{
    hold(1, 100);
    hold(2, 8 * mebibyte + 1);
    CHECK_TRUE(budget.chooseToClose(now) == 2U);
}

// Guards against silent connections that leave no room for ordinary callers.
TEST(ClientBudget, oldestThatHasNotStartedMakesRoom)
{
    for (ClientBudget::ClientId client = 1; client <= 20; ++client)
        budget.add(client);
    budget.setStarted(1);
    CHECK_FALSE(budget.hasRoom());
    CHECK_TRUE(budget.oldestNotStarted() == 2U);
    budget.remove(2);
    CHECK_TRUE(budget.hasRoom());
    CHECK_TRUE(budget.oldestNotStarted() == 3U);
}
