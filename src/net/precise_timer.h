#ifndef PISTACHIOWOOD_NET_PRECISE_TIMER_H
#define PISTACHIOWOOD_NET_PRECISE_TIMER_H

#include "net/event_loop.h"

#include <functional>
#include <memory>

namespace pistachiowood {

/// Timer of a loop with microsecond accuracy; EventLoop::startTimer has a resolution of one
/// millisecond, which is longer than the delay between the zones of a region.
class PreciseTimer
{
public:
    PreciseTimer(EventLoop &loop, std::function<void()> callback);
    ~PreciseTimer();

    /// Replaces the time set before.
    void start(TimePoint time);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
