#include "burn/burn_report.h"
#include "burn/snapshot_codec.h"
#include "burn/text_exposition.h"

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view hostileName = "<script>\"\\\n'&\x1b[2J";

MetricsSnapshot makeSnapshot(const std::string &daemon, const std::string &service,
                             std::uint32_t total, std::uint32_t failed)
{
    const auto record = std::make_shared<ServiceRecord>();
    record->service = ServiceName(service);
    record->history = BurnHistory(4320);
    record->history.minuteAt(0) = {total, failed, 0, 0, 0, 0};
    record->outcomes[1] = {total - failed, failed, 0};
    record->refusals[static_cast<std::size_t>(ErrorCode::Unavailable)] = failed;
    record->latency[1].add(3ms);
    return {VmId(daemon), 72h, 0, {record}};
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

void replace(std::string &text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    CHECK_TRUE(position != std::string::npos);
    text.replace(position, from.size(), to);
}

} // namespace

TEST_GROUP(BurnReport){};

// Guards against wrong arithmetic: 2 of 1000 failed at a target of 0.999 burns twice the budget.
TEST(BurnReport, burnRateMatchesHandComputedCase)
{
    DOUBLES_EQUAL(2.0, *computeBurnRate(2, 1000, 0.999), 1e-9);
    CHECK_FALSE(computeBurnRate(0, 0, 0.999).has_value());

    // 3 of 1000 on one daemon and 1 of 1000 on the other: 0.2% of 2000.
    const auto report = makeBurnReport(
        {{"a", makeSnapshot("vm-a", "db", 1000, 3)}, {"b", makeSnapshot("vm-b", "db", 1000, 1)}});
    const ObjectiveReport &availability = report.services.at(0).objectives[0];
    DOUBLES_EQUAL(0.998, *availability.measured, 1e-9);
    DOUBLES_EQUAL(-1.0, *availability.budgetLeft, 1e-9);
    for (const auto &rate : availability.burnRates)
        DOUBLES_EQUAL(2.0, *rate, 1e-9);
    CHECK_TRUE(report.isComplete());
    CHECK_TRUE(report.worstAlarm() == Alarm::None);
}

// Guards against alarms that fire on one window alone, after the fault has ended or on a blip.
TEST(BurnReport, alarmNeedsBothWindows)
{
    const auto alarmFor = [](std::size_t age, std::uint32_t failed, std::uint32_t background) {
        auto snapshot = makeSnapshot("vm-a", "db", 1000, 0);
        ServiceRecord record = *snapshot.services[0];
        record.history.minuteAt(30) = {background, 0, 0, 0, 0, 0};
        record.history.minuteAt(age).total = 1000;
        record.history.minuteAt(age).failed = failed;
        snapshot.services[0] = std::make_shared<ServiceRecord>(record);
        return makeBurnReport({{"a", snapshot}}).worstAlarm();
    };
    CHECK_TRUE(alarmFor(0, 15, 0) == Alarm::Fast);
    CHECK_TRUE(alarmFor(0, 15, 9000) == Alarm::None); // 1.5 over 1 h and 15 over 5 min
    CHECK_TRUE(alarmFor(6, 200, 0) == Alarm::Slow); // outside 5 min, inside 30 min
    CHECK_TRUE(alarmFor(45, 200, 0) == Alarm::None);
}

// Guards against a gap above its target that is averaged away.
TEST(BurnReport, failoverGapAboveTargetIsAnAlarm)
{
    auto snapshot = makeSnapshot("vm-a", "db", 1000, 0);
    ServiceRecord record = *snapshot.services[0];
    record.history.minuteAt(10).longestGapMs = 12001;
    snapshot.services[0] = std::make_shared<ServiceRecord>(record);
    const auto report = makeBurnReport({{"a", snapshot}});
    const ObjectiveReport &gap = report.services.at(0).objectives[3];
    DOUBLES_EQUAL(12.001, *gap.measured, 1e-9);
    CHECK_TRUE(gap.alarm == Alarm::Fast);
}

