// The part of a caller's session that runs statements at endpoints.
#include "gateway/caller_session.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// A statement waits for an endpoint for this share of its time-out; the rest is for running it.
constexpr int holdShareNumerator = 3;
constexpr int holdShareDenominator = 4;
constexpr Milliseconds busyRetryDelay{25}; // about the work of one statement
constexpr unsigned maxRetryShift = 3;
// A confirmation that is late by less may still come in time for a caller.
constexpr Milliseconds permissionGap{250};
constexpr Milliseconds confirmLimit{1000}; // renewing the permission takes two exchanges at most

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
    if (link_) { // an open transaction stays on its connection
        startPrelude();
        return;
    }
    if (transaction_ && transaction_->opened) {
        // Without its connection a statement of the transaction would run on its own.
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
    // A replacement ends soon; without one, nothing says when the statement could run.
    const ServiceView *service = services_.findService(route_.service);
    const bool replacing = service && service->replacing;
    const TimePoint limit =
        replacing ? work_->holdUntil
                  : std::min(work_->holdUntil, work_->startedAt + route_.targetLatency / 4);
    // A daemon that was cut off does not get its permission back within the hold, and another one
    // may serve the caller. A replica that was excluded may catch up.
    const bool cutOff =
        !services_.primariesPermitted() && now - services_.permissionLapsedAt() > permissionGap;
    // Longer from time to time: a lagging replica must not be asked over and over.
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
    // The primary or the permission may have changed while the statement waited.
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
        // The state of the connection is uncertain after a partly failed prelude.
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
        // The end of a transaction whose commit may have run is not known.
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
        handleNotRun(code); // reads may run again elsewhere
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

// Tells whether the commit is settled: it counts only if no replacement of the primary can have
// taken effect before it.
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
        return false; // continued by handleViewChanged, ended by handleExpired
    if (transaction_)
        releaseLink();
    StatementReply reply = std::move(*work_->unconfirmed);
    work_->unconfirmed.reset();
    finish(std::move(reply));
    return true;
}

// Gives the statement at least this much more time.
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
        return; // the reply has arrived; only the permission is missing
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
