#include "burn/burn_report.h"
#include "burn/report_format.h"

#include <algorithm>

namespace pistachiowood {

namespace {

/// Plots of one service take about 10 KB; the table lists every service.
constexpr std::size_t maxPlottedServices = 100;

constexpr double plotWidth = 360;
constexpr double plotHeight = 120;

constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>Burn report</title><style>
body{font:14px sans-serif;margin:24px}table{border-collapse:collapse}
td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}
td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}
.fast{background:#f8c0c0}.slow{background:#fbe5b0}.incomplete{color:#b00000;font-weight:bold}
svg{background:#fafafa;margin:4px 12px 4px 0}svg text{font:10px sans-serif}
polyline{fill:none;stroke-width:1.5}.limit{stroke:#999;stroke-dasharray:4 3}
.availability{stroke:#b00000}.latency{stroke:#0050b0}.freshness{stroke:#208020}rect{fill:#5080b0}
figure{display:inline-block;margin:0}figcaption{font-size:12px}
</style></head><body><h1>Burn report</h1>
)";

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        case '\'':
            escaped += "&#39;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string cell(const std::string &text)
{
    return "<td>" + text + "</td>";
}

std::string optionalCell(std::optional<double> number, double factor, int decimals,
                         std::string_view unit)
{
    return cell(number ? formatFixed(*number * factor, decimals) + std::string(unit) : "-");
}

std::string renderRow(const ServiceReport &service, std::size_t index)
{
    const ObjectiveReport &report = service.objectives[index];
    const bool isGap = static_cast<Objective>(index) == Objective::FailoverGap;
    const double factor = isGap ? 1 : 100;
    const int decimals = isGap ? 1 : 3;
    const std::string_view unit = isGap ? " s" : "%";
    std::string target = formatFixed(report.target * factor, decimals) + std::string(unit);
    if (report.bound)
        target += " within " + std::to_string(report.bound->count()) + " ms";
    std::string row = "<tr class=\"" + std::string(alarmName(report.alarm)) + "\">";
    row += cell(escapeHtml(service.merged.service.value()) + (service.mixedObjectives ? " *" : ""));
    row += cell(std::string(objectiveNames[index])) + cell(target);
    row += optionalCell(report.measured, factor, decimals, unit);
    row += optionalCell(report.budgetLeft, 100, 1, "%");
    for (const auto &rate : report.burnRates)
        row += optionalCell(rate, 1, 2, "");
    return row + cell(std::string(alarmName(report.alarm))) + "</tr>\n";
}

std::string renderTableHtml(const BurnReport &report)
{
    std::string text = "<table><tr><th>Service</th><th>Objective</th><th>Target</th>"
                       "<th>Measured</th><th>Budget left</th>";
    for (const std::string_view name : burnWindowNames)
        text += "<th>Burn " + std::string(name) + "</th>";
    text += "<th>Alarm</th></tr>\n";
    for (const ServiceReport &service : report.services) {
        for (std::size_t index = 0; index < service.objectives.size(); ++index)
            text += renderRow(service, index);
    }
    return text + "</table>\n<p>* daemons classified statements by different objectives</p>\n";
}

std::string textAt(double x, double y, const std::string &text)
{
    return "<text x=\"" + formatFixed(x, 0) + "\" y=\"" + formatFixed(y, 0) + "\">"
           + escapeHtml(text) + "</text>";
}

std::string figure(const std::string &caption, const std::string &content)
{
    return "<figure><svg width=\"" + formatFixed(plotWidth, 0) + "\" height=\""
           + formatFixed(plotHeight, 0) + "\">" + content + "</svg><figcaption>"
           + escapeHtml(caption) + "</figcaption></figure>\n";
}

/// Burn rates of one objective, oldest first; empty without statements.
struct Series
{
    std::string_view name;
    std::vector<std::optional<double>> rates;
};

std::string renderSeries(const Series &series, double highest)
{
    std::string text;
    std::string points;
    const auto flush = [&] {
        if (!points.empty())
            text +=
                "<polyline class=\"" + std::string(series.name) + "\" points=\"" + points + "\"/>";
        points.clear();
    };
    const double step = plotWidth / static_cast<double>(series.rates.size());
    for (std::size_t i = 0; i < series.rates.size(); ++i) {
        if (!series.rates[i]) {
            flush();
            continue;
        }
        // A bucket is a horizontal stroke, so that a single one is visible.
        const std::string y =
            formatFixed(plotHeight - *series.rates[i] / highest * (plotHeight - 12), 1);
        points += formatFixed(static_cast<double>(i) * step, 1) + "," + y + " "
                  + formatFixed(static_cast<double>(i + 1) * step, 1) + "," + y + " ";
    }
    flush();
    return text;
}

std::string renderBurnPlot(const std::string &caption, const std::vector<Series> &allSeries)
{
    double highest = fastBurnRate * 1.2;
    for (const Series &series : allSeries) {
        for (const auto &rate : series.rates)
            highest = std::max(highest, rate.value_or(0));
    }
    std::string content;
    for (const double limit : {slowBurnRate, fastBurnRate}) {
        const std::string y = formatFixed(plotHeight - limit / highest * (plotHeight - 12), 1);
        content += "<line class=\"limit\" x1=\"0\" x2=\"" + formatFixed(plotWidth, 0) + "\" y1=\""
                   + y + "\" y2=\"" + y + "\"/>";
    }
    content += textAt(2, 10, "highest " + formatFixed(highest, 1));
    for (const Series &series : allSeries)
        content += renderSeries(series, highest);
    return figure(caption, content);
}

template <typename BucketAt>
std::vector<Series> collectSeries(const ServiceReport &service, std::size_t count,
                                  BucketAt bucketAt)
{
    std::vector<Series> series;
    for (const Objective objective :
         {Objective::Availability, Objective::Latency, Objective::Freshness}) {
        const auto index = static_cast<std::size_t>(objective);
        Series &added = series.emplace_back(Series{objectiveNames[index], {}});
        for (std::size_t age = count; age-- > 0;) {
            const BadShare share = badShareOf(bucketAt(age), objective);
            added.rates.push_back(
                computeBurnRate(share.bad, share.total, service.objectives[index].target));
        }
    }
    return series;
}

std::string renderHistogram(const std::string &caption, const DurationHistogram &histogram)
{
    const std::uint32_t highest =
        *std::max_element(histogram.counts.begin(), histogram.counts.end());
    if (highest == 0)
        return "";
    std::string content;
    const double width = plotWidth / static_cast<double>(DurationHistogram::bins);
    for (std::size_t bin = 0; bin < DurationHistogram::bins; ++bin) {
        if (histogram.counts[bin] == 0)
            continue;
        const double height = (plotHeight - 12) * histogram.counts[bin] / highest;
        content += "<rect x=\"" + formatFixed(static_cast<double>(bin) * width, 1) + "\" y=\""
                   + formatFixed(plotHeight - height, 1) + "\" width=\"" + formatFixed(width - 1, 1)
                   + "\" height=\"" + formatFixed(height, 1) + "\"><title>up to "
                   + formatFixed(DurationHistogram::upperEdge(bin) * 1000, 2)
                   + " ms: " + std::to_string(histogram.counts[bin]) + "</title></rect>";
    }
    content += textAt(2, 10, "highest " + std::to_string(highest));
    return figure(caption + ", 0.1 ms to 60 s (logarithmic)", content);
}

std::string renderPlots(const ServiceReport &service)
{
    const BurnHistory &history = service.merged.history;
    std::string text = "<h2>" + escapeHtml(service.merged.service.value()) + "</h2>\n";
    text += renderBurnPlot("Burn rate per hour, 72 h to 1 h ago",
                           collectSeries(service, BurnHistory::hourBuckets,
                                         [&](std::size_t age) { return history.hourAt(age); }));
    text += renderBurnPlot("Burn rate per minute, last hour",
                           collectSeries(service, BurnHistory::minuteBuckets,
                                         [&](std::size_t age) { return history.minuteAt(age); }));
    text += renderHistogram("Latency of reads", service.merged.latency[0]);
    text += renderHistogram("Latency of writes", service.merged.latency[1]);
    return text + renderHistogram("Age of reads served by replicas", service.merged.replicaAge);
}

/// Services with alarms first, then by the least budget left.
std::vector<const ServiceReport *> choosePlotted(const BurnReport &report)
{
    const auto urgency = [](const ServiceReport &service) {
        Alarm alarm = Alarm::None;
        double budget = 1;
        for (const ObjectiveReport &objective : service.objectives) {
            alarm = std::max(alarm, objective.alarm);
            budget = std::min(budget, objective.budgetLeft.value_or(1));
        }
        return std::pair(-static_cast<int>(alarm), budget);
    };
    std::vector<const ServiceReport *> chosen;
    for (const ServiceReport &service : report.services)
        chosen.push_back(&service);
    std::stable_sort(chosen.begin(), chosen.end(),
                     [&](const auto *a, const auto *b) { return urgency(*a) < urgency(*b); });
    chosen.resize(std::min(chosen.size(), maxPlottedServices));
    return chosen;
}

} // namespace

std::string renderHtml(const BurnReport &report)
{
    std::string text(pageHead);
    if (!report.isComplete())
        text += "<p class=\"incomplete\">Incomplete: the figures cover only the daemons that were "
                "reached.</p>\n";
    text += "<ul>\n";
    for (const MissingDaemon &daemon : report.missing)
        text += "<li class=\"incomplete\">missing: " + escapeHtml(daemon.name) + ": "
                + escapeHtml(daemon.reason) + "</li>\n";
    for (const auto &daemon : report.reached)
        text += "<li>reached: " + escapeHtml(daemon.name) + " (" + escapeHtml(daemon.vm.value())
                + "), " + formatHours(daemon.uptime) + " h recorded</li>\n";
    text += "</ul>\n" + renderTableHtml(report);
    text += "<p>Plots: availability red, latency blue, freshness green; dashed lines at burn rates "
            "6 and 14.4; at most "
            + std::to_string(maxPlottedServices)
            + " services, those with alarms and the least budget first.</p>\n";
    for (const ServiceReport *service : choosePlotted(report))
        text += renderPlots(*service);
    return text + "</body></html>\n";
}

} // namespace pistachiowood
