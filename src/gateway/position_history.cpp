#include "gateway/position_history.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Samples closer together than this are merged; a maximum staleness is at least a hundred times
// longer.
constexpr Milliseconds minSampleInterval{10};
constexpr std::size_t maxSamples = 1024; // 10 s, longer than every maximum staleness in use

} // namespace

void PositionHistory::setPrimaryEpoch(std::uint64_t epoch)
{
    if (epoch == epoch_)
        return;
    epoch_ = epoch;
    samples_.clear();
}

void PositionHistory::record(TimePoint requestedAt, TermPosition position)
{
    if (samples_.empty()) {
        samples_.push_back({requestedAt, position});
        return;
    }
    // Replies can arrive out of order. The samples stay sorted by time and by position.
    auto place = std::upper_bound(
        samples_.begin(), samples_.end(), requestedAt,
        [](TimePoint time, const Sample &sample) { return time < sample.requestedAt; });
    if (place != samples_.begin() && std::prev(place)->position >= position)
        position = std::prev(place)->position;
    if (place != samples_.end() && place->position <= position)
        return; // a later request saw no newer position, so this sample adds nothing
    if (place != samples_.begin() && place == samples_.end() && samples_.size() > 1
        && requestedAt - std::prev(place)->requestedAt < minSampleInterval
        && requestedAt - std::prev(place, 2)->requestedAt < minSampleInterval) {
        samples_.back() = {requestedAt, position};
        return;
    }
    samples_.insert(place, {requestedAt, position});
    if (samples_.size() > maxSamples)
        samples_.pop_front();
}

std::optional<TermPosition> PositionHistory::positionCovering(TimePoint time) const
{
    const auto place = std::lower_bound(
        samples_.begin(), samples_.end(), time,
        [](const Sample &sample, TimePoint wanted) { return sample.requestedAt < wanted; });
    if (place == samples_.end())
        return std::nullopt;
    return place->position;
}

std::optional<TimePoint> PositionHistory::reachedAt(TermPosition position) const
{
    const auto place = std::upper_bound(
        samples_.begin(), samples_.end(), position,
        [](TermPosition wanted, const Sample &sample) { return wanted < sample.position; });
    if (place == samples_.end())
        return std::nullopt; // no newer position is known
    return place->requestedAt;
}

std::optional<PositionHistory::Sample> PositionHistory::newestSample() const
{
    if (samples_.empty())
        return std::nullopt;
    return samples_.back();
}

} // namespace pistachiowood
