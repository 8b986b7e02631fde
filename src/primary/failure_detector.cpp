#include "primary/failure_detector.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

std::string_view failureReasonName(FailureReason reason)
{
    switch (reason) {
    case FailureReason::None:
        return "none";
    case FailureReason::Unreachable:
        return "unreachable";
    case FailureReason::Isolated:
        return "isolated";
    case FailureReason::Slow:
        return "slow";
    case FailureReason::NotPrimary:
        return "not_primary";
    case FailureReason::NoPrimary:
        return "no_primary";
    }
    return "none";
}

FailureDetector::FailureDetector(const Clock &clock, ZoneName zone, DetectorSettings settings)
    : clock_(clock)
    , zone_(std::move(zone))
    , settings_(settings)
{
    reset();
}

void FailureDetector::setMembers(std::vector<EndpointId> members)
{
    std::map<EndpointId, Member> kept;
    for (EndpointId &id : members) {
        const auto known = members_.find(id);
        kept[std::move(id)] = known == members_.end() ? Member{} : known->second;
    }
    members_ = std::move(kept);
}

void FailureDetector::setPrimary(std::optional<EndpointId> primary, Term term)
{
    if (primary == primary_ && term == term_)
        return;
    primary_ = std::move(primary);
    term_ = term;
    reset();
}

void FailureDetector::reset()
{
    evidenceStart_ = clock_.now();
    lastGoodAnswerAt_ = evidenceStart_;
    hadGoodAnswer_ = false;
    consecutiveRefusals_ = 0;
    latencies_.clear();
    confirmations_.clear();
    for (auto &[id, member] : members_)
        member = Member{};
}

void FailureDetector::handleProbe(const EndpointId &endpoint, const ProbeResult &result,
                                  Milliseconds latency)
{
    const auto found = members_.find(endpoint);
    if (found == members_.end())
        return;
    const TimePoint now = clock_.now();
    Member &member = found->second;
    const auto *status = std::get_if<EndpointStatus>(&result);
    member.lastProbeFailed = status == nullptr;
    if (status) {
        member.status = *status;
        member.statusAt = now;
    }
    if (endpoint != primary_)
        return;
    if (!status) {
        const bool refused = std::get<ProbeFailure>(result) == ProbeFailure::Refused;
        consecutiveRefusals_ = refused ? consecutiveRefusals_ + 1 : 0;
        return;
    }
    consecutiveRefusals_ = 0;
    if (status->report.role != EndpointRole::Primary || status->report.term < term_)
        return;
    lastGoodAnswerAt_ = now;
    hadGoodAnswer_ = true;
    latencies_.push_back({now, latency});
    // Keeps one sample older than the window, so that isSlow() knows that the window is covered.
    while (latencies_.size() > 1 && now - latencies_[1].at >= settings_.slowLatencyWindow)
        latencies_.pop_front();
}

void FailureDetector::handleConfirmation(const VmId &peer, const ZoneName &zone, bool reachable)
{
    confirmations_[peer] = {zone, reachable, clock_.now()};
}

const EndpointStatus *FailureDetector::recentStatus(const EndpointId &endpoint) const
{
    const auto found = members_.find(endpoint);
    if (found == members_.end() || !found->second.status
        || clock_.now() - found->second.statusAt > settings_.reportLifetime)
        return nullptr;
    return &*found->second.status;
}

bool FailureDetector::isGroupHealthy() const
{
    return std::ranges::all_of(members_, [this](const auto &entry) {
        const auto &[id, member] = entry;
        if (!member.status || member.lastProbeFailed || member.status->report.term != term_)
            return false;
        if (id == primary_)
            return member.status->report.role == EndpointRole::Primary;
        return member.status->report.role == EndpointRole::Replica
               && member.status->primaryContact < settings_.contactLimit / 4;
    });
}

bool FailureDetector::hasRecentGoodAnswer() const
{
    return consecutiveRefusals_ < settings_.suspicionRefusalCount
           && clock_.now() - lastGoodAnswerAt_ < settings_.suspicionTimeout;
}

