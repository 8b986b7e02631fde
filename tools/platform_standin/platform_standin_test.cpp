#include "net/http.h"
#include "platform_standin/call_limiter.h"
#include "platform_standin/object_store.h"
#include "platform_standin/platform_server.h"
#include "platform_standin/vm_list.h"

#include <future>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace pistachiowood::platform;

namespace {

template <typename F>
ErrorCode errorOf(F &&call)
{
    const auto outcome = capture(std::forward<F>(call));
    return std::holds_alternative<Error>(outcome) ? std::get<Error>(outcome).code
                                                  : ErrorCode::Internal;
}

} // namespace

TEST_GROUP(ObjectStore)
{
    ObjectStore store{3};

    std::uint64_t put(const std::string &kind, const std::string &name, std::uint64_t expected)
    {
        return store.put({kind, name, expected, "op", "{}"}).value()->version;
    }
};

// Guards against a second operator silently overwriting the first one's change.
TEST(ObjectStore, staleExpectedVersionConflicts)
{
    CHECK_EQUAL(1, put("Team", "a", 0));
    CHECK_EQUAL(2, put("Team", "a", 1));
    CHECK_TRUE(errorOf([&] {
                   return store.put({"Team", "a", 1, "x", "{}"});
               })
               == ErrorCode::Conflict);
    CHECK_TRUE(errorOf([&] {
                   return store.put({"Team", "a", 0, "x", "{}"});
               })
               == ErrorCode::Conflict);
    CHECK_TRUE(errorOf([&] {
                   return store.put({"Team", "b", 2, "x", "{}"});
               })
               == ErrorCode::Conflict);
    CHECK_TRUE(errorOf([&] { return store.remove({"Team", "a", 1}); }) == ErrorCode::Conflict);
    CHECK_EQUAL(2, store.versionOf("Team", "a"));
    CHECK_EQUAL(2, store.version());
}

// Guards against a list of one kind that shows or misses objects of another.
TEST(ObjectStore, listsByKind)
{
    put("Endpoint", "e", 0);
    put("Team", "a", 0);
    put("Team", "b", 0);
    CHECK_EQUAL(2, store.list("Team").size());
    CHECK_EQUAL(3, store.list("").size());
    CHECK_EQUAL(0, store.list("Tea").size());
}

// Guards against a watch that skips dropped events without telling the watcher.
TEST(ObjectStore, watchBeyondHistoryIsVersionTooOld)
{
    for (std::uint64_t version = 0; version < 5; ++version)
        put("Team", "a", version);
    CHECK_TRUE(errorOf([&] { return store.eventsAfter(1, ""); }) == ErrorCode::VersionTooOld);
    CHECK_TRUE(errorOf([&] { return store.eventsAfter(6, ""); }) == ErrorCode::VersionTooOld);
    const auto answer = store.eventsAfter(2, "");
    CHECK_EQUAL(3, answer->events.size());
    CHECK_EQUAL(3, answer->events.front().object->version);
    CHECK_EQUAL(5, answer->version);
}

// Guards against a filtered watch that repeats or loses a deletion.
TEST(ObjectStore, filteredWatchContinuesFromGlobalVersion)
{
    put("Team", "a", 0);
    CHECK_EQUAL(2, store.remove({"Team", "a", 1, "op-2"}).value());
    put("Endpoint", "e", 0);
    const auto answer = store.eventsAfter(1, "Team");
    CHECK_EQUAL(1, answer->events.size());
    CHECK_EQUAL(3, answer->version);
    STRCMP_EQUAL("{\"type\":\"delete\",\"kind\":\"Team\",\"name\":\"a\",\"version\":2,"
                 "\"operation_id\":\"op-2\",\"object\":{}}",
                 answer->events.front().encode().c_str());
}

// Guards against a version jump over events that did not fit into one answer.
TEST(ObjectStore, largeWatchAnswerIsSplit)
{
    ObjectStore large(100);
    for (int i = 0; i < 12; ++i) {
        const std::string text = "\"" + std::string(maxObjectBytes - 2, 'x') + "\"";
        CHECK_TRUE(!!large.put({"Team", std::to_string(i), 0, "op", text}));
    }
    const auto first = large.eventsAfter(0, "");
    CHECK_EQUAL(8, first->events.size());
    CHECK_EQUAL(8, first->version);
    CHECK_EQUAL(4, large.eventsAfter(first->version, "")->events.size());
}

// Guards against objects above the platform's limit.
TEST(ObjectStore, refusesOversizedObject)
{
    const std::string text(maxObjectBytes + 1, 'x');
    CHECK_TRUE(errorOf([&] {
                   return store.put({"Team", "a", 0, "op", text});
               })
               == ErrorCode::TooLarge);
}

TEST_GROUP(VmList){};

