// Execution of statements at endpoints: endpoint choice, pooled connection, retries and timeouts.
#include "gateway/caller_session.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Share of the statement timeout that may be spent waiting for an endpoint; the rest is left for
// the execution.
constexpr int holdShareNumerator = 3;
constexpr int holdShareDenominator = 4;
// First delay before another attempt to find an endpoint; about the time that one statement takes.
constexpr Milliseconds busyRetryDelay{25};
constexpr unsigned maxRetryShift = 3; // the delay doubles up to 8 times the first one
// A permission that expired less than this long ago may be renewed in time for the caller, so its
// statement waits. After that the statement is refused.
constexpr Milliseconds permissionGap{250};
// Longest wait for a renewal of the permission after a commit; a renewal takes two exchanges at
// most.
constexpr Milliseconds confirmLimit{1000};

// Whether an endpoint that replies with this code has not executed the statement.
bool promisesNotRun(ReplyCode code)
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

} // namespace

void CallerSession::startEndpointWork(SessionStatement statement)
{
    if (statement.verb == Verb::Commit && (failed_ || !transaction_)) {
        const bool wasOpen = failed_;
        endTransaction();
        if (wasOpen)
            replyLocally(ReplyCode::Aborted, "the transaction was rolled back");
        else
            replyLocally(ReplyCode::Malformed, "no transaction is open");
        return;
    }
    if (failed_) {
        replyLocally(ReplyCode::Malformed, "the transaction has failed; end it first");
        return;
    }
    Work work;
    if (statement.verb == Verb::Execute) {
        const auto found = prepared_.find(statement.name);
        if (found == prepared_.end()) {
            failed_ = transaction_.has_value();
            releaseLink();
            replyLocally(ReplyCode::NoStatement, "no prepared statement has this name");
            return;
        }
        work.prepared = found->second;
    }
    if (!transaction_ && !refreshRoute()) {
        replyLocally(ReplyCode::NoDatabase, "the database no longer exists");
        return;
    }
    work.writes =
        statement.verb == Verb::Write || (statement.verb == Verb::Execute && work.prepared.writes);
    work.statement = std::move(statement);
    work.startedAt = services_.clock().now();
    work.holdUntil =
        work.startedAt + route_.statementTimeout * holdShareNumerator / holdShareDenominator;
    work.timer = services_.loop().startTimer(route_.statementTimeout, [this] { handleExpired(); });
    work_ = std::move(work);
    if (transaction_ && transaction_->broken) {
        giveUp(ReplyCode::Aborted, "the connection to the endpoint was lost");
        return;
    }
    if (transaction_ && transaction_->readOnly && work_->writes) {
        giveUp(ReplyCode::ReadOnly, "the transaction only reads");
        return;
    }
    dispatch();
}

bool CallerSession::needsPrimary() const
{
    if (route_.consistency == Consistency::Primary || work_->writes)
        return true;
    return transaction_ && !transaction_->readOnly;
}

void CallerSession::dispatch()
{
    if (link_) { // a transaction runs on one connection
        startPrelude();
        return;
    }
    if (transaction_ && transaction_->opened) {
        // On another connection the statement would run outside the transaction.
        giveUp(ReplyCode::Aborted, "the connection to the endpoint was lost");
        return;
    }
    const TimePoint now = services_.clock().now();
    const EndpointNeed need{route_, transaction_ ? transaction_->startedAt : work_->startedAt,
                            ownCommit_, work_->excluded};
    const auto choice =
        needsPrimary() ? choosePrimary(services_, need) : chooseForRead(services_, need);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - work_->startedAt);
    if (!choice)
        hold();
    else if (needsPrimary() && outOfReach(*choice, now))
        giveUp(ReplyCode::Busy, "the primary is out of reach of this daemon");
    else if (waitTooLong(*choice, route_, elapsed))
        giveUp(ReplyCode::Busy, "the endpoint has too much work to meet the target latency");
    else
        acquireLink(*choice);
}

