#include "gateway/gateway_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const ServiceName service("orders-db");
const EndpointId former("former");
const EndpointId next("next");

const SessionStatement readStatement{.id = "q", .verb = Verb::Read, .text = "text"};

TermPosition at(std::uint64_t number)
{
    return {Term(1), LogPosition(number)};
}

} // namespace

// The primary is replaced: the endpoint `next` leads in epoch 2, `former` becomes a replica.
TEST_GROUP(PrimaryPosition)
{
    EventLoop loop;
    ManualClock clock;
    ScriptedEndpoints endpoints{loop};
    SeededRandom random{1};
    std::unique_ptr<Gateway> gateway = std::make_unique<Gateway>(loop, clock, random, endpoints);
    RecordingChannel channel;

    void usePrimary(std::uint64_t epoch, const EndpointId &primary)
    {
        auto view = std::make_shared<DeploymentView>();
        const auto addRoute = [&](const std::string &name, Consistency consistency) {
            view->routes[name] = {name, name, service, consistency, 4000ms, 2000ms, 1000ms, 1};
        };
        addRoute("strict", Consistency::Primary);
        addRoute("bounded", Consistency::BoundedStaleness);
        ServiceView &entry = view->services[service];
        entry.name = service;
        entry.maxConnections = 12;
        entry.endpoints = {{former, {}, false, 0}, {next, {}, false, 0}};
        entry.primary = primary;
        entry.primaryEpoch = epoch;
        gateway->setView(view);
        gateway->permitPrimaries(clock.now() + 2s);
    }

    void startRead(const std::string &database)
    {
        gateway->handleStatement(openSession(*gateway, database, channel), readStatement);
        runLoop();
    }

    void runLoop()
    {
        loop.startTimer(5ms, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }
};

// Guards against stale reads: what an endpoint held as a lagging replica is taken for a position of
// the primary that it has become since (review/8).
TEST(PrimaryPosition, lateReplyOfTheNextPrimaryIsNoPositionOfThePrimary)
{
    usePrimary(1, former);
    endpoints.positions[former] = 7;
    endpoints.positions[next] = 5;
    startRead("strict");
    endpoints.silent.insert(next);
    startRead("bounded");
    CHECK_TRUE(endpoints.sent.back().endpoint == next);
    clock.advance(300ms);
    usePrimary(2, next);
    endpoints.answerHeldStatements(next);
    endpoints.silent.clear();
    endpoints.positions[next] = 20;
    runLoop();
    startRead("strict");
    startRead("bounded");
    CHECK_TRUE(endpoints.sent.back().endpoint == former);
    CHECK_TRUE(endpoints.sent.back().statement.minPosition == at(20));
}

// Guards against a wait for the primary's position that such a reply ends.
TEST(PrimaryPosition, lateReplyOfTheNextPrimaryDoesNotResumeReads)
{
    usePrimary(1, former);
    startRead("strict");
    endpoints.silent.insert(next);
    startRead("bounded");
    endpoints.silentDials.insert(next);
    clock.advance(10ms);
    usePrimary(2, next);
    startRead("bounded");
    const std::size_t reads = endpoints.countSent(Verb::Read);
    endpoints.answerHeldStatements(next);
    runLoop();
    LONGS_EQUAL(reads, endpoints.countSent(Verb::Read));
}
