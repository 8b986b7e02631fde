#ifndef PISTACHIOWOOD_GATEWAY_POSITION_HISTORY_H
#define PISTACHIOWOOD_GATEWAY_POSITION_HISTORY_H

#include <pistachiowood/clock.h>
#include <pistachiowood/log_position.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace pistachiowood {

/// Log positions that the primary of one service reported, by the time of the request: every commit
/// acknowledged before that time lies at or below the reported position. Samples must come from
/// requests that were sent while the endpoint was the primary of this epoch.
class PositionHistory
{
public:
    /// Clears the history if the epoch has changed, that is with each change of primary.
    void setPrimaryEpoch(std::uint64_t epoch);
    std::uint64_t primaryEpoch() const { return epoch_; }

    void record(TimePoint requestedAt, TermPosition position);

    /// Lowest known position that covers every commit acknowledged before the time.
    std::optional<TermPosition> positionCovering(TimePoint time) const;
    /// Time of the first sample beyond the position; nullopt if there is none. A replica at this
    /// position lags by the time since then.
    std::optional<TimePoint> reachedAt(TermPosition position) const;

    struct Sample
    {
        TimePoint requestedAt;
        TermPosition position;
    };
    std::optional<Sample> newestSample() const;

private:
    std::uint64_t epoch_ = 0;
    std::deque<Sample> samples_; ///< increasing in time and position
};

} // namespace pistachiowood

#endif