void CallerSession::acquireLink(const EndpointChoice &choice)
{
    work_->target = choice;
    work_->stage = Stage::WaitingForLink;
    work_->ticket = choice.pool->acquire(*this, variables_, route_.priority, work_->holdUntil);
}

void CallerSession::hold()
{
    const TimePoint now = services_.clock().now();
    work_->stage = Stage::Holding;
    // A replacement of the primary ends within the timeout. Without one the time until an endpoint
    // is available is unknown, and the caller is told after a quarter of the target latency.
    const ServiceView *service = services_.findService(route_.service);
    const bool replacing = service && service->replacing;
    const TimePoint limit =
        replacing ? work_->holdUntil
                  : std::min(work_->holdUntil, work_->startedAt + route_.targetLatency / 4);
    // A daemon that is cut off from the store does not regain its permission during the wait, and
    // another daemon may serve the caller. An excluded replica may catch up, so reads still wait.
    const bool cutOff =
        !services_.primariesPermitted() && now - services_.permissionLapsedAt() > permissionGap;
    // Exponential backoff: a lagging replica is not asked again every 25 ms.
    const Milliseconds delay = busyRetryDelay * (1 << std::min(work_->holds++, maxRetryShift));
    const bool hopeless = !replacing && cutOff && work_->excluded.empty();
    if (hopeless || now + delay >= limit)
        giveUp(ReplyCode::Busy, "no endpoint can run the statement now");
    else
        retryLater(delay);
}

void CallerSession::retryLater(Milliseconds delay)
{
    work_->stage = Stage::Holding;
    services_.loop().cancelTimer(work_->retryTimer);
    work_->retryTimer = services_.loop().startTimer(delay, [this] {
        if (!work_ || work_->stage != Stage::Holding)
            return;
        work_->excluded.clear();
        dispatch();
    });
}

void CallerSession::handleViewChanged()
{
    if (!work_)
        return;
    if (work_->stage == Stage::Confirming)
        confirmWrite();
    else if (work_->stage == Stage::Holding)
        dispatch();
}

void CallerSession::handleLinkGranted(PooledLink &link)
{
    work_->ticket = 0;
    link_ = &link;
    // The primary may have changed or the permission expired while the statement waited.
    const ServiceView *service = services_.findService(route_.service);
    if (!service || service->primaryEpoch != work_->target.primaryEpoch
        || (work_->target.reliesOnPrimary() && !services_.primariesPermitted())) {
        releaseLink();
        dispatch();
        return;
    }
    startPrelude();
}

void CallerSession::handleLinkRefused(LinkFailure failure)
{
    work_->ticket = 0;
    work_->excluded.insert(work_->target.pool->endpoint().id);
    const TimePoint now = services_.clock().now();
    if (now >= work_->holdUntil) {
        giveUp(ReplyCode::Busy, failure == LinkFailure::Refused
                                    ? "the endpoint has no connection free"
                                    : "the endpoint is not reachable");
        return;
    }
    dispatch();
}

void CallerSession::startPrelude()
{
    work_->stage = Stage::Prelude;
    work_->preludeFailure.reset();
    const bool execute = work_->statement.verb == Verb::Execute;
    const bool opened = transaction_ && transaction_->opened;
    work_->prelude =
        planPrelude(link_->sessionState, variables_, execute ? &work_->prepared : nullptr, opened);
    auto &statements = work_->prelude.statements;
    if (transaction_ && !opened) {
        const Verb verb = transaction_->readOnly ? Verb::BeginReadOnly : Verb::Begin;
        statements.push_back({.verb = verb, .after = work_->target.after});
    }
    work_->preludePending = statements.size();
    if (statements.empty()) {
        sendMain();
        return;
    }
    for (const SessionStatement &statement : statements)
        link_->send(statement);
}

