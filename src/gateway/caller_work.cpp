// Execution of statements at endpoints: endpoint choice, pooled connection, retries and timeouts.
#include "gateway/caller_session.h"

#include "base/log.h"
#include "gateway/endpoint_wait.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pistachiowood {

namespace {

// Share of the statement timeout that may be spent waiting for an endpoint; the rest is left for
// the execution.
constexpr int endpointWaitShareNumerator = 3;
constexpr int endpointWaitShareDenominator = 4;
// Delay before a statement that the primary refused is sent again; about the time that one takes.
constexpr Milliseconds primaryRetryDelay{25};
// Delay of a read that waits for the primary's first position; it is resumed at once when the
// position arrives.
constexpr Milliseconds positionRetryDelay{50};
// Least time to wait for a renewal of the permission after a commit; a renewal takes two exchanges
// at most.
constexpr Milliseconds minConfirmationTimeout{1000};

// Part of the target latency for which an operation may wait for an allotment.
constexpr int admissionWaitDivisor = 4;

// Whether an endpoint that replies with this code has not executed the statement.
bool guaranteesNotExecuted(ReplyCode code)
{
    switch (code) {
    case ReplyCode::Busy:
    case ReplyCode::Lagging:
    case ReplyCode::ReadOnly:
    case ReplyCode::NoStatement:
        return true;
    default:
        return false;
    }
}

// Whether a caller takes this code as a promise that its statement had no effect.
bool promisesNoEffect(ReplyCode code)
{
    return code <= ReplyCode::TooManyConnections;
}

// What the execution waited for when its statement failed.
std::string_view describeStage(int stage)
{
    static constexpr std::array<std::string_view, 6> names{"endpoint", "connection", "set-up",
                                                           "answer",   "permission", "admission"};
    return names.at(static_cast<std::size_t>(stage));
}

} // namespace

void CallerSession::startEndpointStatement(SessionStatement statement)
{
    if (statement.verb == Verb::Commit && (transactionFailed_ || !transaction_)) {
        const bool wasOpen = transactionFailed_;
        endTransaction();
        if (wasOpen)
            replyLocally(ReplyCode::Aborted, "the transaction was rolled back");
        else
            replyLocally(ReplyCode::Malformed, "no transaction is open");
        return;
    }
    if (transactionFailed_) {
        replyLocally(ReplyCode::Malformed, "the transaction has failed; end it first");
        return;
    }
    Execution execution;
    if (statement.verb == Verb::Execute) {
        const auto found = prepared_.find(statement.name);
        if (found == prepared_.end()) {
            transactionFailed_ = transaction_.has_value();
            releaseConnection();
            replyLocally(ReplyCode::NoStatement, "no prepared statement has this name");
            return;
        }
        execution.prepared = found->second;
    }
    if (!transaction_ && !refreshRoute()) {
        replyLocally(ReplyCode::NoDatabase, "the database no longer exists");
        return;
    }
    execution.writes = statement.verb == Verb::Write
                       || (statement.verb == Verb::Execute && execution.prepared.writes);
    execution.statement = std::move(statement);
    execution.startedAt = context_.clock().now();
    execution.endpointDeadline =
        execution.startedAt
        + route_.statementTimeout * endpointWaitShareNumerator / endpointWaitShareDenominator;
    execution.timer =
        context_.loop().startTimer(route_.statementTimeout, [this] { handleTimeout(); });
    execution_ = std::move(execution);
    if (transaction_ && transaction_->broken) {
        failStatement(ReplyCode::Aborted, "the connection to the endpoint was lost");
        return;
    }
    if (transaction_ && transaction_->readOnly && execution_->writes) {
        failStatement(ReplyCode::ReadOnly, "the transaction only reads");
        return;
    }
    admitOperation();
}

