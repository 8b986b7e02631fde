#include "loadgen/measures.h"

#include <boost/histogram.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <sstream>
#include <vector>

namespace pistachiowood::loadgen {

namespace histogram = boost::histogram;
namespace json = boost::json;

namespace {

// From 10 microseconds to 10 minutes; ln(6e7) / 900 bins give steps of 2 percent.
constexpr unsigned latencyBins = 900;
constexpr double shortestLatency = 0.01;
constexpr double longestLatency = 600000;

using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyHistogram =
    decltype(histogram::make_histogram(LatencyAxis(latencyBins, shortestLatency, longestLatency)));

constexpr std::array<std::string_view, workKindCount> kindNames{"token_read", "age_read", "write",
                                                                "transaction"};
constexpr std::array<double, 3> reportedShares{0.5, 0.9, 0.99};

struct KindFigures
{
    std::uint64_t count = 0;
    std::map<std::string, std::uint64_t> outcomes;
    LatencyHistogram latencies =
        histogram::make_histogram(LatencyAxis(latencyBins, shortestLatency, longestLatency));
    double maxLatency = 0;

    std::uint64_t outcome(const std::string &name) const
    {
        const auto found = outcomes.find(name);
        return found == outcomes.end() ? 0 : found->second;
    }
};

double milliseconds(TimePoint::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

struct Measures::Private
{
    double secondsUntil(TimePoint end) const
    {
        return std::max(1e-6, milliseconds(end - start) / 1000);
    }

    TimePoint start;
    std::array<KindFigures, workKindCount> kinds;
    std::map<std::string, std::vector<TimePoint>> committedWrites; // by service, unordered
    std::map<std::string, std::uint64_t> refusals; // by reason
    std::uint64_t statements = 0;
    std::uint64_t refused = 0;
    std::uint64_t committedReads = 0;
    std::uint64_t replicaReads = 0;
};

Measures::Measures(TimePoint start)
    : private_(std::make_unique<Private>())
{
    private_->start = start;
}

Measures::~Measures() = default;

void Measures::add(const Sample &sample)
{
    Private &all = *private_;
    KindFigures &figures = all.kinds.at(static_cast<std::size_t>(sample.kind));
    const bool isRead = sample.kind == WorkKind::TokenRead || sample.kind == WorkKind::AgeRead;
    ++all.statements;
    ++figures.count;
    ++figures.outcomes[sample.outcome];
    auto &writes = all.committedWrites[sample.service];
    if (sample.outcome == "committed") {
        const double latency = milliseconds(sample.end - sample.scheduled);
        figures.latencies(latency);
        figures.maxLatency = std::max(figures.maxLatency, latency);
        if (!isRead)
            writes.push_back(sample.end);
        all.committedReads += isRead ? 1 : 0;
        all.replicaReads += isRead && sample.fromReplica ? 1 : 0;
        return;
    }
    if (sample.outcome == "not_run")
        ++all.refused;
    ++all.refusals[sample.outcome + ":" + sample.reason];
}

double Measures::latencyAt(WorkKind kind, double share) const
{
    const KindFigures &figures = private_->kinds.at(static_cast<std::size_t>(kind));
    const double total = histogram::algorithm::sum(figures.latencies);
    double below = 0;
    for (auto &&bin : histogram::indexed(figures.latencies, histogram::coverage::all)) {
        below += *bin;
        if (total > 0 && below >= share * total)
            return std::min(bin.bin().upper(), figures.maxLatency);
    }
    return 0;
}

double Measures::replicaReadShare() const
{
    return ratio(private_->replicaReads, private_->committedReads);
}

Milliseconds Measures::longestWriteGap(const std::string &service, TimePoint end) const
{
    const auto found = private_->committedWrites.find(service);
    std::vector<TimePoint> times;
    if (found != private_->committedWrites.end())
        times = found->second;
    times.push_back(end);
    std::sort(times.begin(), times.end());
    TimePoint previous = private_->start;
    TimePoint::duration longest{0};
    for (const TimePoint time : times) {
        longest = std::max(longest, time - previous);
        previous = time;
    }
    return std::chrono::duration_cast<Milliseconds>(longest);
}

double Measures::refusedShare() const
{
    return ratio(private_->refused, private_->statements);
}

std::string Measures::formatTable(TimePoint end) const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << std::left << std::setw(12) << "kind" << std::right;
    for (const char *title : {"count", "committed", "not_run", "unknown", "commits/s", "p50 ms",
                              "p90 ms", "p99 ms", "max ms"})
        out << std::setw(11) << title;
    out << '\n';
    for (std::size_t i = 0; i < workKindCount; ++i) {
        const KindFigures &figures = private_->kinds.at(i);
        const auto committed = figures.outcome("committed");
        out << std::left << std::setw(12) << kindNames.at(i) << std::right << std::setw(11)
            << figures.count << std::setw(11) << committed << std::setw(11)
            << figures.outcome("not_run") << std::setw(11) << figures.outcome("unknown")
            << std::setw(11) << static_cast<double>(committed) / private_->secondsUntil(end);
        for (const double share : reportedShares)
            out << std::setw(11) << latencyAt(static_cast<WorkKind>(i), share);
        out << std::setw(11) << figures.maxLatency << '\n';
    }
    out << "reads served by replicas: " << replicaReadShare() * 100 << "%\n";
    for (const auto &[service, times] : private_->committedWrites)
        out << "longest time without a committed write, " << service << ": "
            << longestWriteGap(service, end).count() << " ms\n";
    out << "refused (not_run): " << std::setprecision(3) << refusedShare() * 100 << "%\n";
    for (const auto &[reason, count] : private_->refusals)
        out << "  " << reason << ": " << count << '\n';
    return out.str();
}

std::string Measures::formatJson(TimePoint end) const
{
    json::object kinds;
    for (std::size_t i = 0; i < workKindCount; ++i) {
        const KindFigures &figures = private_->kinds.at(i);
        const auto kind = static_cast<WorkKind>(i);
        const auto committed = figures.outcome("committed");
        kinds[json::string_view(kindNames.at(i).data(), kindNames.at(i).size())] = json::object{
            {"count", figures.count},
            {"committed", committed},
            {"not_run", figures.outcome("not_run")},
            {"unknown", figures.outcome("unknown")},
            {"commits_per_second", static_cast<double>(committed) / private_->secondsUntil(end)},
            {"p50_ms", latencyAt(kind, 0.5)},
            {"p90_ms", latencyAt(kind, 0.9)},
            {"p99_ms", latencyAt(kind, 0.99)},
            {"max_ms", figures.maxLatency}};
    }
    json::object gaps;
    for (const auto &[service, times] : private_->committedWrites)
        gaps[service] = longestWriteGap(service, end).count();
    return json::serialize(json::object{{"duration_s", private_->secondsUntil(end)},
                                        {"kinds", std::move(kinds)},
                                        {"replica_read_share", replicaReadShare()},
                                        {"longest_write_gap_ms", std::move(gaps)},
                                        {"refused_share", refusedShare()},
                                        {"reasons", json::value_from(private_->refusals)}})
           + "\n";
}

} // namespace pistachiowood::loadgen
