#include "statements/read_execution.h"

#include "configuration/selector.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// While other endpoints remain, an attempt may use half of the remaining time, so that an endpoint
// that does not answer leaves time for the next one.
constexpr int attemptTimeDivisor = 2;
constexpr Milliseconds minAttemptTimeout{20};

} // namespace

ReadExecution::ReadExecution(StatementRouter &router, StatementRequest request,
                             StatementRouter::Callback callback)
    : router_(router)
    , request_(std::move(request))
    , callback_(std::move(callback))
    , deadline_(router.clock_.now() + request_.remaining)
{
    ++router_.runningStatements_;
}

void ReadExecution::start()
{
    router_.findOrCreateRetryBudget(request_.service).recordRequest();
    router_.transport_.startTimer(request_.remaining, [self = shared_from_this()] {
        self->finishNotRun(self->lastError_.value_or(
            Error{ErrorCode::DeadlineExceeded, "no endpoint answered before the deadline"}));
    });
    tryNextEndpoint();
}

Milliseconds ReadExecution::remaining() const
{
    return std::chrono::duration_cast<Milliseconds>(deadline_ - router_.clock_.now());
}

void ReadExecution::tryNextEndpoint()
{
    if (done_)
        return;
    const auto routes = router_.findRoutes(request_.service);
    if (!routes) {
        finishNotRun(
            {ErrorCode::NotFound, "service \"" + request_.service.value() + "\" does not exist"});
        return;
    }
    if (!buildRequirement(*routes))
        return;
    const auto endpoint = chooseEndpoint(*routes);
    if (!endpoint) {
        scheduleRetry();
        return;
    }
    sendAttempt(*routes, *endpoint);
}

// Sets requirement_. Returns false if the read was refused or a retry waits for newer status.
bool ReadExecution::buildRequirement(const ServiceRoutes &routes)
{
    requirement_.term = routes.term;
    const ReadPolicy *policy = routes.findReadPolicy(request_.sessionLabels);
    const Milliseconds defaultMaxAge =
        policy ? policy->defaultMaxAge : router_.settings_.defaultMaxAge;
    requirement_.maxAge = request_.maxAge.value_or(defaultMaxAge);
    if (!request_.session)
        return true;
    const auto required =
        capture([&] { return routes.history.requiredPosition(*request_.session); });
    if (const auto *position = std::get_if<LogPosition>(&required)) {
        requirement_.minPosition = *position;
        return true;
    }
    const Error &error = std::get<Error>(required);
    if (error.code == ErrorCode::StateStale) {
        lastError_ = error;
        router_.transport_.requestStatus(request_.service);
        scheduleRetry();
    } else {
        finishNotRun(error);
    }
    return false;
}

std::optional<EndpointId> ReadExecution::chooseEndpoint(const ServiceRoutes &routes) const
{
    const ReadPolicy *policy = routes.findReadPolicy(request_.sessionLabels);
    std::vector<ReadCandidate> candidates;
    for (const EndpointRoute &route : routes.endpoints) {
        const bool isPrimary = route.spec.id == routes.primary;
        const bool isAllowed = isPrimary || !policy || policy->endpoints.matches(route.spec.labels);
        if (isAllowed && !route.spec.leaving && !tried_.contains(route.spec.id))
            candidates.push_back({route.spec.id, route.spec.zone, route.spec.region, isPrimary});
    }
    const auto ranked = router_.readRouter_.rank(candidates, requirement_, router_.locality_);
    return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

void ReadExecution::sendAttempt(const ServiceRoutes &routes, const EndpointId &endpoint)
{
    const EndpointRoute *route = routes.findEndpoint(endpoint);
    tried_.insert(endpoint);
    const bool isLast = tried_.size() == routes.endpoints.size();
    AttemptRequest attempt;
    attempt.service = request_.service;
    attempt.endpoint = endpoint;
    attempt.term = routes.term;
    attempt.statement = request_.statement;
    attempt.fairnessKey = request_.fairnessKey;
    attempt.remaining =
        isLast ? remaining() : std::max(remaining() / attemptTimeDivisor, minAttemptTimeout);
    attempt.minPosition = requirement_.minPosition;
    attempt.maxAge = requirement_.maxAge;
    const bool fromPrimary = endpoint == routes.primary;
    router_.transport_.execute(
        *route, attempt, [self = shared_from_this(), endpoint, fromPrimary](AttemptAnswer answer) {
            self->handleAnswer(endpoint, fromPrimary, std::move(answer));
        });
}

void ReadExecution::handleAnswer(const EndpointId &endpoint, bool fromPrimary, AttemptAnswer answer)
{
    if (done_)
        return;
    if (answer.state != AttemptState::Executed) {
        lastError_ = answer.error;
        if (answer.refusal == EndpointRefusal::InvalidStatement) {
            finishNotRun(answer.error);
            return;
        }
        if (answer.error.code == ErrorCode::StateStale)
            router_.transport_.requestStatus(request_.service);
        else if (!fromPrimary)
            router_.readRouter_.recordFailure(endpoint);
        tryNextEndpoint();
        return;
    }
    router_.readRouter_.recordReport(endpoint, answer.report);
    // The requirement is checked against the snapshot that was read, which may be older than the
    // endpoint's position in the report.
    EndpointReport snapshot = answer.report;
    snapshot.position = answer.entryPosition;
    const AnswerVerdict verdict = checkReadAnswer(requirement_, snapshot);
    if (!fromPrimary)
        router_.readRouter_.recordVerdict(endpoint, verdict);
    if (verdict == AnswerVerdict::Deliver && answer.durable) {
        answer.report.role = fromPrimary ? EndpointRole::Primary : EndpointRole::Replica;
        deliver(endpoint, answer);
        return;
    }
    lastError_ =
        Error{ErrorCode::Unavailable, "no endpoint has data that is new enough for this read"};
    tryNextEndpoint();
}

void ReadExecution::scheduleRetry()
{
    if (done_)
        return;
    const auto backoff =
        drawBackoff(retries_++, router_.settings_.retries, router_.random_) + Milliseconds(1);
    if (!router_.findOrCreateRetryBudget(request_.service).take()) {
        finishNotRun(lastError_.value_or(Error{
            ErrorCode::Unavailable, "no endpoint is available; the retry budget is used up"}));
        return;
    }
    tried_.clear();
    router_.transport_.startTimer(backoff,
                                  [self = shared_from_this()] { self->tryNextEndpoint(); });
}

void ReadExecution::deliver(const EndpointId &endpoint, const AttemptAnswer &attempt)
{
    StatementAnswer answer;
    answer.outcome = Outcome::Committed;
    answer.result = attempt.result;
    answer.endpoint = endpoint;
    answer.fromReplica = attempt.report.role == EndpointRole::Replica;
    answer.age = attempt.report.age;
    answer.session = SessionToken{request_.service, attempt.report.term,
                                  std::max(attempt.entryPosition, requirement_.minPosition)};
    finish(std::move(answer));
}

void ReadExecution::finishNotRun(Error error)
{
    StatementAnswer answer;
    answer.outcome = Outcome::NotRun;
    answer.error = std::move(error);
    finish(std::move(answer));
}

void ReadExecution::finish(StatementAnswer answer)
{
    if (std::exchange(done_, true))
        return;
    --router_.runningStatements_;
    callback_(std::move(answer));
}

} // namespace pistachiowood
