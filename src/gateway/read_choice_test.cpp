#include "gateway/read_choice.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(ReadChoice)
{
    TimePoint now{std::chrono::hours(1)};
    TermPosition needed{Term(1), LogPosition(10)};
    ReplicaLag lag;
};

// Guards against reads in another region while a nearer endpoint is about as fast.
TEST(ReadChoice, prefersNearEndpointUntilItIsBusy)
{
    std::array<EndpointCandidate, 2> candidates{
        EndpointCandidate{.usable = true, .expectedFresh = true, .distance = 0, .latency = 30ms},
        EndpointCandidate{.usable = true, .expectedFresh = true, .distance = 2, .latency = 30ms}};
    LONGS_EQUAL(0, chooseReadEndpoint(candidates).value());
    candidates[0].waiting = 20;
    LONGS_EQUAL(1, chooseReadEndpoint(candidates).value());
    candidates[1].usable = false;
    LONGS_EQUAL(0, chooseReadEndpoint(candidates).value());
    candidates[0].expectedFresh = false;
    CHECK_FALSE(chooseReadEndpoint(candidates).has_value());
}

// Guards against a replica that gets no reads any more because its last observed lag never expires.
TEST(ReadChoice, observedLagExpires)
{
    lag.recordPosition({Term(1), LogPosition(3)}, 60s, now);
    CHECK_FALSE(lag.expectedFresh(needed, 1s, now));
    CHECK_TRUE(lag.expectedFresh(needed, 1s, now + 2s));
}

// Guards against sending every read to a lagging replica first.
TEST(ReadChoice, laggingReplicaIsAvoidedLongerEachTime)
{
    lag.recordLagging(now);
    CHECK_FALSE(lag.expectedFresh(needed, 1s, now + 40ms));
    CHECK_TRUE(lag.expectedFresh(needed, 1s, now + 60ms));
    lag.recordLagging(now);
    CHECK_FALSE(lag.expectedFresh(needed, 1s, now + 60ms));
}
