#include "statements/write_execution.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Waiting for a new primary costs the endpoints nothing, so it takes nothing from the retry budget.
constexpr Milliseconds statusPollInterval{20};
// A resolve must not use the whole remaining time on one silent primary.
constexpr int resolveShareDivisor = 2;
// A write may use two thirds of the time; the rest is for settling it through its request id.
constexpr int writeShareNumerator = 2;
constexpr int writeShareDenominator = 3;
// The owner's refusal at its deadline needs this time to arrive before ours, or a queued write
// would be reported as unknown; two crossings of the link between regions take 16 ms.
constexpr Milliseconds answerMargin{25};
constexpr Milliseconds shortestAttempt{50};

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
    , begun_(std::make_shared<std::optional<TransactionId>>())
    , deadline_(router.clock_.now() + request_.remaining)
{
    ++router_.running_;
    if (operation_ == AttemptOperation::Commit && request_.transaction)
        request_.requestId = RequestId(request_.transaction->value());
    const bool isOwnWrite = operation_ == AttemptOperation::Statement && !request_.transaction;
    if (isOwnWrite && request_.requestId.value().empty())
        request_.requestId = router_.drawRequestId();
    resolving_ = operation_ == AttemptOperation::Resolve;
}

void WriteExecution::start()
{
    router_.budgetOf(request_.service).recordRequest();
    router_.transport_.startTimer(request_.remaining,
                                  [self = shared_from_this()] { self->finishAtDeadline(); });
    step();
}

Milliseconds WriteExecution::remaining() const
{
    return std::chrono::duration_cast<Milliseconds>(deadline_ - router_.clock_.now());
}

void WriteExecution::step()
{
    if (done_)
        return;
    const auto routes = router_.findRoutes(request_.service);
    if (!routes) {
        finish(resolving_ || earlierUnknown_ ? Outcome::Unknown : Outcome::NotRun,
               Error{ErrorCode::NotFound,
                     "service \"" + request_.service.value() + "\" does not exist"});
        return;
    }
    const bool needsPrimary = !request_.transaction || resolving_;
    if (needsPrimary && !routes->findEndpoint(routes->primary)) {
        lastError_ = Error{ErrorCode::Unavailable, "the service has no primary"};
        router_.transport_.requestStatus(request_.service);
        retryLater(statusPollInterval);
        return;
    }
    if (needsPrimary && !resolving_ && !earlierUnknown_
        && router_.shouldFailFast(request_.service)) {
        finish(Outcome::NotRun,
               Error{ErrorCode::Unavailable, "the primary of the service cannot be reached"});
        return;
    }
    attempt(*routes);
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
    attempt.remaining = chooseAttemptTime();
    if (!resolving_)
        attempt.transaction = request_.transaction;
    return attempt;
}

Milliseconds WriteExecution::chooseAttemptTime() const
{
    const Milliseconds time = std::max(remaining() - answerMargin, remaining() / 2);
    if (resolving_)
        return std::max(time / resolveShareDivisor, shortestAttempt);
    return canResolve() ? time * writeShareNumerator / writeShareDenominator : time;
}

void WriteExecution::attempt(const ServiceRoutes &routes)
{
    const AttemptRequest attempt = buildAttempt(routes);
    outstanding_ = true;
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
    outstanding_ = false;
    // A silent primary shows only after the deadline; without this the next write would wait as
    // long.
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
        answer.state = AttemptState::Uncertain; // executed, but a majority may never hold it
    handleFailure(answer);
}

void WriteExecution::handleExecuted(const AttemptAnswer &answer)
{
    const bool isRefusedForGood = resolving_ && !answer.resolvedCommitted;
    if (isRefusedForGood && operation_ != AttemptOperation::Resolve) {
        finish(Outcome::NotRun,
               Error{ErrorCode::Unavailable,
                     "the request was not executed and is now refused for good"},
               &answer);
        return;
    }
    // For these the caller got what it asked for, so there is no error.
    if (isRefusedForGood || operation_ == AttemptOperation::Rollback) {
        finish(Outcome::NotRun, std::nullopt, &answer);
        return;
    }
    *begun_ = answer.transaction;
    finish(Outcome::Committed, std::nullopt, &answer);
}

// A statement outside a transaction or a commit can be settled through its request id.
bool WriteExecution::canResolve() const
{
    const bool isCommit = operation_ == AttemptOperation::Commit;
    return isCommit || (operation_ == AttemptOperation::Statement && !request_.transaction);
}

void WriteExecution::handleFailure(const AttemptAnswer &answer)
{
    lastError_ = answer.error;
    if (resolving_) {
        retryLater(drawBackoff(retries_++, router_.settings_.retries, router_.random_)
                   + Milliseconds(1));
        return;
    }
    // An earlier commit of this transaction may have been executed, whatever this attempt says.
    if (operation_ == AttemptOperation::Commit) {
        beginResolve(answer.error);
        return;
    }
    const FailedAttempt failed{
        .kind = StatementKind::Write,
        .idempotent = request_.idempotent,
        .inTransaction = request_.transaction.has_value(),
        .mayHaveBeenSent = answer.state == AttemptState::Uncertain,
        .earlierOutcomeUnknown = earlierUnknown_,
        .refusal = answer.refusal,
        .error = answer.error,
        .remaining = remaining(),
    };
    earlierUnknown_ = earlierUnknown_ || failed.mayHaveBeenSent;
    RetryBudget &budget = router_.budgetOf(request_.service);
    const auto backoff =
        drawBackoff(retries_++, router_.settings_.retries, router_.random_) + Milliseconds(1);
    const auto decision = decideRetry(failed, backoff, budget.isAvailable());
    if (const auto *retry = std::get_if<RetryAfterDelay>(&decision)) {
        budget.take();
        retryLater(retry->delay);
    } else if (const auto *unknown = std::get_if<ReportOutcomeUnknown>(&decision)) {
        if (canResolve())
            beginResolve(unknown->error);
        else
            finish(Outcome::Unknown, unknown->error);
    } else {
        finish(Outcome::NotRun, std::get<ReportNotRun>(decision).error);
    }
}

void WriteExecution::beginResolve(Error reason)
{
    resolving_ = true;
    earlierUnknown_ = true;
    lastError_ = std::move(reason);
    step();
}

void WriteExecution::retryLater(Milliseconds backoff)
{
    router_.transport_.startTimer(backoff, [self = shared_from_this()] { self->step(); });
}

void WriteExecution::finishAtDeadline()
{
    const bool open = outstanding_ || earlierUnknown_ || resolving_;
    const Error fallback{ErrorCode::DeadlineExceeded, "the deadline passed"};
    Error error = lastError_.value_or(fallback);
    if (open)
        error.code = ErrorCode::OutcomeUnknown;
    finish(open ? Outcome::Unknown : Outcome::NotRun, std::move(error));
}

void WriteExecution::finish(Outcome outcome, std::optional<Error> error,
                            const AttemptAnswer *attempt)
{
    if (std::exchange(done_, true))
        return;
    --router_.running_;
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
