// Measures time and memory of the burn metrics with the target of 1,900 services.

#include "burn/burn_report.h"
#include "burn/snapshot_codec.h"
#include "burn/text_exposition.h"

#include <cstdlib>
#include <iostream>
#include <malloc.h>

using namespace pistachiowood;

namespace {

constexpr std::size_t services = 1900;
constexpr std::size_t statements = 2000000;

template <typename F>
double measureNanoseconds(F &&function)
{
    const auto start = std::chrono::steady_clock::now();
    function();
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start)
        .count();
}

double heapMiB()
{
    const auto usage = mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd) / (1024 * 1024);
}

void print(const char *what, double value, const char *unit)
{
    std::cout << what << ": " << value << " " << unit << "\n";
}

} // namespace

int main()
{
    ManualClock clock;
    ServiceMetrics metrics(VmId("benchmark"), clock);
    std::vector<StatementRequest> requests(services);
    for (std::size_t i = 0; i < services; ++i) {
        requests[i].service = ServiceName("benchmark-service-" + std::to_string(i));
        requests[i].kind = i % 5 == 0 ? StatementKind::Write : StatementKind::Read;
    }
    StatementAnswer answer;
    answer.outcome = Outcome::Committed;
    answer.fromReplica = true;
    answer.age = Milliseconds(120);
    const auto recordAll = [&] {
        for (const StatementRequest &request : requests)
            metrics.record(request, answer, std::chrono::microseconds(900));
    };

    const double before = heapMiB();
    // Fills every bucket of both rings: 72 h with one statement per service and minute.
    for (int minute = 0; minute < 72 * 60; ++minute) {
        recordAll();
        clock.advance(std::chrono::minutes(1));
    }
    print("memory of all records", heapMiB() - before, "MiB");
    print("sizeof(ServiceRecord)", sizeof(ServiceRecord), "bytes");

    const double recording = measureNanoseconds([&] {
        for (std::size_t i = 0; i < statements; ++i)
            metrics.record(requests[i * 7919 % services], answer, std::chrono::microseconds(900));
    });
    print("record(), services in scattered order", recording / statements, "ns");

    MetricsSnapshot snapshot;
    print("snapshot()", measureNanoseconds([&] { snapshot = metrics.snapshot(); }) / 1000, "us");
    const double held = heapMiB();
    print("first record() of each service after a snapshot",
          measureNanoseconds(recordAll) / services, "ns");
    print("further memory while a snapshot is held and every service is active", heapMiB() - held,
          "MiB");
    print("process resident memory",
          static_cast<double>(readProcessUsage().value_or(ProcessUsage{}).residentBytes)
              / (1024 * 1024),
          "MiB");

    std::string text;
    const double encoding = measureNanoseconds([&] { text = encodeSnapshot(snapshot); });
    print("encodeSnapshot()", encoding / 1e6, "ms");
    print("encoded snapshot", static_cast<double>(text.size()) / (1024 * 1024), "MiB");
    std::vector<DaemonResult> daemons;
    const double decoding = measureNanoseconds([&] {
        auto decoded = capture([&] { return decodeSnapshot(text); });
        if (std::holds_alternative<Error>(decoded))
            std::abort();
        daemons.push_back({"benchmark", std::get<MetricsSnapshot>(std::move(decoded))});
    });
    print("decodeSnapshot()", decoding / 1e6, "ms");
    BurnReport report;
    print("makeBurnReport(), one daemon",
          measureNanoseconds([&] { report = makeBurnReport(daemons); }) / 1e6, "ms");
    print("renderHtml()", measureNanoseconds([&] { text = renderHtml(report); }) / 1e6, "ms");
    print("HTML report", static_cast<double>(text.size()) / (1024 * 1024), "MiB");
    print("renderExposition()",
          measureNanoseconds([&] { text = renderExposition(snapshot, {}, std::nullopt); }) / 1e6,
          "ms");
    print("text exposition", static_cast<double>(text.size()) / (1024 * 1024), "MiB");
    return 0;
}
