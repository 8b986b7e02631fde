#ifndef LINK_RELAY_LINK_SCHEDULE_H
#define LINK_RELAY_LINK_SCHEDULE_H

#include <pistachiowood/clock.h>

#include <algorithm>
#include <cstdint>

namespace pistachiowood::relay {

/// One direction of a link, shared by all its connections: bytes pass one after the other at the
/// rate and arrive after the delay. Equals a token bucket without burst allowance.
class LinkSchedule
{
public:
    void setDelay(std::chrono::microseconds delay) { delay_ = delay; }
    /// 0 is unlimited.
    void setRate(double megabitsPerSecond) { megabitsPerSecond_ = megabitsPerSecond; }

    /// Returns the time at which bytes sent now have arrived.
    TimePoint admit(TimePoint now, std::size_t bytes)
    {
        free_ = std::max(now, free_);
        if (megabitsPerSecond_ > 0) {
            const std::chrono::duration<double, std::micro> transmission(static_cast<double>(bytes)
                                                                         * 8 / megabitsPerSecond_);
            free_ += std::chrono::duration_cast<TimePoint::duration>(transmission);
        }
        return free_ + delay_;
    }

private:
    std::chrono::microseconds delay_{0};
    double megabitsPerSecond_ = 0;
    TimePoint free_{};
};

} // namespace pistachiowood::relay

#endif