void CallerSession::finishPrelude()
{
    if (work_->preludeFailure) {
        const ReplyCode code = *work_->preludeFailure;
        // After a partly failed set-up the session state of the connection is unknown.
        const bool onlyBeginFailed =
            work_->prelude.statements.size() == 1 && transaction_ && !transaction_->opened;
        if (onlyBeginFailed)
            releaseLink();
        else
            discardLink();
        if (transaction_ && transaction_->opened)
            giveUp(ReplyCode::Aborted, "the endpoint refused the session state");
        else
            handleNotRun(code);
        return;
    }
    link_->sessionState = work_->prelude.result;
    if (transaction_ && !transaction_->opened) {
        transaction_->opened = true;
        transaction_->primaryEpoch = work_->target.primaryEpoch;
    }
    sendMain();
}

void CallerSession::sendMain()
{
    SessionStatement statement = work_->statement;
    if (statement.verb == Verb::Execute)
        statement.name = work_->prelude.preparedName;
    if (!transaction_)
        statement.after = work_->target.after;
    work_->stage = Stage::Sent;
    if (transaction_ && work_->writes)
        transaction_->wrote = true;
    link_->send(statement);
}

void CallerSession::handleReply(StatementReply reply)
{
    if (!work_ || (work_->stage != Stage::Prelude && work_->stage != Stage::Sent)) {
        discardLink();
        return;
    }
    if (work_->stage == Stage::Prelude) {
        if (reply.failure && !work_->preludeFailure)
            work_->preludeFailure = reply.failure;
        if (--work_->preludePending == 0)
            finishPrelude();
        return;
    }
    handleMainReply(std::move(reply));
}

bool CallerSession::sentMayHaveWritten() const
{
    if (work_->stage != Stage::Sent && work_->stage != Stage::Confirming)
        return false;
    if (transaction_)
        return work_->statement.verb == Verb::Commit && transaction_->wrote;
    return work_->writes;
}

void CallerSession::handleMainReply(StatementReply reply)
{
    if (reply.succeeded()) {
        handleSuccess(std::move(reply));
        return;
    }
    const ReplyCode code = *reply.failure;
    if (transaction_) {
        const bool committing = work_->statement.verb == Verb::Commit;
        if (code == ReplyCode::NoStatement)
            link_->sessionState = {};
        // The commit may have been executed, so the outcome of the transaction is unknown.
        if (committing && transaction_->wrote && !promisesNotRun(code)) {
            giveUp(ReplyCode::Unknown, "the endpoint did not confirm the commit");
            return;
        }
        giveUp(promisesNotRun(code) && code != ReplyCode::NoStatement ? code : ReplyCode::Aborted,
               reply.message);
        return;
    }
    if (code == ReplyCode::NoStatement)
        link_->sessionState.prepared.clear();
    if (promisesNotRun(code)) {
        releaseLink();
        handleNotRun(code);
        return;
    }
    if (!work_->writes && services_.clock().now() < work_->holdUntil) {
        releaseLink();
        handleNotRun(code); // a read is retried at another endpoint
        return;
    }
    releaseLink();
    reply.phase = SessionPhase::Idle;
    finish(std::move(reply));
}

void CallerSession::handleNotRun(ReplyCode code)
{
    const TimePoint now = services_.clock().now();
    const EndpointId endpoint = work_->target.pool->endpoint().id;
    if (code == ReplyCode::Lagging)
        services_.replicaLag(endpoint).recordLagging(now);
    if (now >= work_->holdUntil) {
        giveUp(promisesNotRun(code) && code != ReplyCode::NoStatement ? code : ReplyCode::Busy,
               "no endpoint ran the statement in time");
        return;
    }
    if (code == ReplyCode::NoStatement) {
        dispatch();
        return;
    }
    work_->excluded.insert(endpoint);
    if (needsPrimary())
        retryLater(busyRetryDelay);
    else
        dispatch();
}

