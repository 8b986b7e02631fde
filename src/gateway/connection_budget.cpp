#include "gateway/connection_budget.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Connections of each endpoint that are not shared out, for status queries and restarting daemons.
constexpr unsigned reservedConnections = 2;
// Multiple of its share that a daemon may open, because the load balancer spreads callers unevenly.
constexpr std::size_t borrowFactor = 3;
// Time for which an endpoint may still count the connections of this daemon's previous process.
constexpr Milliseconds returnPeriod{3000};
// After a refusal a connection above the share is allowed for each of these periods.
constexpr Milliseconds borrowRecoveryPeriod{1000};
// Time after which a connection above the share is given back, so that a busy daemon does not keep
// others from theirs.
constexpr Milliseconds loanPeriod{1000};
// Time for which a returned connection is left to the others, longer than the first pause of a
// daemon below its share.
constexpr Milliseconds returnHoldBack{100};
// Pause after a refusal, doubled with each further one unless the daemon is below its share; about
// the time of a few statements.
constexpr Milliseconds refusalPause{40};
constexpr unsigned maxPauseShift = 3;
// Use is observed over two windows, so that idle connections outlast the gaps of a wave of callers.
constexpr Milliseconds peakWindow{2000};
// Idle times: within the recent use; above it; and if there are more daemons than connections.
// Endpoints close connections that are idle for 60 s.
constexpr Milliseconds usedIdleTimeout{30000};
constexpr Milliseconds spareIdleTimeout{1000};
constexpr Milliseconds minBorrowedIdleTimeout{20};
constexpr Milliseconds maxBorrowedIdleTimeout{300};
constexpr int idleTimeoutRecoveryDivisor = 10; // 100 ms more for each second without a refusal

} // namespace

ConnectionBudget::ConnectionBudget(RandomSource &random, TimePoint daemonStartedAt)
    : random_(random)
    , daemonStartedAt_(daemonStartedAt)
    , borrowedIdleTimeout_(maxBorrowedIdleTimeout)
    , lastRefusal_(daemonStartedAt)
{
}

void ConnectionBudget::setShare(unsigned maxConnections, unsigned daemonCount)
{
    const unsigned shared =
        maxConnections > reservedConnections ? maxConnections - reservedConnections : 1;
    guaranteed_ = shared / std::max(1U, daemonCount);
}

std::size_t ConnectionBudget::share() const
{
    return std::max<std::size_t>(guaranteed_, 1);
}

std::size_t ConnectionBudget::limit(TimePoint now) const
{
    if (now - daemonStartedAt_ < returnPeriod)
        return (share() + 1) / 2;
    const std::size_t maxBorrowed = share() * (borrowFactor - 1);
    const auto recovered = static_cast<std::size_t>((now - lastRefusal_) / borrowRecoveryPeriod);
    const auto heldBack = static_cast<std::size_t>(std::count_if(
        returns_.begin(), returns_.end(), [&](TimePoint at) { return now - at < returnHoldBack; }));
    const std::size_t borrowed = std::min(maxBorrowed, recovered);
    return share() + borrowed - std::min(borrowed, heldBack);
}

Milliseconds ConnectionBudget::borrowedIdleTimeout(TimePoint now) const
{
    const auto calm = std::chrono::duration_cast<Milliseconds>(now - lastRefusal_);
    return std::min(maxBorrowedIdleTimeout,
                    borrowedIdleTimeout_ + calm / idleTimeoutRecoveryDivisor);
}

Milliseconds ConnectionBudget::idleTimeout(std::size_t open, TimePoint now) const
{
    if (open > guaranteed_)
        return borrowedIdleTimeout(now);
    const std::size_t recentPeak = std::max({currentPeak_, previousPeak_, std::size_t{1}});
    return open > recentPeak ? spareIdleTimeout : usedIdleTimeout;
}

bool ConnectionBudget::isLoanOver(std::size_t open, TimePoint openedAt, TimePoint now) const
{
    return open > share() && now - openedAt >= loanPeriod;
}

void ConnectionBudget::recordReturned(TimePoint now)
{
    while (!returns_.empty() && now - returns_.front() >= returnHoldBack)
        returns_.pop_front();
    returns_.push_back(now);
}

void ConnectionBudget::recordInUse(std::size_t inUse, TimePoint now)
{
    if (now - windowStart_ >= peakWindow) {
        previousPeak_ = currentPeak_;
        currentPeak_ = 0;
        windowStart_ = now;
    }
    currentPeak_ = std::max(currentPeak_, inUse);
}

void ConnectionBudget::recordOpened()
{
    consecutiveRefusals_ = 0;
}

void ConnectionBudget::recordRefused(std::size_t open, TimePoint now)
{
    const unsigned refusals = std::min(consecutiveRefusals_++, maxPauseShift);
    const unsigned shift = open < guaranteed_ ? 0 : refusals;
    dialBlockedUntil_ = now + random_.delayAround(refusalPause * (1 << shift));
    borrowedIdleTimeout_ = std::max(minBorrowedIdleTimeout, borrowedIdleTimeout(now) / 2);
    lastRefusal_ = now;
}

} // namespace pistachiowood