// Counts the operation against the limit of its customer: a statement, or a transaction at its
// first statement for an endpoint. Further attempts at other endpoints do not count again.
void CallerSession::admitOperation()
{
    if (!customer_ || (transaction_ && transaction_->admitted)) {
        dispatch();
        return;
    }
    const auto [verdict, ticket] =
        context_.admission().request(*customer_, route_.targetLatency / admissionWaitDivisor,
                                     [this](bool admitted) { handleAdmission(admitted); });
    if (verdict == AdmissionVerdict::Wait) {
        execution_->stage = Stage::WaitingForAdmission;
        execution_->admission = ticket;
    } else {
        handleAdmission(verdict == AdmissionVerdict::Admit);
    }
}

void CallerSession::handleAdmission(bool admitted)
{
    execution_->admission = 0;
    execution_->stage = Stage::WaitingForEndpoint;
    if (!admitted) {
        refuseOperation();
        return;
    }
    if (transaction_)
        transaction_->admitted = true;
    dispatch();
}

void CallerSession::refuseOperation()
{
    context_.admission().logRefusal(execution_->statement.id, *customer_);
    failStatement(ReplyCode::Busy, "the customer is at its limit");
}

bool CallerSession::needsPrimary() const
{
    if (route_.consistency == Consistency::Primary || execution_->writes)
        return true;
    return transaction_ && !transaction_->readOnly;
}

void CallerSession::dispatch()
{
    if (connection_) { // a transaction runs on one connection
        startSetup();
        return;
    }
    if (transaction_ && transaction_->opened) {
        // On another connection the statement would run outside the transaction.
        failStatement(ReplyCode::Aborted, "the connection to the endpoint was lost");
        return;
    }
    if (!needsPrimary() && context_.awaitPosition(route_.service)) {
        retryLater(positionRetryDelay);
        return;
    }
    const TimePoint now = context_.clock().now();
    const EndpointRequirements requirements{
        route_, transaction_ ? transaction_->startedAt : execution_->startedAt, lastCommit_,
        execution_->excluded, customer_};
    const auto choice = needsPrimary() ? choosePrimary(context_, requirements)
                                       : chooseForRead(context_, requirements);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - execution_->startedAt);
    if (!choice)
        waitForEndpoint();
    else if (needsPrimary() && isUnresponsive(*choice, now))
        failStatement(ReplyCode::Busy, "the primary is out of reach of this daemon");
    else if (exceedsTargetLatency(*choice, route_, customer_, elapsed))
        failStatement(ReplyCode::Busy, "the endpoint has too much work to meet the target latency");
    else
        acquireConnection(*choice);
}

void CallerSession::acquireConnection(const EndpointChoice &choice)
{
    execution_->target = choice;
    execution_->stage = Stage::WaitingForConnection;
    execution_->requestId = choice.pool->acquire(*this, {.variables = variables_,
                                                         .priority = route_.priority,
                                                         .deadline = execution_->endpointDeadline,
                                                         .movable = !needsPrimary(),
                                                         .customer = customer_});
}

void CallerSession::waitForEndpoint()
{
    const ServiceView *service = context_.findService(route_.service);
    const auto delay =
        nextEndpointAttempt({.now = context_.clock().now(),
                             .startedAt = execution_->startedAt,
                             .endpointDeadline = execution_->endpointDeadline,
                             .targetLatency = route_.targetLatency,
                             .attempts = execution_->endpointWaits++,
                             .endpointsTried = !execution_->excluded.empty(),
                             .primaryKnown = service && service->primary,
                             .replacementInProgress = service && service->replacementInProgress,
                             .primariesPermitted = context_.primariesPermitted(),
                             .permissionExpiredAt = context_.permissionExpiredAt(),
                             .firstViewAt = context_.firstViewAt()});
    if (delay)
        retryLater(*delay);
    else
        failStatement(ReplyCode::Busy, "no endpoint can run the statement now");
}

void CallerSession::retryLater(Milliseconds delay)
{
    execution_->stage = Stage::WaitingForEndpoint;
    context_.loop().cancelTimer(execution_->retryTimer);
    execution_->retryTimer = context_.loop().startTimer(delay, [this] {
        if (!execution_ || execution_->stage != Stage::WaitingForEndpoint)
            return;
        execution_->excluded.clear();
        dispatch();
    });
}

