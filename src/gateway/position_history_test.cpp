#include "gateway/position_history.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

TermPosition at(std::uint64_t number)
{
    return {Term(1), LogPosition(number)};
}

} // namespace

TEST_GROUP(PositionHistory)
{
    TimePoint start{std::chrono::hours(1)};
    PositionHistory history;
};

// Guards against a position that lacks a commit acknowledged before the given time.
TEST(PositionHistory, coversOnlyCommitsBeforeTheRequest)
{
    history.record(start, at(5));
    history.record(start + 100ms, at(9));
    CHECK_TRUE(history.positionCovering(start) == at(5));
    CHECK_TRUE(history.positionCovering(start + 1ms) == at(9));
    CHECK_FALSE(history.positionCovering(start + 101ms).has_value());
}

// Guards against samples that outlive a change of primary.
TEST(PositionHistory, clearsOnChangeOfPrimary)
{
    history.record(start, at(5));
    history.setPrimaryEpoch(2);
    CHECK_FALSE(history.positionCovering(start).has_value());
}

// Guards against a position that is too low because replies arrived out of order.
TEST(PositionHistory, outOfOrderRepliesKeepCoverage)
{
    history.record(start + 100ms, at(9));
    history.record(start, at(10)); // a late reply to an earlier request
    CHECK_TRUE(history.positionCovering(start) >= at(9));
    CHECK_TRUE(history.positionCovering(start + 50ms) >= at(9));
}

// Guards against merging samples in a way that lowers the position for a time.
TEST(PositionHistory, denseSamplesStayOrdered)
{
    for (int i = 0; i < 500; ++i)
        history.record(start + Milliseconds(i), at(static_cast<std::uint64_t>(i)));
    for (int i = 0; i < 500; ++i) {
        const auto position = history.positionCovering(start + Milliseconds(i));
        CHECK_TRUE(position && position->number.value() >= static_cast<std::uint64_t>(i));
    }
}
