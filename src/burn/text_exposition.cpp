#include "burn/text_exposition.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <span>
#include <sstream>
#include <unistd.h>

namespace pistachiowood {

namespace {

/// With every edge, the text for 1,900 services took 18 MiB. The same edges appear in every series,
/// because sums over series need equal buckets.
constexpr std::size_t exposedEdgeStep = 2;
constexpr std::size_t threeDaysMinutes = std::size_t{72} * 60;
constexpr std::array<std::string_view, statementKinds> kindNames{"read", "write"};

std::string formatNumber(double number)
{
    std::array<char, 32> text;
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
    return {text.data(), end};
}

/// Six digits tell all edges apart.
std::string formatEdge(double seconds)
{
    if (std::isinf(seconds))
        return "+Inf";
    std::array<char, 32> text;
    const auto end = std::to_chars(text.data(), text.data() + text.size(), seconds,
                                   std::chars_format::general, 6)
                         .ptr;
    return {text.data(), end};
}

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + escapeLabelValue(value) + "\"";
}

class Writer
{
public:
    void describe(std::string_view name, std::string_view type, std::string_view help)
    {
        name_ = "pistachiowood_" + std::string(name);
        text_ += "# HELP " + name_ + " " + std::string(help) + "\n# TYPE " + name_ + " "
                 + std::string(type) + "\n";
    }

    void sample(const std::string &labels, double value, std::string_view suffix = "")
    {
        text_ += name_;
        text_ += suffix;
        if (!labels.empty())
            text_ += "{" + labels + "}";
        text_ += " " + formatNumber(value) + "\n";
    }

    void sample(const std::string &labels, std::uint64_t value)
    {
        text_ += name_;
        if (!labels.empty())
            text_ += "{" + labels + "}";
        text_ += " " + std::to_string(value) + "\n";
    }

    void histogram(const std::string &labels, const DurationHistogram &values)
    {
        if (values.count() == 0) // keeps the text small when services have one kind of traffic
            return;
        std::uint64_t below = 0;
        for (std::size_t bin = 0; bin < DurationHistogram::bins; ++bin) {
            below += values.counts[bin];
            if (bin % exposedEdgeStep == 0 || bin + 1 == DurationHistogram::bins)
                sample(labels + "," + label("le", formatEdge(DurationHistogram::upperEdge(bin))),
                       static_cast<double>(below), "_bucket");
        }
        sample(labels, values.sumSeconds, "_sum");
        sample(labels, static_cast<double>(below), "_count");
    }