void CallerSession::handleViewChanged()
{
    if (!execution_)
        return;
    if (execution_->stage == Stage::Confirming)
        confirmWrite();
    else if (execution_->stage == Stage::WaitingForEndpoint)
        dispatch();
}

void CallerSession::handleConnectionGranted(PooledConnection &connection)
{
    execution_->requestId = 0;
    connection_ = &connection;
    // The primary may have changed or the permission expired while the statement waited.
    const ServiceView *service = context_.findService(route_.service);
    if (!service || service->primaryEpoch != execution_->target.primaryEpoch
        || (execution_->target.needsPrimaryPermission() && !context_.primariesPermitted())) {
        releaseConnection();
        dispatch();
        return;
    }
    startSetup();
}

void CallerSession::handleConnectionRefused(ConnectionFailure failure)
{
    execution_->requestId = 0;
    execution_->excluded.insert(execution_->target.endpoint);
    const TimePoint now = context_.clock().now();
    if (now >= execution_->endpointDeadline) {
        failStatement(ReplyCode::Busy, failure == ConnectionFailure::Refused
                                           ? "the endpoint has no connection free"
                                           : "the endpoint is not reachable");
        return;
    }
    dispatch();
}

void CallerSession::startSetup()
{
    execution_->stage = Stage::SettingUp;
    execution_->setupFailure.reset();
    const bool execute = execution_->statement.verb == Verb::Execute;
    const bool opened = transaction_ && transaction_->opened;
    execution_->setup = planSessionSetup(connection_->sessionState, variables_,
                                         execute ? &execution_->prepared : nullptr, opened);
    auto &statements = execution_->setup.statements;
    if (transaction_ && !opened) {
        const Verb verb = transaction_->readOnly ? Verb::BeginReadOnly : Verb::Begin;
        statements.push_back({.verb = verb, .minPosition = execution_->target.minPosition});
    }
    execution_->pendingSetupReplies = statements.size();
    if (statements.empty()) {
        sendStatement();
        return;
    }
    for (const SessionStatement &statement : statements)
        connection_->send(statement);
}

void CallerSession::finishSetup()
{
    if (execution_->setupFailure) {
        const ReplyCode code = *execution_->setupFailure;
        // After a partly failed set-up the session state of the connection is unknown.
        const bool onlyBeginFailed =
            execution_->setup.statements.size() == 1 && transaction_ && !transaction_->opened;
        if (onlyBeginFailed)
            releaseConnection();
        else
            discardConnection();
        if (transaction_ && transaction_->opened)
            failStatement(ReplyCode::Aborted, "the endpoint refused the session state");
        else
            retryStatement(code);
        return;
    }
    connection_->sessionState = execution_->setup.result;
    if (transaction_ && !transaction_->opened) {
        transaction_->opened = true;
        transaction_->primaryEpoch = execution_->target.primaryEpoch;
    }
    sendStatement();
}

void CallerSession::sendStatement()
{
    SessionStatement statement = execution_->statement;
    if (statement.verb == Verb::Execute)
        statement.name = execution_->setup.preparedName;
    if (!transaction_)
        statement.minPosition = execution_->target.minPosition;
    execution_->stage = Stage::Sent;
    if (transaction_ && execution_->writes)
        transaction_->wrote = true;
    connection_->send(statement);
}

void CallerSession::handleReply(StatementReply reply)
{
    if (!execution_
        || (execution_->stage != Stage::SettingUp && execution_->stage != Stage::Sent)) {
        discardConnection();
        return;
    }
    if (execution_->stage == Stage::SettingUp) {
        if (reply.failure && !execution_->setupFailure)
            execution_->setupFailure = reply.failure;
        if (--execution_->pendingSetupReplies == 0)
            finishSetup();
        return;
    }
    handleStatementReply(std::move(reply));
}

