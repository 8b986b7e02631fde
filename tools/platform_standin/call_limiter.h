#ifndef PLATFORM_STANDIN_CALL_LIMITER_H
#define PLATFORM_STANDIN_CALL_LIMITER_H

#include <pistachiowood/clock.h>

#include <algorithm>

namespace pistachiowood::platform {

/// Token bucket that holds at most one second's calls.
class CallLimiter
{
public:
    CallLimiter(double callsPerSecond, TimePoint now)
        : rate_(callsPerSecond)
        , tokens_(callsPerSecond)
        , updated_(now)
    {
    }

    bool admit(TimePoint now)
    {
        const std::chrono::duration<double> elapsed = now - updated_;
        updated_ = now;
        tokens_ = std::min(rate_, tokens_ + elapsed.count() * rate_);
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double rate_;
    double tokens_;
    TimePoint updated_;
};

} // namespace pistachiowood::platform

#endif
