#include "gateway/read_choice.h"

#include <algorithm>
#include <array>

namespace pistachiowood {

namespace {

// Penalty by distance: a read goes to a farther endpoint only if that saves more time than this.
// Bytes between regions are billed and share 30 Mbit/s.
constexpr std::array<double, 3> distanceCostMs{0, 12, 80};
// Penalty of the primary: keeps its slots for writes while a replica is about as fast.
constexpr double primaryCostMs = 20;
constexpr double lagWeight = 0.2; // of a new sample in the exponential moving average
// Time for which a replica gets no reads after it lagged, doubled with each further miss up to 800
// ms.
constexpr Milliseconds lagBackoff{50};
constexpr unsigned maxLagBackoffShift = 4;
// Age at which an observed lag expires; replicas catch up within some hundred milliseconds.
constexpr Milliseconds lagMaxAge{500};

double expectedCost(const EndpointCandidate &candidate)
{
    const double queue = static_cast<double>(candidate.inUse + candidate.waiting)
                         / static_cast<double>(std::max<std::size_t>(candidate.limit, 1));
    const double latency = static_cast<double>(candidate.latency.count()) * (1 + queue);
    const auto distance = std::min<std::size_t>(candidate.distance, distanceCostMs.size() - 1);
    return latency + static_cast<double>(candidate.connectDelay.count())
           + distanceCostMs.at(distance) + (candidate.primary ? primaryCostMs : 0);
}

} // namespace

std::optional<std::size_t> chooseReadEndpoint(std::span<const EndpointCandidate> candidates)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EndpointCandidate &candidate = candidates[i];
        if (!candidate.usable || !candidate.expectedFresh)
            continue;
        const double cost = expectedCost(candidate);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

void ReplicaLag::recordPosition(TermPosition position, Milliseconds lag, TimePoint now)
{
    newestPosition_ = newestPosition_ ? std::max(*newestPosition_, position) : position;
    lagMs_ += lagWeight * (static_cast<double>(lag.count()) - lagMs_);
    lagObservedAt_ = now;
    consecutiveMisses_ = 0;
}

void ReplicaLag::recordLagging(TimePoint now)
{
    const unsigned shift = std::min(consecutiveMisses_++, maxLagBackoffShift);
    avoidUntil_ = now + lagBackoff * (1 << shift);
}

bool ReplicaLag::expectedFresh(TermPosition position, Milliseconds age, TimePoint now) const
{
    if (newestPosition_ && *newestPosition_ >= position)
        return true;
    if (now < avoidUntil_)
        return false;
    if (now - lagObservedAt_ > lagMaxAge)
        return true;
    return static_cast<double>(age.count()) >= lagMs_;
}

} // namespace pistachiowood
