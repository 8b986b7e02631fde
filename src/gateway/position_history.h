#ifndef PISTACHIOWOOD_GATEWAY_POSITION_HISTORY_H
#define PISTACHIOWOOD_GATEWAY_POSITION_HISTORY_H

#include <pistachiowood/clock.h>
#include <pistachiowood/log_position.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace pistachiowood {

/// Positions that the primary of one service reported, by the time at which the report was asked
/// for: every commit acknowledged before that time lies at or below the position.
class PositionHistory
{
public:
    /// Forgets everything when the primary has changed.
    void setPrimaryEpoch(std::uint64_t epoch);
    std::uint64_t primaryEpoch() const { return epoch_; }

    void record(TimePoint askedAt, TermPosition position);

    /// Lowest known position that holds every commit acknowledged up to the time.
    std::optional<TermPosition> positionCovering(TimePoint time) const;
    /// Time at which the primary was first known to have reached the position; a replica that has
    /// just reached it lags by the time since.
    std::optional<TimePoint> reachedAt(TermPosition position) const;

    struct Sample
    {
        TimePoint askedAt;
        TermPosition position;
    };
    std::optional<Sample> newestSample() const;

private:
    std::uint64_t epoch_ = 0;
    std::deque<Sample> samples_; ///< increasing in time and position
};

} // namespace pistachiowood

#endif