void CallerSession::handleSuccess(StatementReply reply)
{
    const bool committing = work_->statement.verb == Verb::Commit;
    const bool wrote = transaction_ ? (committing && transaction_->wrote) : work_->writes;
    if (wrote) {
        if (reply.position) {
            ownCommit_ =
                OwnCommit{transaction_ ? transaction_->primaryEpoch : work_->target.primaryEpoch,
                          *reply.position, services_.clock().now()};
        }
        if (!transaction_)
            releaseLink();
        work_->unconfirmed = std::move(reply);
        work_->stage = Stage::Confirming;
        if (!confirmWrite())
            extendTimer(confirmLimit);
        return;
    }
    if (!transaction_ || committing)
        releaseLink();
    finish(std::move(reply));
}

// Replies to a committed write once its outcome is certain: acknowledged while the daemon holds the
// permission to use the same primary, unknown if the primary was replaced. Returns false while the
// permission is missing.
bool CallerSession::confirmWrite()
{
    const ServiceView *service = services_.findService(route_.service);
    const std::uint64_t epoch =
        transaction_ ? transaction_->primaryEpoch : work_->target.primaryEpoch;
    if (!service || service->primaryEpoch != epoch) {
        giveUp(ReplyCode::Unknown, "the primary was replaced while it committed");
        return true;
    }
    if (!services_.primariesPermitted())
        return false; // retried by handleViewChanged until handleExpired
    if (transaction_)
        releaseLink();
    StatementReply reply = std::move(*work_->unconfirmed);
    work_->unconfirmed.reset();
    finish(std::move(reply));
    return true;
}

// Lets the statement time out no earlier than this long from now.
void CallerSession::extendTimer(Milliseconds atLeast)
{
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(services_.clock().now() - work_->startedAt);
    services_.loop().cancelTimer(work_->timer);
    work_->timer = services_.loop().startTimer(std::max(atLeast, route_.statementTimeout - elapsed),
                                               [this] { handleExpired(); });
}

void CallerSession::handleLinkLost()
{
    link_ = nullptr;
    if (!work_) {
        if (transaction_)
            transaction_->broken = true;
        return;
    }
    if (work_->stage == Stage::Confirming)
        return; // the endpoint has replied; only the permission is missing
    if (sentMayHaveWritten()) {
        giveUp(ReplyCode::Unknown, "the endpoint's answer was lost");
        return;
    }
    if (transaction_ && transaction_->opened) {
        giveUp(ReplyCode::Aborted, "the connection to the endpoint was lost");
        return;
    }
    handleNotRun(ReplyCode::Aborted);
}

void CallerSession::handleExpired()
{
    if (!work_)
        return;
    const bool sent = work_->stage == Stage::Sent;
    if (sentMayHaveWritten())
        giveUp(ReplyCode::Unknown, "the endpoint did not answer in time");
    else if (transaction_ && transaction_->opened)
        giveUp(ReplyCode::Aborted, "the endpoint did not answer in time");
    else if (sent)
        giveUp(ReplyCode::Timeout, "the endpoint did not answer in time");
    else
        giveUp(ReplyCode::Busy, "no endpoint was available in time");
}

void CallerSession::giveUp(ReplyCode code, const std::string &message)
{
    if (work_->ticket != 0) {
        work_->target.pool->cancel(work_->ticket);
        work_->ticket = 0;
    }
    if (link_ && link_->outstanding() > 0)
        discardLink();
    else
        releaseLink();
    const bool ended = work_->statement.verb == Verb::Commit;
    failed_ = transaction_.has_value() && !ended;
    if (ended)
        transaction_.reset();
    StatementReply reply;
    reply.failure = code;
    reply.message = message;
    finish(std::move(reply));
}

void CallerSession::finish(StatementReply reply)
{
    stopTimers();
    if (work_->statement.verb == Verb::Commit) {
        transaction_.reset();
        failed_ = false;
    }
    if (transaction_)
        transaction_->lastActivity = services_.clock().now();
    work_.reset();
    reply.phase = phase();
    channel_.sendReply(reply);
    continueInput();
}

void CallerSession::stopTimers()
{
    services_.loop().cancelTimer(work_->timer);
    services_.loop().cancelTimer(work_->retryTimer);
}

} // namespace pistachiowood