// Guards against an unreachable daemon that looks like one without errors.
TEST(BurnReport, missingDaemonNeverLooksLikeZero)
{
    const Error lost{ErrorCode::Unavailable, "connection refused"};
    const auto report = makeBurnReport({{"10.0.0.1:1", lost}}, {{ServiceName("db"), {}}});
    CHECK_FALSE(report.isComplete());
    CHECK_FALSE(report.services.at(0).objectives[0].measured.has_value());
    CHECK_FALSE(report.services.at(0).objectives[3].measured.has_value());
    CHECK_TRUE(contains(renderTable(report), "missing: 10.0.0.1:1: connection refused"));
    CHECK_TRUE(contains(renderJson(report), "\"complete\":false"));
    CHECK_TRUE(contains(renderJson(report), "\"measured\":null"));
    CHECK_TRUE(contains(renderHtml(report), "Incomplete"));
    CHECK_FALSE(makeBurnReport({}).isComplete());
}

// Guards against statements counted twice when two addresses lead to the same daemon.
TEST(BurnReport, sameDaemonTwiceIsNotCountedTwice)
{
    const auto report = makeBurnReport(
        {{"a", makeSnapshot("vm-a", "db", 10, 0)}, {"b", makeSnapshot("vm-a", "db", 10, 0)}});
    UNSIGNED_LONGS_EQUAL(10, report.services.at(0).merged.history.sum(5).total);
    CHECK_FALSE(report.isComplete());
}

// Guards against names that inject markup, terminal sequences, labels or lines.
TEST(BurnReport, hostileNamesAreEscaped)
{
    const auto snapshot = makeSnapshot(std::string(hostileName), std::string(hostileName), 10, 5);
    const auto report = makeBurnReport(
        {{std::string(hostileName), snapshot},
         {std::string(hostileName), Error{ErrorCode::Internal, std::string(hostileName)}}});
    const std::string html = renderHtml(report);
    CHECK_FALSE(contains(html, "<script"));
    CHECK_TRUE(contains(html, "&lt;script&gt;&quot;\\\n&#39;&amp;"));
    CHECK_FALSE(contains(renderTable(report), "\x1b"));
    CHECK_FALSE(contains(renderTable(report), "\\\n"));

    const std::string exposition = renderExposition(
        snapshot, {{ServiceName(std::string(hostileName)), EndpointId("e\"1"), {}}},
        ProcessUsage{1.5, 4096});
    CHECK_TRUE(
        contains(exposition, "pistachiowood_refusals_total{service=\"<script>\\\"\\\\\\n'&"));
    CHECK_TRUE(contains(exposition, "endpoint=\"e\\\"1\"} 0\n"));
    CHECK_TRUE(contains(exposition, "le=\"+Inf\"} 1\n"));
    CHECK_TRUE(contains(exposition, "pistachiowood_process_cpu_seconds_total 1.5\n"));
    CHECK_TRUE(contains(exposition, "pistachiowood_process_resident_memory_bytes 4096\n"));
    CHECK_FALSE(contains(renderExposition(snapshot, {}, std::nullopt), "process_"));
    const auto usage = readProcessUsage();
    CHECK_TRUE(usage && usage->residentBytes > 0);
}

TEST_GROUP(SnapshotCodec){};

