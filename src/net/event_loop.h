#ifndef PISTACHIOWOOD_NET_EVENT_LOOP_H
#define PISTACHIOWOOD_NET_EVENT_LOOP_H

#include <pistachiowood/clock.h>

#include <cstdint>
#include <functional>
#include <memory>

class ACE_Reactor;

namespace pistachiowood {

using TimerId = std::uint64_t;

/// Single-threaded event loop over an ACE reactor. post() and stop() may be called from any thread,
/// everything else only from the thread that runs the loop (or before it runs).
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Handles events until stop() is called, after which run() may be called again.
    void run();
    void stop();

    /// Runs the task in the loop's thread, after the current event.
    void post(std::function<void()> task);

    /// Runs the task once after the delay.
    TimerId startTimer(Milliseconds delay, std::function<void()> task);
    /// Has no effect on a timer that has already fired.
    void cancelTimer(TimerId timer);

    ACE_Reactor *reactor();

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
