#include "routing/read_router.h"

#include <algorithm>
#include <compare>
#include <tuple>

namespace pistachiowood {

namespace {

constexpr double rateSmoothing = 0.2; // weight of the newest sample of the replication rate
constexpr double successSmoothing = 0.1; // weight of the newest answer in the success rate

Milliseconds elapsed(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

} // namespace

AnswerVerdict checkReadAnswer(const ReadRequirement &requirement, const EndpointReport &report)
{
    if (report.term != requirement.term)
        return AnswerVerdict::WrongTerm;
    if (report.position < requirement.minPosition)
        return AnswerVerdict::BelowToken;
    if (report.age > requirement.maxAge)
        return AnswerVerdict::TooOld;
    return AnswerVerdict::Deliver;
}

// Smaller keys are tried first.
struct ReadRouter::SortKey
{
    bool unlikelyToSatisfy = false;
    int distanceClass = 0;
    bool isPrimary = false;
    int distance = 0;
    Milliseconds age{0};

    bool operator==(const SortKey &) const = default;
    // Not defaulted: clang-tidy's modernize-use-nullptr reports the 0 in the generated body.
    auto operator<=>(const SortKey &other) const
    {
        return std::tie(unlikelyToSatisfy, distanceClass, isPrimary, distance, age)
               <=> std::tie(other.unlikelyToSatisfy, other.distanceClass, other.isPrimary,
                            other.distance, other.age);
    }
};

ReadRouter::ReadRouter(Settings settings, const Clock &clock)
    : settings_(settings)
    , clock_(clock)
{
}

void ReadRouter::recordReport(const EndpointId &endpoint, const EndpointReport &report)
{
    Estimate &estimate = estimates_[endpoint];
    const TimePoint now = clock_.now();
    const bool sameTerm = estimate.report.term == report.term;
    // Answers may overtake each other; an older report of the same term adds nothing.
    if (report.term < estimate.report.term
        || (sameTerm && report.position < estimate.report.position))
        return;
    if (const auto step = elapsed(estimate.observedAt, now); sameTerm && step.count() > 0) {
        const double advanced =
            static_cast<double>(report.position.value() - estimate.report.position.value());
        const double sample = advanced / static_cast<double>(step.count());
        estimate.entriesPerMillisecond += rateSmoothing * (sample - estimate.entriesPerMillisecond);
    }
    estimate.report = report;
    estimate.observedAt = now;
}

void ReadRouter::recordVerdict(const EndpointId &endpoint, AnswerVerdict verdict)
{
    Estimate &estimate = estimates_[endpoint];
    const double sample = verdict == AnswerVerdict::Deliver ? 1 : 0;
    estimate.successRate += successSmoothing * (sample - estimate.successRate);
    if (verdict == AnswerVerdict::Deliver) {
        estimate.staleAnswers = 0;
        estimate.ejections = 0;
        estimate.ejectedUntil.reset();
    } else if (++estimate.staleAnswers >= settings_.staleAnswersBeforeEjection) {
        eject(estimate);
    }
}

void ReadRouter::recordFailure(const EndpointId &endpoint)
{
    eject(estimates_[endpoint]);
}

void ReadRouter::forget(const EndpointId &endpoint)
{
    estimates_.erase(endpoint);
}

void ReadRouter::eject(Estimate &estimate)
{
    const auto doublings = std::min(estimate.ejections, 16U);
    const auto period =
        std::min(settings_.baseEjectionTime * (1 << doublings), settings_.maxEjectionTime);
    estimate.ejectedUntil = clock_.now() + period;
    estimate.staleAnswers = 0;
    ++estimate.ejections;
}

bool ReadRouter::isEjected(const EndpointId &endpoint) const
{
    const auto found = estimates_.find(endpoint);
    return found != estimates_.end() && found->second.ejectedUntil
           && *found->second.ejectedUntil > clock_.now();
}

LogPosition ReadRouter::estimatePosition(const Estimate &estimate) const
{
    // Counts on half of the expected advance: an estimate that is too high costs a retry on another
    // endpoint, one that is too low costs a read on the primary.
    const auto sinceReport =
        elapsed(estimate.observedAt, clock_.now()) + settings_.catchUpAllowance;
    const double advance =
        estimate.entriesPerMillisecond * static_cast<double>(sinceReport.count()) / 2;
    return LogPosition(estimate.report.position.value() + static_cast<std::uint64_t>(advance));
}

Milliseconds ReadRouter::estimateAge(const Estimate &estimate) const
{
    // A replica that was up to date is expected to stay so; the data of one that lagged may have
    // aged since.
    if (estimate.report.age <= settings_.catchUpAllowance)
        return estimate.report.age;
    return estimate.report.age + elapsed(estimate.observedAt, clock_.now()) / 2;
}

bool ReadRouter::isExpectedToSatisfy(const EndpointId &endpoint,
                                     const ReadRequirement &requirement) const
{
    const auto found = estimates_.find(endpoint);
    if (found == estimates_.end())
        return true; // a read on an unknown endpoint yields its first report
    const Estimate &estimate = found->second;
    if (estimateAge(estimate) > requirement.maxAge)
        return false;
    // A daemon with few reads has old reports although the replica keeps up, so a low estimate does
    // not rule out a replica whose recent answers could be delivered.
    return estimatePosition(estimate) >= requirement.minPosition
           || estimate.successRate >= settings_.optimisticReadThreshold;
}

ReadRouter::SortKey ReadRouter::sortKey(const ReadCandidate &candidate,
                                        const ReadRequirement &requirement,
                                        const Locality &locality) const
{
    const bool sameZone = candidate.zone == locality.zone;
    const bool sameRegion = candidate.region == locality.region;
    const int distance = sameZone ? 0 : sameRegion ? 1 : 2;
    SortKey key;
    key.isPrimary = candidate.isPrimary;
    key.distance = distance;
    // The primary holds every entry of its term, so its position satisfies every token.
    key.unlikelyToSatisfy = !candidate.isPrimary && !isExpectedToSatisfy(candidate.id, requirement);
    key.distanceClass =
        settings_.preference == ReplicaPreference::Region ? (sameRegion ? 0 : 1) : distance;
    if (const auto found = estimates_.find(candidate.id); found != estimates_.end())
        key.age = estimateAge(found->second);
    return key;
}

std::vector<EndpointId> ReadRouter::rank(const std::vector<ReadCandidate> &candidates,
                                         const ReadRequirement &requirement,
                                         const Locality &locality) const
{
    std::vector<std::pair<SortKey, EndpointId>> keyed;
    for (const ReadCandidate &candidate : candidates) {
        if (candidate.isPrimary
            || (settings_.preference != ReplicaPreference::PrimaryOnly && !isEjected(candidate.id)))
            keyed.emplace_back(sortKey(candidate, requirement, locality), candidate.id);
    }
    std::sort(keyed.begin(), keyed.end());
    std::vector<EndpointId> ranked;
    ranked.reserve(keyed.size());
    for (auto &[key, id] : keyed)
        ranked.push_back(std::move(id));
    return ranked;
}

} // namespace pistachiowood
