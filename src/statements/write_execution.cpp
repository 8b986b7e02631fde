#include "statements/write_execution.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Interval of checks for a new primary. They cause no load on endpoints, so they take nothing from
// the retry budget.
constexpr Milliseconds primaryCheckInterval{20};
// A resolve attempt may use half of the remaining time, so that a primary that does not answer
// leaves time for another attempt.
constexpr int resolveTimeDivisor = 2;
// A write attempt may use two thirds of the remaining time; the rest is for resolving its outcome
// through the request id.
constexpr int writeTimeNumerator = 2;
constexpr int writeTimeDenominator = 3;
// The owner's deadline is earlier than the caller's by this margin, so that its refusal of a queued
// write arrives in time; otherwise the outcome would be reported as unknown. A round trip between
// regions takes 16 ms.
constexpr Milliseconds answerDelayMargin{25};
constexpr Milliseconds minResolveTimeout{50};

bool isUnreachable(const AttemptAnswer &answer)
{
    return answer.state == AttemptState::Uncertain
           || (answer.refusal == EndpointRefusal::None
               && answer.error.code == ErrorCode::Unavailable);
}

} // namespace

WriteExecution::WriteExecution(StatementRouter &router, AttemptOperation operation,
                               StatementRequest request, StatementRouter::Callback callback)
    : router_(router)
    , operation_(operation)
    , request_(std::move(request))
    , callback_(std::move(callback))
    , begunTransaction_(std::make_shared<std::optional<TransactionId>>())
    , deadline_(router.clock_.now() + request_.remaining)
{
    ++router_.runningStatements_;
    if (operation_ == AttemptOperation::Commit && request_.transaction)
        request_.requestId = RequestId(request_.transaction->value());
    const bool isOwnWrite = operation_ == AttemptOperation::Statement && !request_.transaction;
    if (isOwnWrite && request_.requestId.value().empty())
        request_.requestId = router_.generateRequestId();
    resolving_ = operation_ == AttemptOperation::Resolve;
}

void WriteExecution::start()
{
    router_.findOrCreateRetryBudget(request_.service).recordRequest();
    router_.transport_.startTimer(request_.remaining,
                                  [self = shared_from_this()] { self->finishAtDeadline(); });
    continueExecution();
}

Milliseconds WriteExecution::remaining() const
{
    return std::chrono::duration_cast<Milliseconds>(deadline_ - router_.clock_.now());
}

void WriteExecution::continueExecution()
{
    if (done_)
        return;
    const auto routes = router_.findRoutes(request_.service);
    if (!routes) {
        finish(resolving_ || mayHaveExecuted_ ? Outcome::Unknown : Outcome::NotRun,
               Error{ErrorCode::NotFound,
                     "service \"" + request_.service.value() + "\" does not exist"});
        return;
    }
    const bool needsPrimary = !request_.transaction || resolving_;
    if (needsPrimary && !routes->findEndpoint(routes->primary)) {
        lastError_ = Error{ErrorCode::Unavailable, "the service has no primary"};
        router_.transport_.requestStatus(request_.service);
        scheduleRetry(primaryCheckInterval);
        return;
    }
    if (needsPrimary && !resolving_ && !mayHaveExecuted_
        && router_.shouldFailFast(request_.service)) {
        finish(Outcome::NotRun,
               Error{ErrorCode::Unavailable, "the primary of the service cannot be reached"});
        return;
    }
    sendAttempt(*routes);
}

AttemptRequest WriteExecution::buildAttempt(const ServiceRoutes &routes) const
{
    AttemptRequest attempt;
    attempt.operation = resolving_ ? AttemptOperation::Resolve : operation_;
    attempt.service = request_.service;
    attempt.endpoint = routes.primary;
    attempt.term = routes.term;
    attempt.kind = request_.transaction ? request_.kind : StatementKind::Write;
    attempt.statement = request_.statement;
    attempt.requestId = request_.requestId;
    attempt.fairnessKey = request_.fairnessKey;
    attempt.remaining = computeAttemptTimeout();
    if (!resolving_)
        attempt.transaction = request_.transaction;
    return attempt;
}

Milliseconds WriteExecution::computeAttemptTimeout() const
{
    const Milliseconds time = std::max(remaining() - answerDelayMargin, remaining() / 2);
    if (resolving_)
        return std::max(time / resolveTimeDivisor, minResolveTimeout);
    return canResolve() ? time * writeTimeNumerator / writeTimeDenominator : time;
}

void WriteExecution::sendAttempt(const ServiceRoutes &routes)
{
    const AttemptRequest attempt = buildAttempt(routes);
    attemptPending_ = true;
    auto callback = [self = shared_from_this()](AttemptAnswer answer) {
        self->handleAnswer(std::move(answer));
    };
    if (attempt.transaction)
        router_.transport_.executeInTransaction(attempt, std::move(callback));
    else
        router_.transport_.execute(*routes.findEndpoint(routes.primary), attempt,
                                   std::move(callback));
}

