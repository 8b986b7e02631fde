#include "burn/burn_report.h"

#include <algorithm>
#include <set>

namespace pistachiowood {

namespace {

std::size_t minutesOf(BurnWindow window)
{
    return burnWindowMinutes[static_cast<std::size_t>(window)];
}

Alarm alarmOf(const ObjectiveReport &report)
{
    const auto exceeds = [&report](BurnWindow window, double limit) {
        const auto rate = report.burnRates[static_cast<std::size_t>(window)];
        return rate && *rate >= limit;
    };
    if (exceeds(BurnWindow::Hour, fastBurnRate) && exceeds(BurnWindow::FiveMinutes, fastBurnRate))
        return Alarm::Fast;
    if (exceeds(BurnWindow::SixHours, slowBurnRate) && exceeds(BurnWindow::HalfHour, slowBurnRate))
        return Alarm::Slow;
    return Alarm::None;
}

ObjectiveReport reportShare(const BurnHistory &history, Objective objective, double target,
                            std::optional<Milliseconds> bound)
{
    ObjectiveReport report;
    report.target = target;
    report.bound = bound;
    for (std::size_t window = 0; window < burnWindowMinutes.size(); ++window) {
        const BadShare share = badShareOf(history.sum(burnWindowMinutes[window]), objective);
        report.burnRates[window] = computeBurnRate(share.bad, share.total, target);
    }
    const BadShare whole = badShareOf(history.sum(minutesOf(BurnWindow::ThreeDays)), objective);
    if (whole.total > 0) {
        report.measured = 1 - static_cast<double>(whole.bad) / static_cast<double>(whole.total);
        report.budgetLeft = 1 - *report.burnRates[static_cast<std::size_t>(BurnWindow::ThreeDays)];
    }
    report.alarm = alarmOf(report);
    return report;
}

// A gap is a bound on each single event, not a share of events, so it has no burn rate: a gap above
// the target is an alarm by itself.
ObjectiveReport reportGap(const ServiceRecord &record, Milliseconds target)
{
    ObjectiveReport report;
    report.target = std::chrono::duration<double>(target).count();
    const auto longest = [&record](BurnWindow window) -> std::uint64_t {
        return record.history.sum(minutesOf(window)).longestGapMs;
    };
    const auto limit = static_cast<std::uint64_t>(target.count());
    const auto &writes = record.outcomes[static_cast<std::size_t>(StatementKind::Write)];
    if (writes[0] + writes[1] + writes[2] == 0)
        return report;
    const double seconds = static_cast<double>(longest(BurnWindow::ThreeDays)) / 1000;
    report.measured = seconds;
    report.budgetLeft = 1 - seconds / report.target;
    if (longest(BurnWindow::Hour) > limit)
        report.alarm = Alarm::Fast;
    else if (longest(BurnWindow::SixHours) > limit)
        report.alarm = Alarm::Slow;
    return report;
}

void mergeRecord(ServiceRecord &merged, const ServiceRecord &record, std::uint64_t minute)
{
    for (std::size_t kind = 0; kind < statementKinds; ++kind) {
        for (std::size_t outcome = 0; outcome < outcomeKinds; ++outcome)
            merged.outcomes[kind][outcome] += record.outcomes[kind][outcome];
        merged.latency[kind].merge(record.latency[kind]);
    }
    for (std::size_t code = 0; code < errorCodes; ++code)
        merged.refusals[code] += record.refusals[code];
    merged.replicaAge.merge(record.replicaAge);
    merged.replicaReads += record.replicaReads;
    merged.primaryReads += record.primaryReads;
    BurnHistory history = record.history;
    history.advance(minute);
    merged.history.merge(history);
}

void judge(ServiceReport &service)
{
    const ServiceObjectives &objectives = service.merged.objectives;
    const BurnHistory &history = service.merged.history;
    service.objectives = {
        reportShare(history, Objective::Availability, objectives.availability, std::nullopt),
        reportShare(history, Objective::Latency, objectives.latencyShare, objectives.latency),
        reportShare(history, Objective::Freshness, freshnessShare, objectives.freshness),
        reportGap(service.merged, objectives.failoverGap),
    };
}

} // namespace

std::string_view alarmName(Alarm alarm)
{
    static constexpr std::array<std::string_view, 3> names{"none", "slow", "fast"};
    return names.at(static_cast<std::size_t>(alarm));
}

BadShare badShareOf(const BurnBucket &bucket, Objective objective)
{
    switch (objective) {
    case Objective::Availability:
        return {bucket.failed, bucket.total};
    case Objective::Latency: // a failed statement already counts against availability
        return {bucket.slow, bucket.total - std::min(bucket.failed, bucket.total)};
    case Objective::Freshness:
        return {bucket.stale, bucket.replicaReads};
    case Objective::FailoverGap:
        break;
    }
    return {};
}

std::optional<double> computeBurnRate(std::uint64_t bad, std::uint64_t total, double target)
{
    if (total == 0)
        return std::nullopt;
    // The object model allows targets up to 0.99999; the bound keeps any other input finite.
    const double allowed = std::max(1 - target, 1e-9);
    return static_cast<double>(bad) / static_cast<double>(total) / allowed;
}

Alarm BurnReport::worstAlarm() const
{
    Alarm worst = Alarm::None;
    for (const ServiceReport &service : services) {
        for (const ObjectiveReport &objective : service.objectives)
            worst = std::max(worst, objective.alarm);
    }
    return worst;
}

BurnReport makeBurnReport(const std::vector<DaemonResult> &daemons, const ObjectivesMap &configured)
{
    BurnReport report;
    std::map<ServiceName, ServiceReport> services;
    for (const auto &[name, objectives] : configured) {
        services[name].merged.service = name;
        services[name].merged.objectives = objectives;
    }
    std::set<VmId> seen;
    for (const DaemonResult &daemon : daemons) {
        if (const auto *error = std::get_if<Error>(&daemon.result)) {
            report.missing.push_back({daemon.name, error->message});
            continue;
        }
        const auto &snapshot = std::get<MetricsSnapshot>(daemon.result);
        if (!seen.insert(snapshot.daemon).second) {
            report.missing.push_back(
                {daemon.name, "reports the VM id of another daemon: " + snapshot.daemon.value()});
            continue;
        }
        report.reached.push_back(
            {daemon.name, snapshot.daemon, snapshot.uptime, snapshot.unattributed});
        for (const auto &record : snapshot.services) {
            const auto [entry, isNew] = services.try_emplace(record->service);
            ServiceReport &service = entry->second;
            if (isNew) {
                service.merged.service = record->service;
                service.merged.objectives = record->objectives;
            }
            service.mixedObjectives |= !(service.merged.objectives == record->objectives);
            mergeRecord(service.merged, *record, snapshot.minute());
        }
    }
    for (auto &[name, service] : services) {
        judge(service);
        report.services.push_back(std::move(service));
    }
    return report;
}

} // namespace pistachiowood
