#ifndef PISTACHIOWOOD_GATEWAY_ENDPOINT_WAIT_H
#define PISTACHIOWOOD_GATEWAY_ENDPOINT_WAIT_H

#include <pistachiowood/clock.h>

#include <optional>

namespace pistachiowood {

/// Situation of a statement for which no endpoint is available.
struct EndpointWaitSituation
{
    TimePoint now;
    TimePoint startedAt; ///< of the statement
    TimePoint endpointDeadline; ///< latest time to get an endpoint within the statement timeout
    Milliseconds targetLatency{0};
    unsigned attempts = 0; ///< attempts so far that found no endpoint
    bool endpointsTried = false; ///< some endpoint refused it since the last delayed attempt
    bool primaryKnown = false;
    bool replacementInProgress = false;
    bool primariesPermitted = false;
    TimePoint permissionExpiredAt; ///< meaningful only without a permission
    TimePoint firstViewAt; ///< when this daemon got its first view; it has had no permission before
};

/// Decides whether a statement waits for an endpoint. Returns the delay until the next attempt, or
/// nullopt if it is to be refused now. Performs no I/O.
///
/// Load patterns that it answers:
/// - A primary is replaced: its callers wait until the statement could not run in time any more.
/// - All daemons start together. Each gets its first permission within some hundred milliseconds;
///   a refusal would use up the callers' attempts, because the other daemons have none either.
/// - A daemon is cut off. Its permission does not return soon, and another daemon may serve the
///   caller, so the statement is refused at once.
/// - A replica lags. It may catch up, so a read waits, for a quarter of the target latency.
std::optional<Milliseconds> nextEndpointAttempt(const EndpointWaitSituation &situation);

} // namespace pistachiowood

#endif
