#ifndef PISTACHIOWOOD_GATEWAY_READ_CHOICE_H
#define PISTACHIOWOOD_GATEWAY_READ_CHOICE_H

#include <pistachiowood/clock.h>
#include <pistachiowood/log_position.h>

#include <cstddef>
#include <optional>
#include <span>

namespace pistachiowood {

/// One endpoint that could answer a read.
struct EndpointCandidate
{
    bool usable = false; ///< reachable and not excluded
    bool primary = false;
    bool expectedFresh = false; ///< expected to hold the position that the read needs
    unsigned distance = 0; ///< 0 own zone, 1 own region, 2 another region
    Milliseconds latency{0}; ///< smoothed time from statement to reply
    std::size_t inUse = 0; ///< connections of this daemon in use
    std::size_t waiting = 0; ///< statements of this daemon that wait for a connection
    std::size_t limit = 1; ///< connections that this daemon may open
};

/// Index of the endpoint with the lowest expected cost: time until the reply plus the price of the
/// distance, expressed as time.
std::optional<std::size_t> chooseReadEndpoint(std::span<const EndpointCandidate> candidates);

/// What this daemon knows about how far one replica is behind. Knowledge that is old counts for
/// nothing: a replica without reads would never be tried again, and an attempt costs no slot.
class ReplicaLag
{
public:
    /// The replica reported a position; `lag` is the time since the primary reached it.
    void recordPosition(TermPosition position, Milliseconds lag, TimePoint now);
    /// The replica lacked a position that a read needed.
    void recordLagging(TimePoint now);
    /// Whether the replica is expected to hold the position that the primary reached `age` ago.
    bool expectedFresh(TermPosition position, Milliseconds age, TimePoint now) const;

private:
    std::optional<TermPosition> newest_;
    double lagMs_ = 0;
    TimePoint lagKnownAt_{};
    unsigned misses_ = 0; ///< consecutive reads for which the replica lagged
    TimePoint avoidUntil_{};
};

} // namespace pistachiowood

#endif
