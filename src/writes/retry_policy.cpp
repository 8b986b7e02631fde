#include "writes/retry_policy.h"

#include <algorithm>
#include <string>

namespace pistachiowood {

namespace {

constexpr std::int64_t tokensPerRetry = 1000;
constexpr std::uint32_t maxBackoffDoublings = 20;

/// Returns whether a later attempt may succeed; errors of the request itself would repeat.
bool isTransient(ErrorCode code)
{
    return code == ErrorCode::Unavailable || code == ErrorCode::DeadlineExceeded
           || code == ErrorCode::StateStale || code == ErrorCode::OutcomeUnknown;
}

/// Returns whether the refusal proves that nothing was executed and a later attempt may succeed.
bool isRetryable(EndpointRefusal refusal)
{
    switch (refusal) {
    case EndpointRefusal::StaleTerm:
    case EndpointRefusal::NewerTermRequired:
    case EndpointRefusal::NotPrimary:
    case EndpointRefusal::TooManyConnections:
        return true;
    default:
        return false;
    }
}

/// Returns whether the refusal proves that nothing was executed.
bool provesNotExecuted(EndpointRefusal refusal)
{
    return isRetryable(refusal) || refusal == EndpointRefusal::RefusedRequest
           || refusal == EndpointRefusal::TransactionLost;
}

bool mayRetry(const FailedAttempt &attempt)
{
    if (attempt.inTransaction)
        return false; // its earlier statements exist only on the connection that was lost
    if (provesNotExecuted(attempt.refusal) && !isRetryable(attempt.refusal))
        return false;
    const bool repeatable = attempt.kind == StatementKind::Read || attempt.idempotent;
    if (!repeatable && (attempt.mayHaveBeenSent || attempt.earlierOutcomeUnknown))
        return false;
    return isRetryable(attempt.refusal) || isTransient(attempt.error.code);
}

} // namespace

RetryBudget::RetryBudget(const RetryLimits &limits, const Clock &clock)
    : limits_(limits)
    , clock_(clock)
    , refilledAt_(clock.now())
{
    add(tokensPerRetry * limits_.minRetriesPerSecond);
}

void RetryBudget::recordRequest()
{
    add(tokensPerRetry * limits_.budgetPercent / 100);
}

bool RetryBudget::isAvailable() const
{
    return tokensNow() >= tokensPerRetry;
}

bool RetryBudget::take()
{
    if (!isAvailable())
        return false;
    add(-tokensPerRetry);
    return true;
}

std::int64_t RetryBudget::tokensNow() const
{
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(clock_.now() - refilledAt_);
    // A token is a thousandth of a retry, so retries per second equal tokens per millisecond.
    return std::min(tokens_ + elapsed.count() * limits_.minRetriesPerSecond,
                    tokensPerRetry * limits_.burst);
}

void RetryBudget::add(std::int64_t tokens)
{
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(clock_.now() - refilledAt_);
    tokens_ = std::min(tokensNow() + tokens, tokensPerRetry * limits_.burst);
    // Advances by whole milliseconds only, so the remainder counts in the next refill.
    refilledAt_ += elapsed;
}

Milliseconds drawBackoff(std::uint32_t retry, const RetryLimits &limits, RandomSource &random)
{
    const std::int64_t factor = std::int64_t{1} << std::min(retry, maxBackoffDoublings);
    const Milliseconds bound = std::min(limits.initialBackoff * factor, limits.maxBackoff);
    return random.delayUpTo(bound);
}

RetryDecision decideRetry(const FailedAttempt &attempt, Milliseconds backoff, bool budgetAvailable)
{
    std::string reason = attempt.error.message;
    if (mayRetry(attempt)) {
        if (budgetAvailable && backoff < attempt.remaining)
            return RetryAfterDelay{backoff};
        reason += budgetAvailable ? "; no time left to retry" : "; retry budget is used up";
    }
    if (attempt.earlierOutcomeUnknown
        || (attempt.mayHaveBeenSent && !provesNotExecuted(attempt.refusal)))
        return ReportOutcomeUnknown{{ErrorCode::OutcomeUnknown, std::move(reason)}};
    // A statement that was not executed must not be reported with OutcomeUnknown.
    const ErrorCode code = attempt.error.code == ErrorCode::OutcomeUnknown ? ErrorCode::Unavailable
                                                                           : attempt.error.code;
    return ReportNotRun{{code, std::move(reason)}};
}

} // namespace pistachiowood
