#include "loadgen/history.h"
#include "loadgen/measures.h"
#include "loadgen/runner.h"
#include "loadgen/workload.h"
#include "net/http.h"

#include <array>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace pistachiowood::loadgen;

TEST_GROUP(Workload){};

// Guards against duplicate values, which would hide a lost or doubled append.
TEST(Workload, valuesAreUniqueAndSharesHold)
{
    Workload workload({.rate = 1000,
                       .services = {"a", "b"},
                       .readShare = 0.5,
                       .maxAgeShare = 0.5,
                       .nonIdempotentShare = 0.3,
                       .transactionShare = 0.2,
                       .seed = 7});
    std::set<std::string> values;
    std::array<int, workKindCount> kinds{};
    std::chrono::microseconds last{0};
    for (int i = 0; i < 10000; ++i) {
        const WorkItem item = workload.next();
        CHECK_TRUE(item.at >= last);
        last = item.at;
        ++kinds.at(static_cast<std::size_t>(item.kind));
        for (const Append &append : item.appends)
            CHECK_TRUE(values.insert(append.value).second);
    }
    DOUBLES_EQUAL(10, static_cast<double>(last.count()) / 1e6, 0.5);
    DOUBLES_EQUAL(2500, kinds[0], 200);
    DOUBLES_EQUAL(2500, kinds[1], 200);
    DOUBLES_EQUAL(1000, kinds[3], 200);
}

TEST_GROUP(Answer){};

// Guards against a client that calls a request refused although it may have run.
TEST(Answer, outcomeFollowsResponse)
{
    CHECK_TRUE(readAnswer(200, R"({"outcome":"committed","result":["a"]})").outcome == "committed");
    CHECK_TRUE(readAnswer(504, R"({"error":{"code":"deadline_exceeded"}})").outcome == "unknown");
    CHECK_TRUE(readAnswer(503, R"({"outcome":"not_run","reason":"overload"})").reason
               == "overload");
    CHECK_TRUE(readAnswer(200, "{\"outcome\":\"comm").outcome == "unknown");
    CHECK_TRUE(failedAnswer(true, "timeout").outcome == "unknown");
    CHECK_TRUE(failedAnswer(false, "connection_refused").outcome == "not_run");
}

TEST_GROUP(Measures)
{
    TimePoint start{std::chrono::hours(1)};
    Measures measures{start};

    void add(int scheduled, int end, const std::string &outcome)
    {
        measures.add({WorkKind::Write, "s", start + Milliseconds(scheduled),
                      start + Milliseconds(end), outcome, ""});
    }
};

// Guards against percentiles that leave out or misplace slow statements.
TEST(Measures, percentilesAreWithinResolution)
{
    for (int i = 1; i <= 100; ++i)
        add(0, i * 10, "committed");
    DOUBLES_EQUAL(500, measures.latencyAt(WorkKind::Write, 0.5), 15);
    DOUBLES_EQUAL(990, measures.latencyAt(WorkKind::Write, 0.99), 25);
    DOUBLES_EQUAL(1000, measures.latencyAt(WorkKind::Write, 1), 0.01);
}

// Guards against a failover gap at the start or the end of a run that is not counted.
TEST(Measures, gapCoversWholeRun)
{
    const TimePoint end = start + Milliseconds(1000);
    CHECK_EQUAL(1000, measures.longestWriteGap("s", end).count());
    add(0, 300, "committed");
    add(0, 500, "unknown");
    add(0, 400, "committed");
    CHECK_EQUAL(600, measures.longestWriteGap("s", end).count());
}

// Guards against latencies that leave out the wait of a statement for its session, and against a
// history without every statement.
TEST(Measures, runnerCountsFromScheduledTime)
{
    EventLoop loop;
    int requests = 0;
    HttpServer server(loop, {}, [&](const HttpRequest &, const HttpServer::Responder &respond) {
        ++requests;
        loop.startTimer(Milliseconds(20), [respond] {
            respond({200, R"({"outcome":"committed","result":[],"session":"t"})"});
        });
    });
    CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
    HistoryWriter history("");
    RunOptions options{.daemons = {{"127.0.0.1", server.port()}}, .duration = Milliseconds(200)};
    options.workload.sessions = 1;
    options.workload.services = {"s"};
    Runner runner(loop, options, history);
    runner.start([&] { loop.stop(); });
    loop.run();
    CHECK_TRUE(requests > 12);
    // At 100 statements/s and 50 answers/s the queue grows by about 10 ms per statement.
    CHECK_TRUE(runner.measures().latencyAt(WorkKind::TokenRead, 1) > 80);
    CHECK_TRUE(runner.measures().formatJson(runner.end()).find("\"not_run\":0")
               != std::string::npos);
}
