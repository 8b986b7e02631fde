#include "gateway/caller_session.h"

#include <utility>

namespace pistachiowood {

namespace {

constexpr std::size_t maxPipelined = 64; // queued statements of one session
constexpr std::size_t maxSessionEntries = 256; // session variables, and prepared statements

} // namespace

CallerSession::CallerSession(GatewayServices &services, CallerChannel &channel, DatabaseRoute route)
    : services_(services)
    , channel_(channel)
    , route_(std::move(route))
{
}

CallerSession::~CallerSession()
{
    if (work_) {
        stopTimers();
        if (work_->ticket != 0)
            work_->target.pool->cancel(work_->ticket);
    }
    if (link_)
        link_->pool().release(*link_);
}

SessionPhase CallerSession::phase() const
{
    if (failed_)
        return SessionPhase::Failed;
    return transaction_ ? SessionPhase::InTransaction : SessionPhase::Idle;
}

void CallerSession::handleStatement(SessionStatement statement)
{
    if (work_) {
        if (input_.size() >= maxPipelined)
            channel_.close();
        else
            input_.push_back(std::move(statement));
        return;
    }
    startStatement(std::move(statement));
}

void CallerSession::startStatement(SessionStatement statement)
{
    if (transaction_)
        transaction_->lastActivity = services_.clock().now();
    switch (statement.verb) {
    case Verb::Read:
    case Verb::Write:
    case Verb::Execute:
    case Verb::Commit:
        startEndpointWork(std::move(statement));
        break;
    default:
        startLocal(statement);
        break;
    }
}

void CallerSession::startLocal(const SessionStatement &statement)
{
    if (statement.verb == Verb::Rollback) {
        if (!transaction_ && !failed_) {
            replyLocally(ReplyCode::Malformed, "no transaction is open");
            return;
        }
        endTransaction();
        replyLocally(std::nullopt, {});
        return;
    }
    if (failed_) {
        replyLocally(ReplyCode::Malformed, "the transaction has failed; end it first");
        return;
    }
    switch (statement.verb) {
    case Verb::Begin:
    case Verb::BeginReadOnly:
        beginTransaction(statement.verb == Verb::BeginReadOnly);
        return;
    case Verb::Set:
        define(variables_, statement.name, statement.arguments, "too many session variables");
        return;
    case Verb::Prepare:
        define(prepared_, statement.name, PreparedStatement{statement.arguments, statement.writes},
               "too many prepared statements");
        return;
    case Verb::Deallocate:
        prepared_.erase(statement.name);
        replyLocally(std::nullopt, {});
        return;
    default:
        if (transaction_)
            failed_ = true;
        releaseLink();
        replyLocally(ReplyCode::Malformed, "the statement is not known");
        return;
    }
}

template <typename Value>
void CallerSession::define(std::map<std::string, Value> &entries, const std::string &name,
                           Value value, const std::string &refusal)
{
    if (entries.size() >= maxSessionEntries && entries.count(name) == 0) {
        replyLocally(ReplyCode::TooLarge, refusal);
        return;
    }
    entries[name] = std::move(value);
    replyLocally(std::nullopt, {});
}

bool CallerSession::refreshRoute()
{
    const auto found = services_.view().routes.find(route_.database);
    if (found == services_.view().routes.end())
        return false;
    route_ = found->second;
    return true;
}

void CallerSession::beginTransaction(bool readOnly)
{
    if (transaction_) {
        failed_ = true;
        releaseLink();
        replyLocally(ReplyCode::Malformed, "a transaction is already open");
        return;
    }
    if (!refreshRoute()) {
        replyLocally(ReplyCode::NoDatabase, "the database no longer exists");
        return;
    }
    const TimePoint now = services_.clock().now();
    transaction_ = Transaction{.readOnly = readOnly, .startedAt = now, .lastActivity = now};
    replyLocally(std::nullopt, {});
}

void CallerSession::endTransaction()
{
    transaction_.reset();
    failed_ = false;
    releaseLink();
}

void CallerSession::replyLocally(std::optional<ReplyCode> failure, const std::string &message)
{
    StatementReply reply;
    reply.failure = failure;
    reply.message = message;
    reply.phase = phase();
    channel_.sendReply(reply);
    continueInput();
}

void CallerSession::continueInput()
{
    if (input_.empty()) {
        if (ending_)
            finishTransactions();
        else if (draining_ && !transaction_ && !failed_)
            channel_.close();
        return;
    }
    SessionStatement next = std::move(input_.front());
    input_.pop_front();
    startStatement(std::move(next));
}

void CallerSession::tick()
{
    if (!transaction_ || work_ || failed_)
        return;
    const TimePoint now = services_.clock().now();
    if (link_ && now - transaction_->lastActivity > services_.view().transactionIdle) {
        transaction_->broken = true;
        releaseLink();
    }
}

void CallerSession::startDrain()
{
    draining_ = true;
    if (!work_ && !transaction_ && !failed_)
        channel_.close();
}

void CallerSession::finishTransactions()
{
    ending_ = true;
    if (work_)
        return;
    endTransaction();
    channel_.close();
}

void CallerSession::releaseLink()
{
    if (auto *link = std::exchange(link_, nullptr))
        link->pool().release(*link);
}

void CallerSession::discardLink()
{
    if (auto *link = std::exchange(link_, nullptr))
        link->pool().discard(*link);
}

} // namespace pistachiowood
