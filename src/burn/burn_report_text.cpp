#include "burn/burn_report.h"
#include "burn/report_format.h"

#include <boost/json.hpp>

#include <algorithm>

namespace pistachiowood {

namespace json = boost::json;

namespace {

json::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Replaces control characters, which a terminal would execute.
std::string printable(std::string_view text)
{
    std::string result(text);
    std::replace_if(
        result.begin(), result.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
    return result;
}

std::string formatOptional(std::optional<double> number, int decimals)
{
    return number ? formatFixed(*number, decimals) : "-";
}

std::string formatShare(std::optional<double> share, int decimals)
{
    return share ? formatFixed(*share * 100, decimals) + "%" : "-";
}

using Row = std::vector<std::string>;

Row makeRow(const ServiceReport &service, Objective objective)
{
    const ObjectiveReport &report = service.objectives[static_cast<std::size_t>(objective)];
    const bool isGap = objective == Objective::FailoverGap;
    const auto format = [isGap](std::optional<double> value) {
        return isGap ? (value ? formatFixed(*value, 1) + "s" : "-") : formatShare(value, 3);
    };
    std::string target = format(report.target);
    if (report.bound)
        target += "<=" + std::to_string(report.bound->count()) + "ms";
    Row row{printable(service.merged.service.value()) + (service.mixedObjectives ? " *" : ""),
            std::string(objectiveNames[static_cast<std::size_t>(objective)]), target,
            format(report.measured), formatShare(report.budgetLeft, 1)};
    for (const auto &rate : report.burnRates)
        row.push_back(formatOptional(rate, 2));
    row.emplace_back(report.alarm == Alarm::None ? "" : alarmName(report.alarm));
    return row;
}

std::string alignColumns(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const Row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

json::value encodeOptional(std::optional<double> number)
{
    return number ? json::value(*number) : json::value(nullptr);
}

json::object encodeObjective(const ObjectiveReport &report, Objective objective)
{
    const bool isGap = objective == Objective::FailoverGap;
    json::object object;
    object["objective"] = view(objectiveNames[static_cast<std::size_t>(objective)]);
    object["unit"] = isGap ? "seconds" : "share";
    object["target"] = report.target;
    if (report.bound)
        object["bound_ms"] = report.bound->count();
    object["measured"] = encodeOptional(report.measured);
    object["budget_left"] = encodeOptional(report.budgetLeft);
    json::object rates;
    for (std::size_t window = 0; window < burnWindowNames.size(); ++window)
        rates[view(burnWindowNames[window])] = encodeOptional(report.burnRates[window]);
    object["burn_rate"] = std::move(rates);
    object["alarm"] = view(alarmName(report.alarm));
    return object;
}

json::object encodeService(const ServiceReport &service)
{
    json::array objectives;
    for (std::size_t i = 0; i < service.objectives.size(); ++i)
        objectives.emplace_back(encodeObjective(service.objectives[i], static_cast<Objective>(i)));
    return {{"service", service.merged.service.value()},
            {"mixed_objectives", service.mixedObjectives},
            {"replica_reads", service.merged.replicaReads},
            {"primary_reads", service.merged.primaryReads},
            {"objectives", std::move(objectives)}};
}

} // namespace

std::string renderTable(const BurnReport &report)
{
    std::vector<Row> rows{{"SERVICE", "OBJECTIVE", "TARGET", "MEASURED", "BUDGET LEFT"}};
    for (const std::string_view name : burnWindowNames)
        rows.front().push_back("BURN " + std::string(name));
    rows.front().emplace_back("ALARM");
    bool mixed = false;
    for (const ServiceReport &service : report.services) {
        mixed |= service.mixedObjectives;
        for (std::size_t i = 0; i < service.objectives.size(); ++i)
            rows.push_back(makeRow(service, static_cast<Objective>(i)));
    }
    std::string text;
    if (!report.isComplete())
        text += "INCOMPLETE: the figures cover only the daemons that were reached.\n";
    for (const MissingDaemon &daemon : report.missing)
        text += "missing: " + printable(daemon.name) + ": " + printable(daemon.reason) + "\n";
    for (const auto &daemon : report.reached) {
        text += "reached: " + printable(daemon.name) + " (" + printable(daemon.vm.value()) + "), "
                + formatHours(daemon.uptime) + " h recorded";
        if (daemon.unattributed > 0)
            text += ", " + std::to_string(daemon.unattributed) + " statements without a service";
        text += "\n";
    }
    text += "\n" + alignColumns(rows);
    if (mixed)
        text += "\n* daemons classified statements by different objectives\n";
    return text;
}

std::string renderJson(const BurnReport &report)
{
    json::array reached;
    for (const auto &daemon : report.reached)
        reached.push_back({{"name", daemon.name},
                           {"vm", daemon.vm.value()},
                           {"uptime_ms", daemon.uptime.count()},
                           {"unattributed", daemon.unattributed}});
    json::array missing;
    for (const MissingDaemon &daemon : report.missing)
        missing.push_back({{"name", daemon.name}, {"reason", daemon.reason}});
    json::array services;
    for (const ServiceReport &service : report.services)
        services.emplace_back(encodeService(service));
    json::object object;
    object["complete"] = report.isComplete();
    object["alarm"] = view(alarmName(report.worstAlarm()));
    object["reached"] = std::move(reached);
    object["missing"] = std::move(missing);
    object["services"] = std::move(services);
    return json::serialize(object) + "\n";
}

} // namespace pistachiowood
