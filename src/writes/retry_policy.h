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

struct RetryLimits
{
    std::uint32_t budgetPercent = 10; ///< retries per 100 requests
    std::uint32_t minimumPerSecond = 2; ///< lets a service with few requests retry at all
    std::uint32_t burst = 50; ///< retries that may be saved up
    Milliseconds firstBackoff{5};
    Milliseconds backoffCap{500};
};

/// Token bucket that limits retries to a share of the requests, so that a fault does not multiply
/// the load.
class RetryBudget
{
public:
    RetryBudget(const RetryLimits &limits, const Clock &clock);

    void recordRequest();
    bool isAvailable() const;
    /// Takes one retry; false when none is left.
    bool take();

private:
    std::int64_t tokensNow() const; ///< in thousandths of a retry
    void add(std::int64_t tokens);

    RetryLimits limits_;
    const Clock &clock_;
    std::int64_t tokens_ = 0;
    TimePoint refilledAt_;
};

/// Delay before the retry with this number (0 is the first): uniform between 0 and the doubled
/// and capped backoff.
Milliseconds drawBackoff(std::uint32_t retry, const RetryLimits &limits, RandomSource &random);

struct FailedAttempt
{
    StatementKind kind = StatementKind::Read;
    bool idempotent = false;
    bool inTransaction = false;
    bool mayBeSent = false; ///< a byte of the statement may have reached the endpoint
    bool earlierUnknown = false; ///< an earlier attempt may have been executed
    EndpointRefusal refusal = EndpointRefusal::None;
    Error error;
    Milliseconds remaining{0}; ///< until the caller's deadline
};

struct RetryNow
{
    Milliseconds after{0};
};
struct AnswerNotRun
{
    Error error;
};
struct AnswerUnknown
{
    Error error;
};
using RetryDecision = std::variant<RetryNow, AnswerNotRun, AnswerUnknown>;

/// Decides what follows a failed attempt. Takes no retry from a budget.
RetryDecision decideRetry(const FailedAttempt &attempt, Milliseconds backoff, bool budgetAvailable);

} // namespace pistachiowood

#endif
