#include "net/precise_timer.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>

namespace pistachiowood {

struct PreciseTimer::Private : public ACE_Event_Handler
{
    Private(ACE_Reactor *eventReactor, std::function<void()> task)
        : reactorOfLoop(eventReactor)
        , callback(std::move(task))
        , handle(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
    {
        reactorOfLoop->register_handler(this, READ_MASK);
    }

    ~Private() override
    {
        reactorOfLoop->remove_handler(this, READ_MASK | DONT_CALL);
        ::close(handle);
    }

    ACE_HANDLE get_handle() const override { return handle; }

    int handle_input(ACE_HANDLE) override
    {
        std::uint64_t expirations = 0;
        if (::read(handle, &expirations, sizeof expirations) > 0)
            callback();
        return 0;
    }

    ACE_Reactor *reactorOfLoop;
    std::function<void()> callback;
    ACE_HANDLE handle;
};

PreciseTimer::PreciseTimer(EventLoop &loop, std::function<void()> callback)
    : private_(std::make_unique<Private>(loop.reactor(), std::move(callback)))
{
}

PreciseTimer::~PreciseTimer() = default;

void PreciseTimer::start(TimePoint time)
{
    // An expiry time of 0 would disarm the timer.
    const std::int64_t nanoseconds =
        std::max<std::int64_t>(1, std::chrono::nanoseconds(time.time_since_epoch()).count());
    itimerspec spec{};
    spec.it_value.tv_sec = nanoseconds / 1'000'000'000;
    spec.it_value.tv_nsec = nanoseconds % 1'000'000'000;
    timerfd_settime(private_->handle, TFD_TIMER_ABSTIME, &spec, nullptr);
}

} // namespace pistachiowood
