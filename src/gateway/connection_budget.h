#ifndef PISTACHIOWOOD_GATEWAY_CONNECTION_BUDGET_H
#define PISTACHIOWOOD_GATEWAY_CONNECTION_BUDGET_H

#include "base/random.h"

#include <pistachiowood/clock.h>

#include <cstddef>
#include <deque>

namespace pistachiowood {

/// Decides how many connections to one endpoint this daemon may hold, and when it may dial again.
/// The endpoint counts the connections of all daemons and refuses those above its limit. Performs
/// no I/O.
///
/// Load patterns that it answers:
/// - All daemons restart at once. The endpoint counts the connections of their previous processes
///   for some seconds, so a restarted daemon opens only a part of its share at first; otherwise the
///   first daemons take all that is left. Idle connections beyond the recent use are closed in calm
///   times, which leaves room for such a return.
/// - Callers are spread unevenly, or a burst comes in. A daemon borrows above its share as long as
///   the endpoint accepts it. Each refusal takes the borrowed connections back at once; they are
///   allowed again one by one.
/// - Some daemons use the whole limit all the time, and others join or get callers later.
/// Connections
///   above the share are given back after a second of use; a daemon below its share dials again
///   after a short pause and gets them.
/// - Daemons outnumber the connections. None is kept for longer than a short idle time, which each
///   refusal halves and calm lengthens: where many daemons use an endpoint, connections return to
///   it sooner; where few do, they are used again.
class ConnectionBudget
{
public:
    ConnectionBudget(RandomSource &random, TimePoint daemonStartedAt);

    /// Sets the number of connections that the endpoint accepts from all daemons together.
    void setShare(unsigned maxConnections, unsigned daemonCount);

    /// Connections that the daemon may always use, at least 1.
    std::size_t share() const;
    /// Connections that may be open now.
    std::size_t limit(TimePoint now) const;
    /// Idle time after which a connection is closed if `open` connections are open.
    Milliseconds idleTimeout(std::size_t open, TimePoint now) const;

    /// Whether a connection opened at this time is to be closed after its current use, if `open`
    /// connections are open.
    bool isLoanOver(std::size_t open, TimePoint openedAt, TimePoint now) const;
    /// Records that a connection was closed for that reason. Another daemon gets time to open one
    /// in its place.
    void recordReturned(TimePoint now);

    /// Records the number of connections in use; called regularly.
    void recordInUse(std::size_t inUse, TimePoint now);
    void recordOpened();
    /// Records that the endpoint refused a connection because it has too many, while this daemon
    /// had `open` connections to it.
    void recordRefused(std::size_t open, TimePoint now);
    /// End of the pause after a refusal.
    TimePoint dialBlockedUntil() const { return dialBlockedUntil_; }

private:
    Milliseconds borrowedIdleTimeout(TimePoint now) const;

    RandomSource &random_;
    TimePoint daemonStartedAt_;
    std::size_t guaranteed_ = 1; ///< 0 if there are more daemons than connections
    std::deque<TimePoint> returns_; ///< of connections above the share, the latest ones
    Milliseconds borrowedIdleTimeout_; ///< at the last refusal
    TimePoint lastRefusal_; ///< the daemon's start if there was none
    TimePoint dialBlockedUntil_{};
    unsigned consecutiveRefusals_ = 0;
    std::size_t currentPeak_ = 0; ///< largest use in the current observation window
    std::size_t previousPeak_ = 0; ///< largest use in the window before
    TimePoint windowStart_{};
};

} // namespace pistachiowood

#endif
