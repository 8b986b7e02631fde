#include "burnreport/fetcher.h"

#include "burn/snapshot_codec.h"
#include "net/event_loop.h"
#include "net/http.h"

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(BurnReportFetcher){};

// Guards against a daemon that answers badly or not at all and yet counts as reached.
TEST(BurnReportFetcher, onlyValidAnswersCountAsReached)
{
    EventLoop loop;
    int requests = 0;
    HttpServer server(loop, {}, [&](const HttpRequest &request, HttpServer::Responder respond) {
        ++requests;
        if (request.bearer != "secret" || request.target != "/v1/burn/local")
            respond({403, "{}"});
        else if (requests == 1)
            respond({200, encodeSnapshot({VmId("vm-a"), 1h, 0, {}})});
        else if (requests == 2)
            respond({200, "{}"});
    });
    CHECK_TRUE(std::holds_alternative<std::monostate>(capture([&] {
        return server.listen({"127.0.0.1", 0});
    })));
    const SocketAddress address{"127.0.0.1", server.port()};
    std::thread thread([&] { loop.run(); });
    const auto fetch = [&](const std::string &token) {
        return makeBurnReport(burnreport::fetchSnapshots({{address}, 200ms, token}));
    };
    const BurnReport valid = fetch("secret");
    const BurnReport malformed = fetch("secret");
    const BurnReport silent = fetch("secret");
    const BurnReport forbidden = fetch("wrong");
    loop.stop();
    thread.join();
    LONGS_EQUAL(0, burnreport::exitCodeOf(valid));
    for (const BurnReport *report : {&malformed, &silent, &forbidden}) {
        UNSIGNED_LONGS_EQUAL(1, report->missing.size());
        LONGS_EQUAL(3, burnreport::exitCodeOf(*report));
    }
    STRCMP_EQUAL("HTTP status 403", forbidden.missing.at(0).reason.c_str());
}

// Guards against a firing alarm that is hidden by a missing daemon, or an exit code 0 in its place.
TEST(BurnReportFetcher, alarmDecidesTheExitCode)
{
    BurnReport report;
    report.missing.push_back({"a", "timeout"});
    LONGS_EQUAL(3, burnreport::exitCodeOf(report));
    report.services.emplace_back().objectives[1].alarm = Alarm::Slow;
    LONGS_EQUAL(1, burnreport::exitCodeOf(report));
}