    std::string take() { return std::move(text_); }

private:
    std::string name_;
    std::string text_;
};

using Records = std::vector<std::shared_ptr<const ServiceRecord>>;

std::string serviceLabel(const ServiceRecord &record)
{
    return label("service", record.service.value());
}

void writeStatements(Writer &writer, const Records &records)
{
    writer.describe("statements_total", "counter", "Finished statements by kind and outcome.");
    for (const auto &record : records) {
        for (std::size_t kind = 0; kind < statementKinds; ++kind) {
            for (std::size_t outcome = 0; outcome < outcomeKinds; ++outcome)
                writer.sample(serviceLabel(*record) + "," + label("kind", kindNames[kind]) + ","
                                  + label("outcome", outcomeName(static_cast<Outcome>(outcome))),
                              record->outcomes[kind][outcome]);
        }
    }
    writer.describe("refusals_total", "counter",
                    "Statements that were refused or whose outcome is unknown, by reason.");
    for (const auto &record : records) {
        for (std::size_t code = 0; code < errorCodes; ++code) {
            if (record->refusals[code] > 0)
                writer.sample(serviceLabel(*record) + ","
                                  + label("reason", errorCodeName(static_cast<ErrorCode>(code))),
                              record->refusals[code]);
        }
    }
    writer.describe("reads_served_total", "counter", "Reads by the role of the endpoint.");
    for (const auto &record : records) {
        writer.sample(serviceLabel(*record) + "," + label("role", "replica"), record->replicaReads);
        writer.sample(serviceLabel(*record) + "," + label("role", "primary"), record->primaryReads);
    }
}

void writeDurations(Writer &writer, const Records &records, std::uint64_t minute)
{
    writer.describe("statement_duration_seconds", "histogram", "Latency of committed statements.");
    for (const auto &record : records) {
        for (std::size_t kind = 0; kind < statementKinds; ++kind)
            writer.histogram(serviceLabel(*record) + "," + label("kind", kindNames[kind]),
                             record->latency[kind]);
    }
    writer.describe("replica_read_age_seconds", "histogram",
                    "Age of the data of reads served by replicas.");
    for (const auto &record : records)
        writer.histogram(serviceLabel(*record), record->replicaAge);
    writer.describe("longest_write_gap_seconds", "gauge",
                    "Longest time from the first failed to the next committed write, over 72 h.");
    for (const auto &record : records) {
        BurnHistory history = record->history;
        history.advance(minute);
        writer.sample(serviceLabel(*record),
                      static_cast<double>(history.sum(threeDaysMinutes).longestGapMs) / 1000);
    }
}

struct PoolMetric
{
    std::string_view name;
    std::string_view type;
    std::string_view help;
    double (*read)(const PoolStats &stats);
};

template <auto Member>
double readMember(const PoolStats &stats)
{
    return static_cast<double>(stats.*Member);
}

struct PoolRefusal
{
    std::string_view reason;
    std::uint64_t PoolStats::*counter;
};

void writePools(Writer &writer, const std::vector<EndpointPoolStats> &pools)
{
    static constexpr std::array metrics{
        PoolMetric{"pool_queued", "gauge", "Statements that wait for a connection.",
                   &readMember<&PoolStats::queued>},
        PoolMetric{"pool_running", "gauge", "Statements that run.",
                   &readMember<&PoolStats::running>},
        PoolMetric{"pool_connecting", "gauge", "Connections being opened.",
                   &readMember<&PoolStats::connecting>},
        PoolMetric{"pool_idle", "gauge", "Open connections without work.",
                   &readMember<&PoolStats::idle>},
        PoolMetric{"pool_pinned", "gauge", "Connections held by transactions.",
                   &readMember<&PoolStats::pinned>},
        PoolMetric{"pool_unreachable", "gauge", "1 while the endpoint cannot be reached.",
                   &readMember<&PoolStats::unreachable>},
        PoolMetric{"pool_service_time_seconds", "gauge", "Mean time of a statement.",
                   [](const PoolStats &stats) {
                       return std::chrono::duration<double>(stats.meanServiceTime).count();
                   }},
        PoolMetric{"pool_started_total", "counter", "Statements started.",
                   &readMember<&PoolStats::started>},
        PoolMetric{"pool_connects_total", "counter", "Connections that were begun.",
                   &readMember<&PoolStats::connectsStarted>},
        PoolMetric{"pool_connect_failures_total", "counter", "Connections that failed to open.",
                   &readMember<&PoolStats::connectsFailed>},
        PoolMetric{"pool_discarded_total", "counter", "Connections closed as not reusable.",
                   &readMember<&PoolStats::discarded>},
        PoolMetric{"pool_transactions_expired_total", "counter", "Transactions ended when idle.",
                   &readMember<&PoolStats::transactionsExpired>},
    };
    static constexpr std::array refusals{
        PoolRefusal{"full", &PoolStats::refusedFull},
        PoolRefusal{"early", &PoolStats::refusedEarly},
        PoolRefusal{"expired", &PoolStats::refusedExpired},
        PoolRefusal{"unavailable", &PoolStats::refusedUnavailable},
        PoolRefusal{"draining", &PoolStats::refusedDraining},
    };
    const auto labelsOf = [](const EndpointPoolStats &pool) {
        return label("service", pool.service.value()) + ","
               + label("endpoint", pool.endpoint.value());
    };
    for (const PoolMetric &metric : metrics) {
        writer.describe(metric.name, metric.type, metric.help);
        for (const EndpointPoolStats &pool : pools)
            writer.sample(labelsOf(pool), metric.read(pool.stats));
    }
    writer.describe("pool_refusals_total", "counter", "Statements that the pool refused.");
    for (const EndpointPoolStats &pool : pools) {
        for (const PoolRefusal &refusal : refusals)
            writer.sample(labelsOf(pool) + "," + label("reason", refusal.reason),
                          pool.stats.*refusal.counter);
    }
}

void writeProcess(Writer &writer, const MetricsSnapshot &snapshot,
                  const std::optional<ProcessUsage> &usage)
{
    writer.describe("recording_seconds", "gauge", "Time since recording started.");
    writer.sample("", std::chrono::duration<double>(snapshot.uptime).count());
    writer.describe("unattributed_statements_total", "counter",
                    "Statements without a record of their service.");
    writer.sample("", snapshot.unattributed);
    if (!usage)
        return;
    writer.describe("process_cpu_seconds_total", "counter", "CPU time of the process.");
    writer.sample("", usage->cpuSeconds);
    writer.describe("process_resident_memory_bytes", "gauge", "Resident memory of the process.");
    writer.sample("", usage->residentBytes);
}

} // namespace

std::optional<ProcessUsage> readProcessUsage()
{
    std::ifstream statusFile("/proc/self/stat");
    std::string line;
    std::getline(statusFile, line);
    // The program name in parentheses may contain spaces; fields are counted after it.
    const auto nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos)
        return std::nullopt;
    std::istringstream fields(line.substr(nameEnd + 1));
    constexpr int fieldsBeforeTimes = 11; // state (field 3) to cmajflt (field 13)
    std::string skipped;
    for (int i = 0; i < fieldsBeforeTimes; ++i)
        fields >> skipped;
    std::uint64_t userTicks = 0;
    std::uint64_t systemTicks = 0;
    fields >> userTicks >> systemTicks;

    std::ifstream memoryFile("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    memoryFile >> totalPages >> residentPages;
    const long ticksPerSecond = sysconf(_SC_CLK_TCK);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    if (!fields || !memoryFile || ticksPerSecond <= 0 || pageBytes <= 0)
        return std::nullopt;
    return ProcessUsage{static_cast<double>(userTicks + systemTicks)
                            / static_cast<double>(ticksPerSecond),
                        residentPages * static_cast<std::uint64_t>(pageBytes)};
}

std::string escapeLabelValue(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

std::string renderExposition(const MetricsSnapshot &snapshot,
                             const std::vector<EndpointPoolStats> &pools,
                             const std::optional<ProcessUsage> &usage)
{
    Records records = snapshot.services;
    std::sort(records.begin(), records.end(),
              [](const auto &a, const auto &b) { return a->service < b->service; });
    Writer writer;
    writeStatements(writer, records);
    writeDurations(writer, records, snapshot.minute());
    writePools(writer, pools);
    writeProcess(writer, snapshot, usage);
    return writer.take();
}

} // namespace pistachiowood
