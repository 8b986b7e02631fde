#include "gateway/connection_pool.h"

#include "base/address.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Weights of a new sample in the exponential moving averages.
constexpr double latencyWeight = 0.1;
constexpr double useTimeWeight = 0.05;
// Idle time after which a connection above this daemon's share is closed, so that the daemons to
// whose share it belongs can open theirs.
constexpr Milliseconds borrowedIdleTimeout{300};
// Time without connections above the share after the endpoint reported too many connections.
constexpr Milliseconds borrowRetryDelay{1000};
// Endpoints close connections that are idle for 60 s; the pool closes them well before, so that no
// statement is sent on a connection that is being closed.
constexpr Milliseconds idleTimeout{30000};
// Delay after a failed connect, doubled with each failure up to 800 ms: an endpoint restarts within
// seconds.
constexpr Milliseconds dialBackoff{100};
constexpr unsigned maxDialBackoffShift = 3;
// An endpoint that has statements to run replies on some connection all the time. It counts as
// failing if a reply is due for this long and none arrives on any connection. A rollback without a
// reply for this long closes its connection.
constexpr Milliseconds replyTimeout{600};
// Time to open a connection. A handshake takes 12 ms, plus the time that it waits behind queued
// statements.
constexpr Milliseconds handshakeTimeout{2000};

} // namespace

PooledConnection::PooledConnection(ConnectionPool &pool, std::uint64_t id)
    : pool_(pool)
    , id_(id)
{
}

PooledConnection::~PooledConnection() = default;

void PooledConnection::send(const SessionStatement &statement)
{
    ++outstanding_;
    lastSend_ = pool_.clock_.now();
    connection_->send(statement);
}

void PooledConnection::handleConnectionOpened(std::optional<TermPosition> position)
{
    pool_.handleOpened(*this, position);
}

void PooledConnection::handleConnectionReply(StatementReply reply)
{
    pool_.handleReply(*this, std::move(reply));
}

void PooledConnection::handleConnectionFailed(ConnectionFailure failure, const std::string &reason)
{
    pool_.handleFailed(*this, failure, reason);
}

ConnectionPool::ConnectionPool(EventLoop &loop, const Clock &clock, EndpointDialer &dialer,
                               ServiceName service, EndpointView endpoint,
                               PositionHandler positionHandler)
    : loop_(loop)
    , clock_(clock)
    , dialer_(dialer)
    , service_(std::move(service))
    , endpoint_(std::move(endpoint))
    , positionHandler_(std::move(positionHandler))
{
}

ConnectionPool::~ConnectionPool()
{
    *alive_ = false;
}

ConnectionPool::RequestId ConnectionPool::acquire(ConnectionUser &user,
                                                  const SessionVariables &variables,
                                                  unsigned priority, TimePoint deadline)
{
    const RequestId requestId = ++lastRequestId_;
    waiters_.emplace(WaiterKey{priority, deadline, requestId}, Waiter{requestId, &user, variables});
    // Asynchronous: the caller stores the request id before it gets the connection.
    postServeWaiters();
    return requestId;
}

void ConnectionPool::cancel(RequestId requestId)
{
    std::erase_if(waiters_, [&](const auto &entry) { return entry.second.requestId == requestId; });
}

PooledConnection *ConnectionPool::findIdle(const SessionVariables &variables)
{
    PooledConnection *best = nullptr;
    std::size_t bestChanges = 0;
    for (const auto &[id, connection] : connections_) {
        if (connection->state_ != PooledConnection::State::Idle)
            continue;
        const std::size_t changes = countVariableChanges(connection->sessionState, variables);
        if (!best || changes < bestChanges
            || (changes == bestChanges && connection->idleSince_ > best->idleSince_)) {
            best = connection.get();
            bestChanges = changes;
        }
    }
    return best;
}

void ConnectionPool::postServeWaiters()
{
    loop_.post([this, alive = alive_] {
        if (*alive)
            serveWaiters();
    });
}

void ConnectionPool::serveWaiters()
{
    while (!waiters_.empty()) {
        PooledConnection *connection = findIdle(waiters_.begin()->second.variables);
        if (!connection)
            break;
        const Waiter waiter = std::move(waiters_.extract(waiters_.begin()).mapped());
        grant(*connection, *waiter.user);
    }
    openConnections();
}

