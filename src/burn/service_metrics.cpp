#include "burn/service_metrics.h"

#include <algorithm>
#include <limits>

namespace pistachiowood {

namespace {

ErrorCode reasonOf(const StatementAnswer &answer)
{
    return answer.error ? answer.error->code : ErrorCode::Internal;
}

/// A rollback, or a resolve that settles a request as not run, ends without an error.
bool isRefused(const StatementAnswer &answer)
{
    return answer.outcome != Outcome::Committed && answer.error;
}

bool isCallerFault(const StatementAnswer &answer)
{
    return answer.outcome == Outcome::NotRun && isCallerError(reasonOf(answer));
}

Milliseconds toMilliseconds(TimePoint::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

} // namespace

bool isCallerError(ErrorCode code)
{
    return code == ErrorCode::InvalidArgument || code == ErrorCode::NotFound
           || code == ErrorCode::PermissionDenied || code == ErrorCode::Unauthenticated
           || code == ErrorCode::TooLarge;
}

std::uint64_t MetricsSnapshot::minute() const
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::minutes>(uptime).count());
}

ServiceMetrics::ServiceMetrics(VmId daemon, const Clock &clock)
    : daemon_(std::move(daemon))
    , clock_(clock)
    , start_(clock.now())
{
}

std::uint64_t ServiceMetrics::currentMinute() const
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::minutes>(clock_.now() - start_).count());
}

ServiceObjectives ServiceMetrics::objectivesOf(const ServiceName &service) const
{
    const auto found = objectives_.find(service);
    return found == objectives_.end() ? ServiceObjectives{} : found->second;
}

void ServiceMetrics::setObjectives(ObjectivesMap objectives)
{
    objectives_ = std::move(objectives);
    for (auto &[service, entry] : entries_) {
        const ServiceObjectives current = objectivesOf(service);
        if (!(entry.record->objectives == current))
            writable(entry).objectives = current;
    }
}

void ServiceMetrics::remove(const ServiceName &service)
{
    entries_.erase(service);
}

ServiceMetrics::Entry *ServiceMetrics::findOrCreate(const StatementRequest &request,
                                                    const StatementAnswer &answer)
{
    if (const auto found = entries_.find(request.service); found != entries_.end())
        return &found->second;
    // A caller can invent service names, so a refused request alone creates no record, nor does a
    // resolve for a service that does not exist, whose outcome stays unknown.
    const bool isInvented = isRefused(answer) && isCallerError(reasonOf(answer));
    if (isInvented || entries_.size() >= maxRecordedServices)
        return nullptr;
    Entry &entry = entries_[request.service];
    entry.record = std::make_shared<ServiceRecord>();
    entry.record->service = request.service;
    entry.record->objectives = objectivesOf(request.service);
    entry.record->history = BurnHistory(currentMinute());
    entry.epoch = epoch_;
    return &entry;
}

ServiceRecord &ServiceMetrics::writable(Entry &entry) const
{
    // A snapshot of this epoch may be in use by another thread.
    if (entry.epoch != epoch_) {
        entry.record = std::make_shared<ServiceRecord>(*entry.record);
        entry.epoch = epoch_;
    }
    return *entry.record;
}

void ServiceMetrics::record(const StatementRequest &request, const StatementAnswer &answer,
                            std::chrono::nanoseconds latency)
{
    Entry *entry = findOrCreate(request, answer);
    if (!entry) {
        ++unattributed_;
        return;
    }
    ServiceRecord &record = writable(*entry);
    record.history.advance(currentMinute());
    const auto kind = static_cast<std::size_t>(request.kind);
    ++record.outcomes[kind][static_cast<std::size_t>(answer.outcome)];
    const bool committed = answer.outcome == Outcome::Committed;
    const bool refused = isRefused(answer);
    if (refused)
        ++record.refusals[static_cast<std::size_t>(reasonOf(answer))];
    if (isCallerFault(answer))
        return;

    BurnBucket counted;
    counted.total = 1;
    counted.failed = refused ? 1 : 0;
    if (committed) {
        record.latency[kind].add(latency);
        counted.slow = latency > record.objectives.latency ? 1 : 0;
    }
    if (committed && request.kind == StatementKind::Read) {
        ++(answer.fromReplica ? record.replicaReads : record.primaryReads);
        if (answer.fromReplica) {
            record.replicaAge.add(answer.age);
            counted.replicaReads = 1;
            counted.stale = answer.age > record.objectives.freshness ? 1 : 0;
        }
    }
    record.history.minuteAt(0) += counted;
    if (request.kind == StatementKind::Write && (committed || refused))
        recordWriteGap(*entry, record, committed);
}

void ServiceMetrics::recordWriteGap(Entry &entry, ServiceRecord &record, bool committed) const
{
    const TimePoint now = clock_.now();
    if (entry.firstFailedWrite && now - entry.lastFailedWrite > gapIdleLimit)
        entry.firstFailedWrite.reset();
    if (!committed) {
        entry.lastFailedWrite = now;
        if (!entry.firstFailedWrite)
            entry.firstFailedWrite = now;
    }
    if (!entry.firstFailedWrite)
        return;
    // A gap that is still open counts up to its last failed write, so that it shows while it lasts.
    const auto gap =
        static_cast<std::uint64_t>(toMilliseconds(now - *entry.firstFailedWrite).count());
    BurnBucket observed;
    observed.longestGapMs = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(gap, std::numeric_limits<std::uint32_t>::max()));
    record.history.minuteAt(0) += observed;
    if (committed)
        entry.firstFailedWrite.reset();
}

MetricsSnapshot ServiceMetrics::snapshot()
{
    MetricsSnapshot result{daemon_, toMilliseconds(clock_.now() - start_), unattributed_, {}};
    result.services.reserve(entries_.size());
    for (const auto &[service, entry] : entries_)
        result.services.push_back(entry.record);
    ++epoch_;
    return result;
}

} // namespace pistachiowood
