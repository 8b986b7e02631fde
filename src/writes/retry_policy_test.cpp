#include "writes/retry_policy.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(RetryPolicy)
{
    ManualClock clock;
    FailedAttempt write{.kind = StatementKind::Write,
                        .error = {ErrorCode::Unavailable, "connection refused"},
                        .remaining = 100ms};

    template <typename T>
    bool decides(const FailedAttempt &attempt, bool budget = true)
    {
        return std::holds_alternative<T>(decideRetry(attempt, 10ms, budget));
    }
};

// Guards against executing a write twice and against reporting "not run" for one that may have run.
TEST(RetryPolicy, nonIdempotentWriteIsNotSentAgain)
{
    CHECK_TRUE(decides<RetryAfterDelay>(write));
    write.mayHaveBeenSent = true;
    CHECK_TRUE(decides<ReportOutcomeUnknown>(write));
    for (const EndpointRefusal refusal :
         {EndpointRefusal::StaleTerm, EndpointRefusal::NewerTermRequired,
          EndpointRefusal::NotPrimary, EndpointRefusal::TooManyConnections,
          EndpointRefusal::RefusedRequest, EndpointRefusal::TransactionLost}) {
        write.refusal = refusal;
        CHECK_TRUE(decides<ReportNotRun>(write));
    }
}

// Guards against reporting "not run" after a refusal when an earlier attempt may have run.
TEST(RetryPolicy, earlierUnknownAttemptKeepsOutcomeUnknown)
{
    write.idempotent = true;
    write.mayHaveBeenSent = true;
    CHECK_TRUE(decides<RetryAfterDelay>(write));
    write.earlierOutcomeUnknown = true;
    write.refusal = EndpointRefusal::NotPrimary;
    CHECK_TRUE(decides<RetryAfterDelay>(write));
    CHECK_TRUE(decides<ReportOutcomeUnknown>(write, false));
}

// Guards against running a statement of a lost transaction outside that transaction.
TEST(RetryPolicy, statementInTransactionIsNotRetried)
{
    write.kind = StatementKind::Read;
    CHECK_TRUE(decides<RetryAfterDelay>(write));
    write.inTransaction = true;
    CHECK_TRUE(decides<ReportNotRun>(write));
}

// Guards against retries beyond the deadline or the budget, and after permanent errors.
TEST(RetryPolicy, retryNeedsTimeBudgetAndTransientError)
{
    CHECK_TRUE(decides<ReportNotRun>(write, false));
    write.remaining = 10ms;
    CHECK_TRUE(decides<ReportNotRun>(write));
    write.remaining = 100ms;
    write.error.code = ErrorCode::InvalidArgument;
    CHECK_TRUE(decides<ReportNotRun>(write));
    write.error.code = ErrorCode::Unavailable;
    write.idempotent = true;
    write.refusal = EndpointRefusal::RefusedRequest;
    CHECK_TRUE(decides<ReportNotRun>(write));
}

// Guards against retries that multiply the load, and against a budget that never refills.
TEST(RetryPolicy, budgetIsShareOfRequestsPlusMinimum)
{
    RetryBudget budget({.minRetriesPerSecond = 2, .burst = 20}, clock);
    const auto takeAll = [&] {
        int taken = 0;
        while (budget.take())
            ++taken;
        return taken;
    };
    LONGS_EQUAL(2, takeAll());
    for (int i = 0; i < 100; ++i)
        budget.recordRequest();
    LONGS_EQUAL(10, takeAll());
    clock.advance(1500ms);
    LONGS_EQUAL(3, takeAll());
    clock.advance(Milliseconds(3600000));
    LONGS_EQUAL(20, takeAll());
}

// Guards against synchronised retries and against unbounded delays.
TEST(RetryPolicy, backoffIsJitteredAndCapped)
{
    SeededRandom random(7);
    const RetryLimits limits{.initialBackoff = 8ms, .maxBackoff = 100ms};
    std::set<Milliseconds> first, late;
    for (int i = 0; i < 2000; ++i) {
        first.insert(drawBackoff(0, limits, random));
        late.insert(drawBackoff(40, limits, random));
    }
    CHECK_TRUE(*first.begin() == 0ms && *first.rbegin() == 8ms);
    CHECK_TRUE(*late.begin() == 0ms && *late.rbegin() == 100ms);
}