void WriteExecution::handleAnswer(AttemptAnswer answer)
{
    attemptPending_ = false;
    // Also recorded after the deadline: an attempt that a primary leaves unanswered ends only then,
    // and the next write would otherwise wait until its own deadline.
    if (!request_.transaction)
        router_.recordPrimaryResult(request_.service, !isUnreachable(answer));
    if (done_)
        return;
    if (answer.error.code == ErrorCode::StateStale && answer.state != AttemptState::Executed)
        router_.transport_.requestStatus(request_.service);
    if (answer.state == AttemptState::Executed && answer.durable) {
        handleExecuted(answer);
        return;
    }
    if (answer.state == AttemptState::Executed)
        answer.state = AttemptState::Uncertain; // a failover may discard the entry
    handleFailure(answer);
}

void WriteExecution::handleExecuted(const AttemptAnswer &answer)
{
    const bool isRecordedAsRefused = resolving_ && !answer.resolvedCommitted;
    if (isRecordedAsRefused && operation_ != AttemptOperation::Resolve) {
        finish(Outcome::NotRun,
               Error{ErrorCode::Unavailable,
                     "the request was not executed and is now refused for good"},
               &answer);
        return;
    }
    // A rollback, or a resolve whose request was not executed, succeeded: there is no error.
    if (isRecordedAsRefused || operation_ == AttemptOperation::Rollback) {
        finish(Outcome::NotRun, std::nullopt, &answer);
        return;
    }
    *begunTransaction_ = answer.transaction;
    finish(Outcome::Committed, std::nullopt, &answer);
}

// The outcome of a commit, or of a statement outside a transaction, can be resolved through the
// request id.
bool WriteExecution::canResolve() const
{
    const bool isCommit = operation_ == AttemptOperation::Commit;
    return isCommit || (operation_ == AttemptOperation::Statement && !request_.transaction);
}

void WriteExecution::handleFailure(const AttemptAnswer &answer)
{
    lastError_ = answer.error;
    if (resolving_) {
        scheduleRetry(drawBackoff(retries_++, router_.settings_.retries, router_.random_)
                      + Milliseconds(1));
        return;
    }
    // An earlier commit of this transaction may have been executed, even if this attempt was not.
    if (operation_ == AttemptOperation::Commit) {
        startResolving(answer.error);
        return;
    }
    const FailedAttempt failed{
        .kind = StatementKind::Write,
        .idempotent = request_.idempotent,
        .inTransaction = request_.transaction.has_value(),
        .mayHaveBeenSent = answer.state == AttemptState::Uncertain,
        .earlierOutcomeUnknown = mayHaveExecuted_,
        .refusal = answer.refusal,
        .error = answer.error,
        .remaining = remaining(),
    };
    mayHaveExecuted_ = mayHaveExecuted_ || failed.mayHaveBeenSent;
    RetryBudget &budget = router_.findOrCreateRetryBudget(request_.service);
    const auto backoff =
        drawBackoff(retries_++, router_.settings_.retries, router_.random_) + Milliseconds(1);
    const auto decision = decideRetry(failed, backoff, budget.isAvailable());
    if (const auto *retry = std::get_if<RetryAfterDelay>(&decision)) {
        budget.take();
        scheduleRetry(retry->delay);
    } else if (const auto *unknown = std::get_if<ReportOutcomeUnknown>(&decision)) {
        if (canResolve())
            startResolving(unknown->error);
        else
            finish(Outcome::Unknown, unknown->error);
    } else {
        finish(Outcome::NotRun, std::get<ReportNotRun>(decision).error);
    }
}

void WriteExecution::startResolving(Error reason)
{
    resolving_ = true;
    mayHaveExecuted_ = true;
    lastError_ = std::move(reason);
    continueExecution();
}

void WriteExecution::scheduleRetry(Milliseconds backoff)
{
    router_.transport_.startTimer(backoff,
                                  [self = shared_from_this()] { self->continueExecution(); });
}

void WriteExecution::finishAtDeadline()
{
    const bool mayHaveExecuted = attemptPending_ || mayHaveExecuted_ || resolving_;
    const Error fallback{ErrorCode::DeadlineExceeded, "the deadline passed"};
    Error error = lastError_.value_or(fallback);
    if (mayHaveExecuted)
        error.code = ErrorCode::OutcomeUnknown;
    finish(mayHaveExecuted ? Outcome::Unknown : Outcome::NotRun, std::move(error));
}

void WriteExecution::finish(Outcome outcome, std::optional<Error> error,
                            const AttemptAnswer *attempt)
{
    if (std::exchange(done_, true))
        return;
    --router_.runningStatements_;
    StatementAnswer answer;
    answer.outcome = outcome;
    answer.error = std::move(error);
    answer.requestId = request_.requestId;
    if (attempt) {
        answer.result = attempt->result;
        answer.age = attempt->report.age;
        if (outcome == Outcome::Committed
            && (!request_.transaction || operation_ == AttemptOperation::Commit))
            answer.session =
                SessionToken{request_.service, attempt->report.term, attempt->entryPosition};
    }
    callback_(std::move(answer));
}

} // namespace pistachiowood
