#ifndef PISTACHIOWOOD_BURN_BURN_REPORT_H
#define PISTACHIOWOOD_BURN_BURN_REPORT_H

#include "burn/service_metrics.h"

#include <pistachiowood/error.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Share of replica reads within the freshness bound; ServiceObjectives names only the bound.
inline constexpr double freshnessShare = 0.99;

/// Burn rates at which an alarm fires: the budget of 72 h would last 5 h or 12 h.
inline constexpr double fastBurnRate = 14.4;
inline constexpr double slowBurnRate = 6;

/// Windows of a burn rate, shortest first.
enum class BurnWindow { FiveMinutes, HalfHour, Hour, SixHours, ThreeDays };
inline constexpr std::array<std::size_t, 5> burnWindowMinutes{5, 30, 60, 360, 4320};
inline constexpr std::array<std::string_view, 5> burnWindowNames{"5m", "30m", "1h", "6h", "72h"};

enum class Objective { Availability, Latency, Freshness, FailoverGap };
inline constexpr std::array<std::string_view, 4> objectiveNames{"availability", "latency",
                                                                "freshness", "failover_gap"};

enum class Alarm { None, Slow, Fast };
std::string_view alarmName(Alarm alarm);

/// A value is empty when there was no traffic to measure it with.
struct ObjectiveReport
{
    double target = 0; ///< share; failover gap: seconds
    std::optional<Milliseconds> bound; ///< latency and freshness: the bound that the share is of
    std::optional<double> measured; ///< over 72 h; share, or longest gap in seconds
    std::optional<double> budgetLeft; ///< share of the 72 h budget; negative when exceeded
    std::array<std::optional<double>, burnWindowMinutes.size()> burnRates; ///< by BurnWindow
    Alarm alarm = Alarm::None;
};

struct ServiceReport
{
    ServiceRecord merged; ///< sum over the daemons that were reached
    bool mixedObjectives = false; ///< daemons classified by different objectives
    std::array<ObjectiveReport, objectiveNames.size()> objectives; ///< by Objective
};

struct MissingDaemon
{
    std::string name; ///< address or VM id
    std::string reason;
};

/// Snapshot of one daemon, or why there is none.
struct DaemonResult
{
    std::string name;
    std::variant<MetricsSnapshot, Error> result;
};

struct BurnReport
{
    struct ReachedDaemon
    {
        std::string name;
        VmId vm;
        Milliseconds uptime{0};
        std::uint64_t unattributed = 0;
    };

    std::vector<ReachedDaemon> reached;
    std::vector<MissingDaemon> missing;
    std::vector<ServiceReport> services; ///< by name

    bool isComplete() const { return missing.empty() && !reached.empty(); }
    Alarm worstAlarm() const;
};

using ObjectivesMap = ServiceMetrics::ObjectivesMap;

struct BadShare
{
    std::uint64_t bad = 0;
    std::uint64_t total = 0;
};

/// Statements that an objective counts; empty for the failover gap, which is not a share.
BadShare badShareOf(const BurnBucket &bucket, Objective objective);

/// Share of bad statements divided by the share that the target allows; empty without statements.
std::optional<double> computeBurnRate(std::uint64_t bad, std::uint64_t total, double target);

/// Merges the snapshots. Services without configured objectives use those of their records;
/// configured services without traffic are listed without measurements.
BurnReport makeBurnReport(const std::vector<DaemonResult> &daemons,
                          const ObjectivesMap &configured = {});

std::string renderTable(const BurnReport &report);
std::string renderJson(const BurnReport &report);
/// One static page without scripts or external resources.
std::string renderHtml(const BurnReport &report);

} // namespace pistachiowood

#endif