void ConnectionPool::openConnections()
{
    if (waiters_.empty())
        return;
    if (clock_.now() < dialBlockedUntil_) {
        const bool none =
            std::none_of(connections_.begin(), connections_.end(), [](const auto &entry) {
                return entry.second->state_ != PooledConnection::State::Opening;
            });
        if (none)
            refuseWaiters(ConnectionFailure::Unreachable);
        return;
    }
    auto opening = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) {
            return entry.second->state_ == PooledConnection::State::Opening;
        }));
    while (opening < waiters_.size() && connections_.size() < limit()) {
        const std::uint64_t id = ++lastConnectionId_;
        auto &connection =
            connections_.emplace(id, std::make_unique<PooledConnection>(*this, id)).first->second;
        connection->lastSend_ = clock_.now();
        connection->connection_ = dialer_.dial(service_, endpoint_, *connection);
        ++opening;
    }
}

void ConnectionPool::setLimit(std::size_t share, std::size_t borrowFactor)
{
    idleLimit_ = share;
    share_ = std::max<std::size_t>(share, 1);
    borrowLimit_ = share_ * borrowFactor;
}

std::size_t ConnectionPool::limit() const
{
    return clock_.now() < borrowBlockedUntil_ ? share_ : borrowLimit_;
}

void ConnectionPool::grant(PooledConnection &connection, ConnectionUser &user)
{
    connection.grantedAt_ = clock_.now();
    connection.state_ = PooledConnection::State::InUse;
    connection.user_ = &user;
    user.handleConnectionGranted(connection);
}

void ConnectionPool::refuseWaiters(ConnectionFailure failure)
{
    auto refused = std::exchange(waiters_, {});
    for (auto &[key, waiter] : refused)
        waiter.user->handleConnectionRefused(failure);
}

void ConnectionPool::release(PooledConnection &connection)
{
    if (connection.user_) {
        const double held =
            std::chrono::duration<double, std::milli>(clock_.now() - connection.grantedAt_).count();
        meanUseMs_ += useTimeWeight * (held - meanUseMs_);
    }
    connection.user_ = nullptr;
    if (connection.outstanding_ > 0) {
        discard(connection);
        return;
    }
    if (connection.phase_ != SessionPhase::Idle) {
        connection.state_ = PooledConnection::State::RollingBack;
        connection.send({.verb = Verb::Rollback});
        return;
    }
    connection.state_ = PooledConnection::State::Idle;
    connection.idleSince_ = clock_.now();
    if (!waiters_.empty())
        postServeWaiters();
}

void ConnectionPool::discard(PooledConnection &connection)
{
    removeConnection(connection.id_);
}

void ConnectionPool::removeConnection(std::uint64_t id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    // The connection may be in one of its own callbacks, so it is destroyed from the event loop.
    std::shared_ptr<PooledConnection> removed(std::move(found->second));
    connections_.erase(found);
    removed->user_ = nullptr;
    removed->connection_.reset();
    loop_.post([removed] {});
    postServeWaiters();
}

void ConnectionPool::handleOpened(PooledConnection &connection,
                                  std::optional<TermPosition> position)
{
    dialFailures_ = 0;
    recordReply(connection.lastSend_);
    if (position)
        positionHandler_(connection.lastSend_, *position);
    connection.state_ = PooledConnection::State::Idle;
    connection.idleSince_ = clock_.now();
    serveWaiters();
}

void ConnectionPool::handleReply(PooledConnection &connection, StatementReply reply)
{
    if (connection.outstanding_ == 0) {
        handleFailed(connection, ConnectionFailure::Lost, "a reply without a statement");
        return;
    }
    --connection.outstanding_;
    connection.phase_ = reply.phase;
    recordReply(connection.lastSend_);
    if (reply.position)
        positionHandler_(connection.lastSend_, *reply.position);
    if (connection.state_ == PooledConnection::State::RollingBack) {
        if (reply.phase == SessionPhase::Idle)
            release(connection);
        else
            discard(connection);
        return;
    }
    if (connection.user_)
        connection.user_->handleReply(std::move(reply));
}

void ConnectionPool::handleFailed(PooledConnection &connection, ConnectionFailure failure,
                                  const std::string &reason)
{
    const bool wasOpening = connection.state_ == PooledConnection::State::Opening;
    ConnectionUser *user = std::exchange(connection.user_, nullptr);
    logEvent(Event::ConnectFailed, {{"endpoint", endpoint_.id.value()},
                                    {"address", formatAddress(endpoint_.address)},
                                    {"reason", reason}});
    if (wasOpening) {
        if (failure == ConnectionFailure::Unreachable)
            recordFailure();
        if (failure == ConnectionFailure::TooManyConnections)
            borrowBlockedUntil_ = clock_.now() + borrowRetryDelay;
        const unsigned shift = std::min(dialFailures_++, maxDialBackoffShift);
        dialBlockedUntil_ = clock_.now() + dialBackoff * (1 << shift);
    } else if (user) {
        recordFailure();
    }
    removeConnection(connection.id_);
    if (user)
        user->handleConnectionLost();
    if (wasOpening && connections_.empty())
        refuseWaiters(failure);
}