bool CallerSession::mayHaveWritten() const
{
    if (execution_->stage != Stage::Sent && execution_->stage != Stage::Confirming)
        return false;
    if (transaction_)
        return execution_->statement.verb == Verb::Commit && transaction_->wrote;
    return execution_->writes;
}

void CallerSession::handleStatementReply(StatementReply reply)
{
    if (reply.succeeded()) {
        handleSuccess(std::move(reply));
        return;
    }
    const ReplyCode code = *reply.failure;
    if (transaction_) {
        const bool committing = execution_->statement.verb == Verb::Commit;
        if (code == ReplyCode::NoStatement)
            connection_->sessionState = {};
        // The commit may have been executed, so the outcome of the transaction is unknown.
        if (committing && transaction_->wrote && !guaranteesNotExecuted(code)) {
            failStatement(ReplyCode::Unknown, "the endpoint did not confirm the commit");
            return;
        }
        failStatement(guaranteesNotExecuted(code) && code != ReplyCode::NoStatement
                          ? code
                          : ReplyCode::Aborted,
                      reply.message);
        return;
    }
    if (code == ReplyCode::NoStatement)
        connection_->sessionState.prepared.clear();
    if (guaranteesNotExecuted(code)) {
        releaseConnection();
        retryStatement(code);
        return;
    }
    if (!execution_->writes && context_.clock().now() < execution_->endpointDeadline) {
        releaseConnection();
        retryStatement(code); // a read may run again at another endpoint
        return;
    }
    releaseConnection();
    if (execution_->writes && promisesNoEffect(code)) {
        failStatement(ReplyCode::Unknown, "the endpoint did not say whether the write ran");
        return;
    }
    reply.phase = SessionPhase::Idle;
    finishStatement(std::move(reply));
}

// Retries a statement that was not executed or only reads, or fails it past its deadline.
void CallerSession::retryStatement(ReplyCode code)
{
    const TimePoint now = context_.clock().now();
    const EndpointId endpoint = execution_->target.endpoint;
    if (code == ReplyCode::Lagging)
        context_.replicaLag(endpoint).recordLagging(now);
    if (now >= execution_->endpointDeadline) {
        failStatement(
            guaranteesNotExecuted(code) && code != ReplyCode::NoStatement ? code : ReplyCode::Busy,
            "no endpoint ran the statement in time");
        return;
    }
    if (code == ReplyCode::NoStatement) {
        dispatch();
        return;
    }
    execution_->excluded.insert(endpoint);
    if (needsPrimary())
        retryLater(primaryRetryDelay);
    else
        dispatch();
}

void CallerSession::handleSuccess(StatementReply reply)
{
    const bool committing = execution_->statement.verb == Verb::Commit;
    const bool wrote = transaction_ ? (committing && transaction_->wrote) : execution_->writes;
    if (wrote) {
        if (reply.position) {
            lastCommit_ = LastCommit{transaction_ ? transaction_->primaryEpoch
                                                  : execution_->target.primaryEpoch,
                                     *reply.position, context_.clock().now()};
        }
        if (!transaction_)
            releaseConnection();
        execution_->unconfirmedReply = std::move(reply);
        execution_->stage = Stage::Confirming;
        if (!confirmWrite())
            extendTimer(minConfirmationTimeout);
        return;
    }
    if (!transaction_ || committing)
        releaseConnection();
    finishStatement(std::move(reply));
}

// Replies to a committed write once its outcome is certain: acknowledged while the daemon holds the
// permission to use the same primary, unknown if the primary was replaced. Returns false while the
// permission is missing.
bool CallerSession::confirmWrite()
{
    const ServiceView *service = context_.findService(route_.service);
    const std::uint64_t epoch =
        transaction_ ? transaction_->primaryEpoch : execution_->target.primaryEpoch;
    if (!service || service->primaryEpoch != epoch) {
        failStatement(ReplyCode::Unknown, "the primary was replaced while it committed");
        return true;
    }
    if (!context_.primariesPermitted())
        return false; // retried by handleViewChanged until handleTimeout
    if (transaction_)
        releaseConnection();
    StatementReply reply = std::move(*execution_->unconfirmedReply);
    execution_->unconfirmedReply.reset();
    finishStatement(std::move(reply));
    return true;
}

