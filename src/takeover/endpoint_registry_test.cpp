#include "takeover/endpoint_registry.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(EndpointRegistry)
{
    EndpointRegistry registry;
    std::map<EndpointId, EndpointEntry> registered;
    TimePoint now{std::chrono::hours(1)};
    std::optional<TimePoint> storeAnswersSince{std::chrono::minutes(1)};
    const EndpointId id{"e"};

    void registerEndpoint(bool draining)
    {
        registered[id] = {.id = id, .service = ServiceName("db"), .draining = draining};
        registry.update(registered, now);
    }

    void restartEndpoint(std::uint64_t incarnation)
    {
        registered[id].incarnation = incarnation;
        registry.update(registered, now);
    }

    void expireRegistration()
    {
        registered.clear();
        registry.update(registered, now);
    }

    bool known() const
    {
        return registry.endpoints().count(id) > 0;
    }
};

// Guards against an endpoint whose running work is given up, because its reports did not reach the
// store for a while.
TEST(EndpointRegistry, endpointIsGivenUpWithItsRegistration)
{
    registerEndpoint(false);
    expireRegistration();
    CHECK_TRUE(known());
    now += 2s;
    CHECK_FALSE(registry.expire(storeAnswersSince, now));
    registerEndpoint(false);
    CHECK_FALSE(registry.endpoints().at(id).missingSince.has_value());
    now += EndpointRegistry::returnTime;
    CHECK_FALSE(registry.expire(storeAnswersSince, now));
}

// Guards against an endpoint that is given up while the store is down, so that it cannot register.
TEST(EndpointRegistry, endpointIsGivenUpWhileItCannotRegister)
{
    registerEndpoint(false);
    expireRegistration();
    now += 10s;
    CHECK_FALSE(registry.expire(std::nullopt, now));
    storeAnswersSince = now;
    now += 2s;
    CHECK_FALSE(registry.expire(storeAnswersSince, now));
    now += 500ms;
    CHECK_TRUE(registry.expire(storeAnswersSince, now));
}

// Guards against an endpoint that stays in use after it has left.
TEST(EndpointRegistry, endpointThatHasLeftStaysInUse)
{
    registerEndpoint(false);
    expireRegistration();
    now += 1s;
    registry.update(registered, now);
    now += EndpointRegistry::returnTime - 1s;
    CHECK_TRUE(registry.expire(storeAnswersSince, now));
    CHECK_FALSE(known());
    registerEndpoint(true);
    expireRegistration();
    CHECK_FALSE(known());
}

// Guards against a drain that is counted from a later report.
TEST(EndpointRegistry, eachReportStartsTheDrainAnew)
{
    registerEndpoint(true);
    const TimePoint start = now;
    now += 3s;
    registerEndpoint(true);
    CHECK_TRUE(registry.endpoints().at(id).drainingSince == start);
    registerEndpoint(false);
    CHECK_FALSE(registry.endpoints().at(id).drainingSince.has_value());
}

// Guards against the log of an endpoint that has left or restarted being counted on.
TEST(EndpointRegistry, endpointThatLostItsLogGoesUnnoticed)
{
    registerEndpoint(false);
    restartEndpoint(17);
    restartEndpoint(17);
    LONGS_EQUAL(0, registry.takeLostLogs().size());
    restartEndpoint(18);
    LONGS_EQUAL(1, registry.takeLostLogs().size());
    registerEndpoint(true);
    registry.takeLostLogs();
    expireRegistration();
    CHECK_TRUE(registry.takeLostLogs().front().endpoint == id);
    LONGS_EQUAL(0, registry.takeLostLogs().size());
}