// Guards against counters that are lost or shifted on the way to the report.
TEST(SnapshotCodec, roundTripKeepsEveryCounter)
{
    auto snapshot = makeSnapshot("vm-a", std::string(hostileName), 1000, 20);
    ServiceRecord record = *snapshot.services[0];
    record.objectives = {0.95, 100ms, 0.9, 700ms, 3000ms};
    record.history.minuteAt(59) = {9, 1, 2, 3, 1, 4321};
    record.history.hourAt(0) = {8, 2, 3, 4, 2, 5};
    record.history.hourAt(70) = {7, 3, 1, 2, 0, 6};
    record.replicaAge.add(2500ms);
    record.replicaReads = 11;
    record.primaryReads = 12;
    snapshot.services[0] = std::make_shared<ServiceRecord>(record);
    snapshot.unattributed = 5;
    const std::string text = encodeSnapshot(snapshot);
    const auto decoded = capture([&] { return decodeSnapshot(text); });
    CHECK_TRUE(std::holds_alternative<MetricsSnapshot>(decoded));
    const auto &copy = std::get<MetricsSnapshot>(decoded);
    CHECK_TRUE(copy.services.at(0)->objectives == record.objectives);
    CHECK_TRUE(copy.services.at(0)->history.hourAt(70) == record.history.hourAt(70));
    CHECK_TRUE(copy.services.at(0)->history.minuteAt(59) == record.history.minuteAt(59));
    STRCMP_EQUAL(text.c_str(), encodeSnapshot(copy).c_str());
}

// Guards against records that change while another thread reads a snapshot; shown by the tsan
// preset.
TEST(SnapshotCodec, snapshotIsReadWhileStatementsAreRecorded)
{
    const ManualClock clock;
    ServiceMetrics metrics(VmId("vm-a"), clock);
    StatementRequest request;
    request.service = ServiceName("db");
    StatementAnswer answer;
    answer.outcome = Outcome::Committed;
    for (int round = 1; round <= 50; ++round) {
        metrics.record(request, answer, 1ms);
        std::string text;
        std::thread reader(
            [&text, snapshot = metrics.snapshot()] { text = encodeSnapshot(snapshot); });
        for (int i = 0; i < 20; ++i)
            metrics.record(request, answer, 1ms);
        reader.join();
        const auto expected = "\"reads\":[" + std::to_string(round * 21 - 20) + ",";
        CHECK_TRUE(contains(text, expected));
    }
}

// Guards against input from another daemon that is taken although it is out of range.
TEST(SnapshotCodec, refusesInvalidInput)
{
    const std::string valid = encodeSnapshot(makeSnapshot("vm-a", "db", 1000, 20));
    const std::vector<std::pair<std::string, std::string>> changes{
        {"\"version\":1", "\"version\":2"},
        {"\"unattributed\"", "\"other\":1,\"unattributed\""},
        {"\"service\":\"db\"", "\"service\":\"\""},
        {"\"service\":\"db\"", "\"service\":\"db\",\"other\":1"},
        {"[0,1000,20,", "[0,1000,1001,"},
        {"[0,1000,20,", "[60,1000,20,"},
        {"[0,1000,20,", "[0,4294967296,20,"},
        {"[0,1000,20,", "[0,1000,-1,"},
        {"\"hours\":[]", "\"hours\":[[3,1,0,0,0,0,0],[3,1,0,0,0,0,0]]"},
        {"\"counts\":[0,", "\"counts\":["},
        {"\"unavailable\":20", "\"other\":20"},
        {"\"failover_gap_ms\":12000", "\"failover_gap_ms\":0"},
        {"\"replica_reads\":0", "\"replica_reads\":1.5"},
        {"}]}", "}"},
    };
    for (const auto &[from, to] : changes) {
        std::string text = valid;
        replace(text, from, to);
        const auto decoded = capture([&] { return decodeSnapshot(text); });
        CHECK_TRUE_TEXT(std::holds_alternative<Error>(decoded), to.c_str());
    }
    const std::string record = valid.substr(valid.find("[{") + 1);
    const std::string repeated = valid.substr(0, valid.size() - 2) + "," + record;
    CHECK_TRUE(std::holds_alternative<Error>(capture([&] { return decodeSnapshot(repeated); })));
    std::string noBudget = valid;
    replace(noBudget, "\"availability\":", "\"availability\":1.0E0,\"x\":");
    CHECK_TRUE(std::holds_alternative<Error>(capture([&] { return decodeSnapshot(noBudget); })));
}
