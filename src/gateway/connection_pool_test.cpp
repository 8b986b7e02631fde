#include "gateway/gateway_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

/// Sends two statements on its connection; the process is suspended between them.
struct SuspendedSender final : public ConnectionUser
{
    explicit SuspendedSender(ManualClock &manualClock)
        : clock(manualClock)
    {
    }

    void handleConnectionGranted(PooledConnection &connection) override
    {
        connection.send({.verb = Verb::Set});
        clock.advance(2s);
        connection.send({.verb = Verb::Read});
    }
    void handleConnectionRefused(ConnectionFailure) override {}
    void handleReply(StatementReply) override {}
    void handleConnectionLost() override {}

    ManualClock &clock;
};

} // namespace

TEST_GROUP(ConnectionPool)
{
    EventLoop loop;
    ManualClock clock;
    ScriptedEndpoints endpoints{loop};
    SeededRandom random{1};
    std::vector<TimePoint> requestTimes;
    ConnectionPool pool{
        loop,
        clock,
        endpoints,
        ConnectionBudget(random, clock.now()),
        ServiceName("orders-db"),
        {EndpointId("e"), {}, false, 0},
        [this](TimePoint requestedAt, TermPosition) { requestTimes.push_back(requestedAt); }};
    SuspendedSender sender{clock};

    void runLoop()
    {
        loop.startTimer(5ms, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }
};

// Guards against stale reads: a process is suspended between two statements that it sends ahead,
// and the position in the first reply counts as one of the time when the second was sent.
TEST(ConnectionPool, positionCountsFromTheStatementThatItAnswers)
{
    pool.budget().setShare(12, 1);
    const TimePoint start = clock.now();
    pool.acquire(sender, {.deadline = start + 10s});
    runLoop();
    LONGS_EQUAL(3, requestTimes.size()); // of the handshake and of two replies
    CHECK_TRUE(requestTimes.at(1) == start);
    CHECK_TRUE(requestTimes.at(2) == start + 2s);
}