void ConnectionPool::recordFailure()
{
    if (!failingSince_)
        failingSince_ = clock_.now();
}

void ConnectionPool::recordReply(TimePoint sentAt)
{
    const TimePoint now = clock_.now();
    lastReply_ = now;
    failingSince_.reset();
    const double taken = std::chrono::duration<double, std::milli>(now - sentAt).count();
    latencyMs_ += latencyWeight * (taken - latencyMs_);
}

void ConnectionPool::tick()
{
    const TimePoint now = clock_.now();
    std::vector<std::uint64_t> toClose;
    std::vector<PooledConnection *> unopened;
    for (const auto &[id, connection] : connections_) {
        if (connection->state_ == PooledConnection::State::Opening
            && now - connection->lastSend_ > handshakeTimeout)
            unopened.push_back(connection.get());
        const bool borrowed = connections_.size() - toClose.size() > idleLimit_;
        if (connection->state_ == PooledConnection::State::Idle
            && now - connection->idleSince_ > (borrowed ? borrowedIdleTimeout : idleTimeout))
            toClose.push_back(id);
        const bool awaitsReply =
            connection->outstanding_ > 0 || connection->state_ == PooledConnection::State::Opening;
        const bool silent = awaitsReply && now - connection->lastSend_ > replyTimeout
                            && (!lastReply_ || *lastReply_ < connection->lastSend_);
        if (silent && !failingSince_)
            failingSince_ = connection->lastSend_;
        if (connection->state_ == PooledConnection::State::RollingBack
            && now - connection->lastSend_ > replyTimeout)
            toClose.push_back(id);
    }
    for (const std::uint64_t id : toClose)
        removeConnection(id);
    for (PooledConnection *connection : unopened)
        handleFailed(*connection, ConnectionFailure::Unreachable, "no answer to the handshake");
    while (!waiters_.empty()) {
        // Deadlines are sorted only within one priority, so all waiters are searched.
        const auto expired = std::find_if(waiters_.begin(), waiters_.end(), [&](const auto &entry) {
            return std::get<TimePoint>(entry.first) <= now;
        });
        if (expired == waiters_.end())
            break;
        const Waiter waiter = std::move(waiters_.extract(expired).mapped());
        waiter.user->handleConnectionRefused(ConnectionFailure::Refused);
    }
    serveWaiters();
}

void ConnectionPool::shutDown(ConnectionFailure failure)
{
    refuseWaiters(failure);
    std::vector<std::uint64_t> ids;
    for (const auto &entry : connections_)
        ids.push_back(entry.first);
    for (const std::uint64_t id : ids) {
        ConnectionUser *user = connections_.at(id)->user_;
        removeConnection(id);
        if (user)
            user->handleConnectionLost();
    }
}

Milliseconds ConnectionPool::expectedWait(unsigned priority) const
{
    const auto ahead = std::count_if(waiters_.begin(), waiters_.end(), [&](const auto &entry) {
        return std::get<unsigned>(entry.first) <= priority;
    });
    if (ahead == 0)
        return Milliseconds(0);
    const std::size_t connections =
        std::max<std::size_t>(1, std::min(connections_.size(), limit()));
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(ahead) * meanUseMs_
                                                  / static_cast<double>(connections)));
}

bool ConnectionPool::usable() const
{
    const bool open = std::any_of(connections_.begin(), connections_.end(), [](const auto &entry) {
        return entry.second->state_ != PooledConnection::State::Opening;
    });
    return !failingSince_ && (open || clock_.now() >= dialBlockedUntil_);
}

ConnectionPoolHealth ConnectionPool::health() const
{
    ConnectionPoolHealth health;
    health.lastReply = lastReply_;
    health.failingSince = failingSince_;
    health.latency = Milliseconds(static_cast<std::int64_t>(latencyMs_));
    health.inUse = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) {
            return entry.second->state_ == PooledConnection::State::InUse;
        }));
    health.open = connections_.size();
    health.waiting = waiters_.size();
    health.limit = share_;
    return health;
}

} // namespace pistachiowood
