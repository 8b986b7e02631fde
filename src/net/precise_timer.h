#ifndef PISTACHIOWOOD_NET_PRECISE_TIMER_H
#define PISTACHIOWOOD_NET_PRECISE_TIMER_H

#include "net/event_loop.h"

#include <functional>
#include <memory>

namespace pistachiowood {

/// One-shot timer with microsecond accuracy. EventLoop::startTimer has a resolution of one
/// millisecond, which is coarser than the network delay between the zones of a region.
class PreciseTimer
{
public:
    PreciseTimer(EventLoop &loop, std::function<void()> callback);
    ~PreciseTimer();

    /// Calls back once at the given time, which replaces any earlier one that is still pending.
    void start(TimePoint time);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