// Lets the statement time out no earlier than this long from now.
void CallerSession::extendTimer(Milliseconds atLeast)
{
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(context_.clock().now() - execution_->startedAt);
    context_.loop().cancelTimer(execution_->timer);
    execution_->timer = context_.loop().startTimer(
        std::max(atLeast, route_.statementTimeout - elapsed), [this] { handleTimeout(); });
}

void CallerSession::handleConnectionLost()
{
    connection_ = nullptr;
    if (!execution_) {
        if (transaction_)
            transaction_->broken = true;
        return;
    }
    if (execution_->stage == Stage::Confirming)
        return; // the endpoint has replied; only the permission is missing
    if (mayHaveWritten()) {
        failStatement(ReplyCode::Unknown, "the endpoint's answer was lost");
        return;
    }
    if (transaction_ && transaction_->opened) {
        failStatement(ReplyCode::Aborted, "the connection to the endpoint was lost");
        return;
    }
    retryStatement(ReplyCode::Aborted);
}

void CallerSession::handleTimeout()
{
    if (!execution_)
        return;
    const bool sent = execution_->stage == Stage::Sent;
    if (mayHaveWritten())
        failStatement(ReplyCode::Unknown, "the endpoint did not answer in time");
    else if (transaction_ && transaction_->opened)
        failStatement(ReplyCode::Aborted, "the endpoint did not answer in time");
    else if (sent)
        failStatement(ReplyCode::Timeout, "the endpoint did not answer in time");
    else
        failStatement(ReplyCode::Busy, "no endpoint was available in time");
}

void CallerSession::logFailure(ReplyCode code, const std::string &message) const
{
    if (!isLogged(Event::StatementFailed))
        return;
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(context_.clock().now() - execution_->startedAt);
    logEvent(Event::StatementFailed,
             {{"id", execution_->statement.id},
              {"database", route_.database},
              {"code", replyCodeName(code)},
              {"reason", message},
              {"endpoint", execution_->target.endpoint.value()},
              {"waited_for", describeStage(static_cast<int>(execution_->stage))},
              {"elapsed_ms", elapsed.count()}});
}

void CallerSession::abandonStatementAndClose()
{
    stopping_ = true;
    abortRequested_ = true;
    if (execution_)
        handleTimeout(); // refuses the queued statements too
    else
        abortTransactionAndClose();
}

void CallerSession::failStatement(ReplyCode code, const std::string &message)
{
    logFailure(code, message);
    if (execution_->requestId != 0) {
        execution_->target.pool->cancel(execution_->requestId);
        execution_->requestId = 0;
    }
    if (connection_ && connection_->outstanding() > 0)
        discardConnection();
    else
        releaseConnection();
    const bool ended = execution_->statement.verb == Verb::Commit;
    transactionFailed_ = transaction_.has_value() && !ended;
    if (ended)
        transaction_.reset();
    StatementReply reply;
    reply.failure = code;
    reply.message = message;
    finishStatement(std::move(reply));
}

void CallerSession::finishStatement(StatementReply reply)
{
    stopTimers();
    if (execution_->statement.verb == Verb::Commit) {
        transaction_.reset();
        transactionFailed_ = false;
    }
    if (transaction_)
        transaction_->lastActivity = context_.clock().now();
    execution_.reset();
    reply.phase = phase();
    channel_.sendReply(reply);
    startNextStatement();
}

void CallerSession::stopTimers()
{
    if (const auto ticket = std::exchange(execution_->admission, 0); ticket != 0)
        context_.admission().cancel(ticket);
    context_.loop().cancelTimer(execution_->timer);
    context_.loop().cancelTimer(execution_->retryTimer);
}

} // namespace pistachiowood
