#ifndef PISTACHIOWOOD_WRITES_RETRY_POLICY_H
#define PISTACHIOWOOD_WRITES_RETRY_POLICY_H

#include "base/random.h"
#include "endpoints/endpoint_refusal.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/statement.h>

#include <cstdint>
#include <optional>
#include <variant>

namespace pistachiowood {

/// Limits on the number of retries and on the delays between them.
struct RetryLimits
{
    std::uint32_t budgetPercent = 10; ///< retries per 100 requests
    std::uint32_t minRetriesPerSecond = 2; ///< lets services with few requests retry
    std::uint32_t burst = 50; ///< capacity of the budget in retries
    Milliseconds initialBackoff{5};
    Milliseconds maxBackoff{500};
};

/// Token bucket that limits retries to a share of the requests, so that retries after a fault do
/// not multiply the load.
class RetryBudget
{
public:
    RetryBudget(const RetryLimits &limits, const Clock &clock);

    void recordRequest();
    bool isAvailable() const;
    /// Takes one retry from the budget; returns false when none is left.
    bool take();

private:
    std::int64_t tokensNow() const; ///< in thousandths of a retry
    void add(std::int64_t tokens);

    RetryLimits limits_;
    const Clock &clock_;
    std::int64_t tokens_ = 0;
    TimePoint refilledAt_;
};

/// Returns a random delay before the retry with this number (0 is the first), uniform between 0 and
/// an upper bound that doubles with each retry up to maxBackoff.
Milliseconds drawBackoff(std::uint32_t retry, const RetryLimits &limits, RandomSource &random);

/// Attempt that failed, and what is known about its effects.
struct FailedAttempt
{
    StatementKind kind = StatementKind::Read;
    bool idempotent = false;
    bool inTransaction = false;
    bool mayHaveBeenSent = false; ///< a byte of the statement may have reached the endpoint
    bool earlierOutcomeUnknown = false; ///< an earlier attempt may have been executed
    EndpointRefusal refusal = EndpointRefusal::None;
    Error error;
    Milliseconds remaining{0}; ///< until the caller's deadline
};

/// The statement is sent again.
struct RetryAfterDelay
{
    Milliseconds delay{0};
};

/// The caller is told that the statement was not executed.
struct ReportNotRun
{
    Error error;
};

/// The caller is told that the statement may have been executed.
struct ReportOutcomeUnknown
{
    Error error;
};

using RetryDecision = std::variant<RetryAfterDelay, ReportNotRun, ReportOutcomeUnknown>;

/// Decides whether to retry a failed attempt or which outcome to report. The caller takes the retry
/// from the budget.
RetryDecision decideRetry(const FailedAttempt &attempt, Milliseconds backoff, bool budgetAvailable);

} // namespace pistachiowood

#endif
