#include "gateway/position_wait.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(PositionWait)
{
    TimePoint now{std::chrono::hours(1)};
    PositionWait wait;
};

// Guards against reads that all queue at the primary of a daemon that has just started: of 200
// reads in 100 ms one asks and none goes to the primary.
TEST(PositionWait, oneReadAsksAndTheOthersWait)
{
    unsigned asked = 0;
    for (int read = 0; read < 200; ++read) {
        const PositionWait::Step step = wait.nextStep(false, true, now);
        CHECK_TRUE(step != PositionWait::Step::Proceed);
        asked += step == PositionWait::Step::AskPrimary ? 1 : 0;
        now += read % 2 == 0 ? 1ms : 0ms;
    }
    LONGS_EQUAL(1, asked);
    CHECK_TRUE(wait.finish());
    CHECK_TRUE(wait.nextStep(true, true, now) == PositionWait::Step::Proceed);
}

// Guards against reads that wait again and again for a primary that does not answer.
TEST(PositionWait, waitEndsOnce)
{
    CHECK_TRUE(wait.nextStep(false, true, now) == PositionWait::Step::AskPrimary);
    CHECK_TRUE(wait.nextStep(false, true, now + 300ms) == PositionWait::Step::Proceed);
    CHECK_TRUE(wait.nextStep(false, true, now + 10s) == PositionWait::Step::Proceed);
    wait.reset(); // the primary was replaced
    CHECK_TRUE(wait.nextStep(false, true, now + 10s) == PositionWait::Step::AskPrimary);
}

// Guards against holding reads for the position of a primary that is known to be failing or may not
// be used.
TEST(PositionWait, readsDoNotWaitForAnUnusablePrimary)
{
    CHECK_TRUE(wait.nextStep(false, false, now) == PositionWait::Step::Proceed);
    CHECK_FALSE(wait.finish());
}
