#include "link_relay/link_schedule.h"
#include "link_relay/relay.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace pistachiowood::relay;
using std::chrono::microseconds;

TEST_GROUP(LinkSchedule){};

// Guards against connections that each get the whole rate of the shared link.
TEST(LinkSchedule, sendersShareTheRate)
{
    LinkSchedule schedule;
    schedule.setRate(30);
    schedule.setDelay(microseconds(8000));
    const TimePoint start{std::chrono::hours(1)};
    // 30000 bytes need 8 ms at 30 Mbit/s.
    CHECK_TRUE(schedule.admit(start, 30000) - start == microseconds(16000));
    CHECK_TRUE(schedule.admit(start, 30000) - start == microseconds(24000));
    const TimePoint later = start + Milliseconds(100);
    CHECK_TRUE(schedule.admit(later, 30000) - later == microseconds(16000));
}

TEST_GROUP(Relay)
{
    EventLoop loop;
    SteadyClock clock;
    Relay relay{loop, {}};
    HttpServer server{
        loop, {}, [](const HttpRequest &request, const HttpServer::Responder &respond) {
            respond({200, request.body});
        }};
    std::unique_ptr<HttpConnection> connection;
    std::optional<HttpOutcome> outcome;
    TimePoint answered;

    void setup() override
    {
        CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
        const auto port = relay.addPair({"127.0.0.1", 0}, {"127.0.0.1", server.port()});
        connection = std::make_unique<HttpConnection>(loop, SocketAddress{"127.0.0.1", *port});
    }

    void send(const std::string &body)
    {
        outcome.reset();
        connection->send({"POST", "/", body}, Milliseconds(5000), [this](HttpOutcome result) {
            outcome = std::move(result);
            answered = clock.now();
        });
    }

    void runSteps(std::vector<std::pair<int, std::function<void()>>> steps, int end)
    {
        for (auto &[time, step] : steps)
            loop.startTimer(Milliseconds(time), std::move(step));
        loop.startTimer(Milliseconds(end), [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }

    bool succeeded() const
    {
        return outcome && outcome->index() == 0;
    }
};

// Guards against lost or reordered bytes when buffers fill, and against a link faster than its
// rate.
TEST(Relay, passesLargeBodyAtRate)
{
    relay.apply({.delay = microseconds(2000), .megabitsPerSecond = 40});
    const std::string body(500000, 'x');
    const TimePoint start = clock.now();
    send(body);
    runSteps({}, 600);
    CHECK_TRUE(succeeded());
    CHECK_TRUE(std::get<HttpResponse>(*outcome).body == body);
    CHECK_TRUE(answered - start >= Milliseconds(200)); // 100 ms each way
    CHECK_TRUE(relay.counters().deliveredBytes[Forward] > body.size());
}

// Guards against a connection without the handshake's round trip and against a delay below the set
// one.
TEST(Relay, delaysHandshakeAndBytes)
{
    relay.apply({.delay = microseconds(10500)});
    const TimePoint start = clock.now();
    TimePoint second;
    send("a");
    runSteps({{100, [&] { CHECK_TRUE(succeeded()); }},
              {100, [&] { CHECK_TRUE(answered - start >= microseconds(42000)); }},
              {101,
               [&] {
                   second = clock.now();
                   send("b");
               }}},
             250);
    CHECK_TRUE(succeeded());
    CHECK_TRUE(answered - second >= microseconds(21000));
    CHECK_TRUE(answered - second < microseconds(42000));
}

// Guards against bytes that pass a cut link and against bytes that are lost after it heals.
TEST(Relay, cutHoldsBytesUntilHealed)
{
    send("a");
    bool passedForward = true;
    bool passedBackward = true;
    runSteps({{50,
               [&] {
                   relay.apply({.cut = {true, false}});
                   send("b");
               }},
              {100,
               [&] {
                   passedForward = outcome.has_value();
                   relay.apply({});
               }},
              {150, [&] { CHECK_TRUE(succeeded()); }},
              {151,
               [&] {
                   relay.apply({.cut = {false, true}});
                   send("c");
               }},
              {200,
               [&] {
                   passedBackward = outcome.has_value();
                   relay.apply({});
               }}},
             250);
    CHECK_FALSE(passedForward);
    CHECK_FALSE(passedBackward);
    CHECK_TRUE(succeeded());
    STRCMP_EQUAL("c", std::get<HttpResponse>(*outcome).body.c_str());
}

// Guards against a new connection that reaches the target over a cut or frozen link.
TEST(Relay, newConnectionHangsWhileCutOrFrozen)
{
    relay.apply({.cut = {true, true}});
    send("a");
    runSteps({{50,
               [&] {
                   CHECK_FALSE(outcome.has_value());
                   relay.apply({.freeze = true});
               }},
              {100,
               [&] {
                   CHECK_FALSE(outcome.has_value());
                   CHECK_EQUAL(0, server.openConnections());
               }},
              {101, [&] { relay.apply({}); }}},
             200);
    CHECK_TRUE(succeeded());
}

// Guards against a request that reaches the target although its caller gave up before the
// handshake.
TEST(Relay, abandonedConnectionNeverReachesTarget)
{
    relay.apply({.cut = {true, true}});
    send("a");
    runSteps({{50, [&] { connection->close(); }}, {80, [&] { relay.apply({}); }}}, 120);
    CHECK_EQUAL(0, relay.counters().deliveredBytes[Forward]);
    CHECK_EQUAL(0, relay.counters().openConnections);
}

// Guards against a shared link whose two ends each get the full rate: the connecting side of a
// reversed pair must use the backward direction.
TEST(Relay, reversedPairUsesTheOtherDirection)
{
    const auto port =
        relay.addPair({"127.0.0.1", 0}, {"127.0.0.1", server.port()}, Direction::Backward);
    connection = std::make_unique<HttpConnection>(loop, SocketAddress{"127.0.0.1", *port});
    const std::string body(50000, 'x');
    bool passedCut = true;
    std::uint64_t toTarget = 0;
    send(body);
    runSteps({{50,
               [&] {
                   toTarget = relay.counters().deliveredBytes[Backward];
                   relay.apply({.cut = {false, true}});
                   send("b");
               }},
              {100,
               [&] {
                   passedCut = server.runningRequests() > 0 || outcome.has_value();
                   relay.apply({});
               }}},
             150);
    CHECK_TRUE(toTarget > body.size());
    CHECK_FALSE(passedCut);
    CHECK_TRUE(succeeded());
    CHECK_TRUE(relay.counters().deliveredBytes[Forward] > body.size()); // the echo
}

// Guards against a relay that keeps answering after a reset.
TEST(Relay, resetClosesConnections)
{
    send("a");
    bool reused = false;
    runSteps({{50, [&] { reused = succeeded() && connection->isOpen(); }},
              {50, [&] { relay.resetConnections(); }},
              {80, [&] { CHECK_FALSE(connection->isOpen()); }}},
             100);
    CHECK_TRUE(reused);
    CHECK_EQUAL(0, relay.counters().openConnections);
}
