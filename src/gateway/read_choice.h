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
    Milliseconds connectDelay{0}; ///< expected time to open a connection; 0 if one is open
    std::size_t inUse = 0; ///< connections of this daemon in use
    std::size_t waiting = 0; ///< statements of this daemon that wait for a connection
    std::size_t limit = 1; ///< connections in this daemon's share
};

/// Returns the index of the usable, fresh candidate with the lowest cost: the expected time until
/// the reply plus a penalty in milliseconds for its distance and for the primary.
std::optional<std::size_t> chooseReadEndpoint(std::span<const EndpointCandidate> candidates);

/// Replication lag of one replica, as this daemon has observed it. Observations expire: a replica
/// without reads gives no new ones and would never be tried again. A read that a lagging replica
/// rejects is cheap, since it takes none of its slots.
class ReplicaLag
{
public:
    /// Records a position that the replica reported; `lag` is the time since the primary reached
    /// it.
    void recordPosition(TermPosition position, Milliseconds lag, TimePoint now);
    /// Records that the replica lacked the position that a read needed.
    void recordLagging(TimePoint now);
    /// Whether the replica is expected to hold the position that the primary reached `age` ago.
    bool expectedFresh(TermPosition position, Milliseconds age, TimePoint now) const;

private:
    std::optional<TermPosition> newestPosition_;
    double lagMs_ = 0;
    TimePoint lagObservedAt_{};
    unsigned consecutiveMisses_ = 0; ///< reads that the replica rejected as lagging
    TimePoint avoidUntil_{};
};

} // namespace pistachiowood

#endif
