#include "gateway/endpoint_wait.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(EndpointWait)
{
    const TimePoint start{std::chrono::hours(1)};

    EndpointWaitSituation makeSituation(TimePoint startedAt)
    {
        EndpointWaitSituation situation;
        situation.startedAt = startedAt;
        situation.now = startedAt;
        situation.endpointDeadline = startedAt + 750ms;
        situation.targetLatency = 800ms;
        situation.primaryKnown = true;
        return situation;
    }

    // Plays one statement until an endpoint is available; returns the time of its refusal, or
    // nullopt if it gets the endpoint.
    std::optional<TimePoint> playUntil(EndpointWaitSituation situation, TimePoint available)
    {
        while (situation.now < available) {
            const auto delay = nextEndpointAttempt(situation);
            if (!delay)
                return situation.now;
            situation.now += *delay;
            ++situation.attempts;
        }
        return std::nullopt;
    }

    // Callers of all daemons that start together, one every 20 ms; returns how many are refused
    // until the permission arrives after 500 ms. Each tries three times, 60 ms apart.
    unsigned countLostCallers(TimePoint firstViewAt)
    {
        unsigned lost = 0;
        for (TimePoint arrival = start; arrival < start + 500ms; arrival += 20ms) {
            TimePoint next = arrival;
            unsigned tries = 0;
            for (; tries < 3; ++tries) {
                EndpointWaitSituation situation = makeSituation(next);
                situation.firstViewAt = firstViewAt;
                const auto refusedAt = playUntil(situation, start + 500ms);
                if (!refusedAt)
                    break;
                next = *refusedAt + 60ms;
            }
            lost += tries == 3 ? 1 : 0;
        }
        return lost;
    }
};

// Guards against callers that use up their attempts while all daemons wait for their first
// permission. Without the wait after the first view most of them are lost.
TEST(EndpointWait, callersOutwaitTheStartOfAllDaemons)
{
    LONGS_EQUAL(0, countLostCallers(start));
    CHECK_TRUE(countLostCallers(start - 1h) >= 15);
}

// Guards against holding what this daemon is known not to serve.
TEST(EndpointWait, whatCannotBeServedIsRefusedAtOnce)
{
    EndpointWaitSituation cutOff = makeSituation(start);
    cutOff.firstViewAt = start - 1min;
    cutOff.permissionExpiredAt = start - 300ms;
    CHECK_FALSE(nextEndpointAttempt(cutOff).has_value());

    EndpointWaitSituation withoutPrimary = makeSituation(start);
    withoutPrimary.primaryKnown = false;
    withoutPrimary.firstViewAt = start;
    CHECK_FALSE(nextEndpointAttempt(withoutPrimary).has_value());
}

// Guards against a wait that outlasts the time in which the statement could still run.
TEST(EndpointWait, noWaitPassesItsLimit)
{
    for (const bool replacement : {false, true}) {
        EndpointWaitSituation situation = makeSituation(start);
        situation.replacementInProgress = replacement;
        situation.primariesPermitted = true;
        const auto refusedAt = playUntil(situation, start + 10s);
        CHECK_TRUE(refusedAt.has_value());
        CHECK_TRUE(*refusedAt <= start + (replacement ? 750ms : 200ms));
    }
}

// Guards against refusals during a replacement of the primary, which ends within its callers' time.
TEST(EndpointWait, replacementIsOutwaited)
{
    EndpointWaitSituation situation = makeSituation(start);
    situation.firstViewAt = start - 1min;
    situation.permissionExpiredAt = start - 1min;
    situation.replacementInProgress = true;
    CHECK_FALSE(playUntil(situation, start + 500ms).has_value());
    situation.replacementInProgress = false;
    CHECK_TRUE(playUntil(situation, start + 500ms) == start);
}
