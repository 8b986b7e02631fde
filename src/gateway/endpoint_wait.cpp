#include "gateway/endpoint_wait.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// First delay before another attempt to find an endpoint; about the time that one statement takes.
// It doubles, so that a lagging replica is not asked again every 25 ms.
constexpr Milliseconds initialRetryDelay{25};
constexpr unsigned maxRetryShift = 3;
// A permission that expired less than this long ago may be renewed in time for the caller.
constexpr Milliseconds permissionRenewalTimeout{250};
// Time in which a started daemon gets its first permission: it registers as a member and has its
// records confirmed.
constexpr Milliseconds firstPermissionTimeout{1500};
// Without an event that is known to come, the statement is refused after this part of its target.
constexpr int targetWaitDivisor = 4;

} // namespace

std::optional<Milliseconds> nextEndpointAttempt(const EndpointWaitSituation &situation)
{
    const TimePoint now = situation.now;
    const bool starting = situation.primaryKnown && !situation.primariesPermitted
                          && now - situation.firstViewAt < firstPermissionTimeout;
    const bool endsSoon = situation.replacementInProgress || starting;
    const bool cutOff = !situation.primariesPermitted
                        && now - situation.permissionExpiredAt > permissionRenewalTimeout;
    if (!endsSoon && cutOff && !situation.endpointsTried)
        return std::nullopt;
    const TimePoint limit =
        endsSoon ? situation.endpointDeadline
                 : std::min(situation.endpointDeadline,
                            situation.startedAt + situation.targetLatency / targetWaitDivisor);
    const Milliseconds delay =
        initialRetryDelay * (1 << std::min(situation.attempts, maxRetryShift));
    if (now + delay >= limit)
        return std::nullopt;
    return delay;
}

} // namespace pistachiowood