// Guards against a list that shows a change before the lag has passed.
TEST(VmList, showsStateOfThePast)
{
    VmList list;
    const TimePoint start{std::chrono::hours(1)};
    list.set(start, "vm-1", {"rajkot", "saurashtra"});
    list.set(start + Milliseconds(100), "vm-1", {"rajkot", "saurashtra", true});
    CHECK_TRUE(list.at(start - Milliseconds(1)).empty());
    CHECK_FALSE(list.at(start + Milliseconds(99)).at("vm-1").leaving);
    CHECK_TRUE(list.at(start + Milliseconds(100)).at("vm-1").leaving);
}

TEST_GROUP(CallLimiter){};

// Guards against a burst allowance that grows while idle.
TEST(CallLimiter, admitsRateAfterBurst)
{
    const TimePoint start{std::chrono::hours(1)};
    CallLimiter limiter(10, start);
    int admitted = 0;
    for (int i = 0; i < 30; ++i)
        admitted += limiter.admit(start + std::chrono::hours(1)) ? 1 : 0;
    CHECK_EQUAL(10, admitted);
    CHECK_TRUE(limiter.admit(start + std::chrono::hours(1) + Milliseconds(101)));
    CHECK_FALSE(limiter.admit(start + std::chrono::hours(1) + Milliseconds(102)));
}

TEST_GROUP(PlatformServer)
{
    EventLoop serverLoop;
    PlatformServer server{serverLoop, {.vmListLag = Milliseconds(0), .maxWritesPerSecond = 3}};
    std::thread serverThread;
    const std::string change =
        R"({"expected_version":0,"operation_id":"op-1","object":{"weight":2}})";

    void setup() override
    {
        CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
        serverThread = std::thread([this] { serverLoop.run(); });
    }

    void teardown() override
    {
        serverLoop.stop();
        serverThread.join();
    }

    HttpOutcome call(const std::string &method, const std::string &target,
                     const std::string &body = "") const
    {
        EventLoop loop;
        HttpConnection connection(loop, {"127.0.0.1", server.port()});
        HttpOutcome result;
        connection.send({method, target, body}, Milliseconds(5000), [&](HttpOutcome outcome) {
            result = std::move(outcome);
            loop.stop();
        });
        loop.run();
        return result;
    }

    unsigned statusOf(const std::string &method, const std::string &target,
                      const std::string &body = "") const
    {
        return std::get<HttpResponse>(call(method, target, body)).status;
    }
};

// Guards against a lost answer whose change was not applied or cannot be found again.
TEST(PlatformServer, lostAnswerLeavesChangeInEffect)
{
    CHECK_EQUAL(200, statusOf("POST", "/standin/faults", R"({"lose_answers":1})"));
    CHECK_EQUAL(1, call("PUT", "/v1/objects/Team/a", change).index());
    const auto stored = std::get<HttpResponse>(call("GET", "/v1/objects/Team/a"));
    STRCMP_EQUAL("{\"kind\":\"Team\",\"name\":\"a\",\"version\":1,\"operation_id\":\"op-1\","
                 "\"object\":{\"weight\":2}}",
                 stored.body.c_str());
    CHECK_EQUAL(409, statusOf("PUT", "/v1/objects/Team/a", change));
}

// Guards against a waiting watch that is answered late or not at all.
TEST(PlatformServer, changeAnswersWaitingWatch)
{
    auto watch = std::async(std::launch::async, [this] {
        return call("GET", "/v1/watch?from=0&wait_ms=4000&kind=Team");
    });
    CHECK_TRUE(watch.wait_for(Milliseconds(50)) == std::future_status::timeout);
    CHECK_EQUAL(200, statusOf("PUT", "/v1/objects/Endpoint/e", change));
    CHECK_TRUE(watch.wait_for(Milliseconds(50)) == std::future_status::timeout);
    CHECK_EQUAL(200, statusOf("PUT", "/v1/objects/Team/a", change));
    CHECK_TRUE(watch.wait_for(Milliseconds(1000)) == std::future_status::ready);
    const std::string body = std::get<HttpResponse>(watch.get()).body;
    CHECK_TRUE(body.starts_with("{\"version\":2,\"events\":[{\"type\":\"put\",\"kind\":\"Team\""));
}

// Guards against an outage that still serves calls, and against one that never ends.
TEST(PlatformServer, outageClosesConnections)
{
    CHECK_EQUAL(200, statusOf("POST", "/standin/faults", R"({"outage":true})"));
    CHECK_EQUAL(1, call("GET", "/v1/objects").index());
    CHECK_EQUAL(200, statusOf("POST", "/standin/faults", R"({"outage":false})"));
    CHECK_EQUAL(200, statusOf("GET", "/v1/objects"));
}

// Guards against unlimited writes, which the platform does not offer.
TEST(PlatformServer, refusesWritesAboveRate)
{
    for (int i = 0; i < 3; ++i)
        statusOf("PUT", "/v1/objects/Team/a", "{}");
    CHECK_EQUAL(429, statusOf("PUT", "/v1/objects/Team/a", change));
}
