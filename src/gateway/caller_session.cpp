#include "gateway/caller_session.h"

#include <openssl/crypto.h>

#include <utility>

namespace pistachiowood {

namespace {

constexpr std::size_t maxQueuedStatements = 64; // queued statements of one session
constexpr std::size_t maxSessionEntries = 256; // session variables, and prepared statements
constexpr std::size_t entryOverheadBytes = 128; // of a map entry and its strings
// A running statement is held by the session, encoded for the endpoint, and in the output to it.
constexpr std::size_t statementCopies = 3;

std::size_t entryBytes(const std::string &name, const std::string &value)
{
    return name.size() + value.size() + entryOverheadBytes;
}

std::size_t entryBytes(const std::string &name, const PreparedStatement &value)
{
    return entryBytes(name, value.definition);
}

std::size_t statementBytes(const SessionStatement &statement)
{
    return statement.text.size() + statement.arguments.size() + entryOverheadBytes;
}

} // namespace

CallerSession::CallerSession(GatewayContext &context, CallerChannel &channel, DatabaseRoute route,
                             std::size_t maxStateBytes, SessionCredentials credentials)
    : context_(context)
    , channel_(channel)
    , route_(std::move(route))
    , customer_(std::move(credentials.customer))
    , key_(std::move(credentials.key))
    , maxStateBytes_(maxStateBytes)
{
}

CallerSession::~CallerSession()
{
    if (execution_) {
        stopTimers();
        if (execution_->requestId != 0)
            execution_->target.pool->cancel(execution_->requestId);
    }
    if (connection_)
        connection_->pool().release(*connection_);
    OPENSSL_cleanse(key_.data(), key_.size());
}

SessionPhase CallerSession::phase() const
{
    if (transactionFailed_)
        return SessionPhase::Failed;
    return transaction_ ? SessionPhase::InTransaction : SessionPhase::Idle;
}

void CallerSession::handleStatement(SessionStatement statement)
{
    if (execution_) {
        if (queuedStatements_.size() >= maxQueuedStatements)
            channel_.terminate();
        else
            queuedStatements_.push_back(std::move(statement));
        return;
    }
    startStatement(std::move(statement));
}

void CallerSession::startStatement(SessionStatement statement)
{
    if (withdrawn_ || stopping_) {
        endTransaction();
        replyLocally(ReplyCode::Aborted, stopping_
                                             ? "the daemon stops"
                                             : "the session is no longer entitled to the database");
        return;
    }
    if (transaction_)
        transaction_->lastActivity = context_.clock().now();
    switch (statement.verb) {
    case Verb::Read:
    case Verb::Write:
    case Verb::Execute:
    case Verb::Commit:
        startEndpointStatement(std::move(statement));
        break;
    default:
        executeLocally(statement);
        break;
    }
}

void CallerSession::executeLocally(const SessionStatement &statement)
{
    if (statement.verb == Verb::Rollback) {
        if (!transaction_ && !transactionFailed_) {
            replyLocally(ReplyCode::Malformed, "no transaction is open");
            return;
        }
        endTransaction();
        replyLocally(std::nullopt, {});
        return;
    }
    if (transactionFailed_) {
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
        if (const auto found = prepared_.find(statement.name); found != prepared_.end()) {
            stateBytes_ -= entryBytes(found->first, found->second);
            prepared_.erase(found);
        }
        replyLocally(std::nullopt, {});
        return;
    default:
        if (transaction_)
            transactionFailed_ = true;
        releaseConnection();
        replyLocally(ReplyCode::Malformed, "the statement is not known");
        return;
    }
}

template <typename Value>
void CallerSession::define(std::map<std::string, Value> &entries, const std::string &name,
                           Value value, const std::string &refusal)
{
    const auto found = entries.find(name);
    const std::size_t replaced = found == entries.end() ? 0 : entryBytes(name, found->second);
    const std::size_t bytes = stateBytes_ - replaced + entryBytes(name, value);
    if ((entries.size() >= maxSessionEntries && found == entries.end()) || bytes > maxStateBytes_) {
        replyLocally(ReplyCode::TooLarge, refusal);
        return;
    }
    stateBytes_ = bytes;
    entries[name] = std::move(value);
    replyLocally(std::nullopt, {});
}

std::size_t CallerSession::heldBytes() const
{
    std::size_t bytes = stateBytes_;
    for (const SessionStatement &statement : queuedStatements_)
        bytes += statementBytes(statement);
    if (execution_)
        bytes += statementBytes(execution_->statement) * statementCopies;
    return bytes;
}

bool CallerSession::refreshRoute()
{
    const auto found = context_.view().routes.find(route_.database);
    if (found == context_.view().routes.end())
        return false;
    route_ = found->second;
    return true;
}

void CallerSession::beginTransaction(bool readOnly)
{
    if (transaction_) {
        transactionFailed_ = true;
        releaseConnection();
        replyLocally(ReplyCode::Malformed, "a transaction is already open");
        return;
    }
    if (!refreshRoute()) {
        replyLocally(ReplyCode::NoDatabase, "the database no longer exists");
        return;
    }
    const TimePoint now = context_.clock().now();
    transaction_ = Transaction{.readOnly = readOnly, .startedAt = now, .lastActivity = now};
    replyLocally(std::nullopt, {});
}

void CallerSession::endTransaction()
{
    transaction_.reset();
    transactionFailed_ = false;
    releaseConnection();
}

void CallerSession::replyLocally(std::optional<ReplyCode> failure, const std::string &message)
{
    StatementReply reply;
    reply.failure = failure;
    reply.message = message;
    reply.phase = phase();
    channel_.sendReply(reply);
    startNextStatement();
}

void CallerSession::startNextStatement()
{
    if (queuedStatements_.empty()) {
        if (abortRequested_)
            abortTransactionAndClose();
        else if (withdrawn_)
            endWithdrawnSession();
        else if (draining_ && !transaction_ && !transactionFailed_)
            channel_.close();
        return;
    }
    SessionStatement next = std::move(queuedStatements_.front());
    queuedStatements_.pop_front();
    startStatement(std::move(next));
}

bool CallerSession::isEntitled() const
{
    const CustomerDirectory *customers = context_.view().customers.get();
    if (customer_)
        return customers && customers->findByKey(key_) == customer_;
    const auto route = context_.view().routes.find(route_.database);
    // Statements for a database without a route are refused later.
    return !customers || route == context_.view().routes.end() || route->second.isPublic;
}

bool CallerSession::checkEntitlement()
{
    if (withdrawn_ || isEntitled())
        return false;
    withdrawn_ = true;
    if (!execution_)
        endWithdrawnSession();
    return true;
}

// The transaction is rolled back at once, so that a withdrawn customer holds no locks.
void CallerSession::endWithdrawnSession()
{
    if (!transaction_) {
        channel_.close();
        return;
    }
    transaction_->broken = true;
    releaseConnection();
}

void CallerSession::tick()
{
    if (withdrawn_ && transaction_ && !execution_
        && context_.clock().now() - transaction_->lastActivity
               > context_.view().transactionIdleTimeout) {
        endTransaction();
        channel_.close();
        return;
    }
    if (!transaction_ || execution_ || transactionFailed_)
        return;
    const TimePoint now = context_.clock().now();
    if (connection_ && now - transaction_->lastActivity > context_.view().transactionIdleTimeout) {
        transaction_->broken = true;
        releaseConnection();
    }
}

void CallerSession::startDrain()
{
    draining_ = true;
    if (!execution_ && !transaction_ && !transactionFailed_)
        channel_.close();
}

void CallerSession::abortTransactionAndClose()
{
    abortRequested_ = true;
    if (execution_)
        return;
    endTransaction();
    channel_.close();
}

void CallerSession::releaseConnection()
{
    if (auto *connection = std::exchange(connection_, nullptr))
        connection->pool().release(*connection);
}

void CallerSession::discardConnection()
{
    if (auto *connection = std::exchange(connection_, nullptr))
        connection->pool().discard(*connection);
}

} // namespace pistachiowood