bool FailureDetector::isSlow() const
{
    if (latencies_.size() < settings_.minSlowSamples
        || clock_.now() - latencies_.front().at < settings_.slowLatencyWindow)
        return false;
    return std::ranges::all_of(latencies_, [this](const LatencySample &sample) {
        return sample.latency > settings_.slowLatencyThreshold;
    });
}

// A replica in contact with a primary of any term shows that a primary is alive, even one that this
// daemon has not heard of; it therefore never counts as lost.
bool FailureDetector::cannotAssembleMajority(Milliseconds limit) const
{
    std::size_t lost = 0;
    for (const auto &[id, member] : members_) {
        const EndpointStatus *status = recentStatus(id);
        if (status && status->report.role == EndpointRole::Replica
            && (status->primaryContact >= limit || status->report.term == Term()))
            ++lost;
    }
    return !members_.empty() && members_.size() - lost < majorityOf(members_.size());
}

bool FailureDetector::peerConfirmsFailure() const
{
    return std::ranges::any_of(confirmations_, [this](const auto &entry) {
        const Confirmation &answer = entry.second;
        return !answer.reachable && answer.zone != zone_
               && clock_.now() - answer.at <= settings_.confirmationLifetime;
    });
}

bool FailureDetector::peerReachesPrimary() const
{
    return std::ranges::any_of(confirmations_, [this](const auto &entry) {
        return entry.second.reachable
               && clock_.now() - entry.second.at <= settings_.confirmationLifetime;
    });
}

bool FailureDetector::hasNewerPrimary() const
{
    return std::ranges::any_of(members_, [this](const auto &entry) {
        const EndpointStatus *status = recentStatus(entry.first);
        return status && status->report.term > term_
               && (status->report.role == EndpointRole::Primary
                   || status->primaryContact < settings_.contactLimit);
    });
}

Assessment FailureDetector::assess() const
{
    const bool observedLongEnough = clock_.now() - evidenceStart_ >= settings_.suspicionTimeout;
    if (!primary_) {
        if (!observedLongEnough)
            return {};
        const bool lost = cannotAssembleMajority(settings_.contactLimit);
        return {lost ? Verdict::Failed : Verdict::Suspected, FailureReason::NoPrimary};
    }
    if (!hasRecentGoodAnswer()) {
        const EndpointStatus *status = recentStatus(*primary_);
        const auto found = members_.find(*primary_);
        const bool answers = status && found != members_.end() && !found->second.lastProbeFailed;
        const auto reason = answers ? FailureReason::NotPrimary : FailureReason::Unreachable;
        const bool confirmed =
            !answers && peerConfirmsFailure() && !peerReachesPrimary() && !hasNewerPrimary();
        if (confirmed || cannotAssembleMajority(settings_.contactLimit))
            return {Verdict::Failed, reason};
        return {Verdict::Suspected, reason};
    }
    // Replicas of a new primary may still report the time since they lost the previous one.
    if (clock_.now() - evidenceStart_ >= settings_.isolationLimit
        && cannotAssembleMajority(settings_.isolationLimit))
        return {Verdict::Failed, FailureReason::Isolated};
    if (isSlow()) {
        // Without an answer from another daemon a slow network path cannot be told from a slow
        // primary, so the replicas' contact must be late as well.
        const bool confirmed =
            peerConfirmsFailure()
                ? !peerReachesPrimary()
                : !peerReachesPrimary() && cannotAssembleMajority(settings_.slowLatencyThreshold);
        return {confirmed ? Verdict::Failed : Verdict::Suspected, FailureReason::Slow};
    }
    return {};
}

std::optional<bool> FailureDetector::isPrimaryReachable() const
{
    if (!primary_)
        return std::nullopt;
    if (hadGoodAnswer_ && hasRecentGoodAnswer())
        return !isSlow();
    const bool isUnreachable = consecutiveRefusals_ >= settings_.suspicionRefusalCount
                               || clock_.now() - lastGoodAnswerAt_ >= settings_.suspicionTimeout;
    return isUnreachable ? std::optional(false) : std::nullopt;
}

} // namespace pistachiowood
