#ifndef PISTACHIOWOOD_CLOCK_H
#define PISTACHIOWOOD_CLOCK_H

#include <chrono>
#include <ctime>

namespace pistachiowood {

using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Source of monotonic time. Decision logic never reads the system clock directly.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// Reads std::chrono::steady_clock, which stops while the VM is suspended.
class SteadyClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/// Monotonic clock that also counts the time during which the VM is suspended. Leases and
/// permissions are measured with it, because other daemons consider them expired although this VM
/// was suspended.
class BootClock final : public Clock
{
public:
    TimePoint now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec)
                         + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Clock for tests; its time changes only through advance().
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return now_; }
    void advance(Milliseconds step) { now_ += step; }

private:
    TimePoint now_{std::chrono::hours(1)};
};

} // namespace pistachiowood

#endif
