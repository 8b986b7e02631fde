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
constexpr double handshakeWeight = 0.2;
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
// Time without any answer to a first handshake after which statements that another endpoint can run
// are moved there; a handshake between regions takes about 50 ms.
constexpr Milliseconds moveTimeout{250};
// Wait of a customer without any connection after which one of another customer is closed for it at
// the end of its use. About four handshakes of 12 ms, and a small part of the target latencies.
constexpr Milliseconds yieldTimeout{50};

} // namespace

PooledConnection::PooledConnection(ConnectionPool &pool, std::uint64_t id,
                                   std::optional<CustomerName> customer)
    : pool_(pool)
    , id_(id)
    , customer_(std::move(customer))
{
}

PooledConnection::~PooledConnection() = default;

void PooledConnection::send(const SessionStatement &statement)
{
    lastSend_ = pool_.clock_.now();
    sendTimes_.push_back(lastSend_);
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
                               ConnectionBudget budget, ServiceName service, EndpointView endpoint,
                               PositionHandler positionHandler)
    : loop_(loop)
    , clock_(clock)
    , dialer_(dialer)
    , service_(std::move(service))
    , endpoint_(std::move(endpoint))
    , positionHandler_(std::move(positionHandler))
    , budget_(budget)
{
}

ConnectionPool::~ConnectionPool()
{
    *alive_ = false;
}

ConnectionPool::RequestId ConnectionPool::acquire(ConnectionUser &user, Request request)
{
    const RequestId requestId = ++lastRequestId_;
    waiters_.emplace(WaiterKey{request.priority, request.deadline, requestId},
                     Waiter{requestId, &user, std::move(request.variables), request.movable,
                            std::move(request.customer), request.anyCustomer, clock_.now()});
    // Asynchronous: the caller stores the request id before it gets the connection.
    postServeWaiters();
    return requestId;
}

void ConnectionPool::cancel(RequestId requestId)
{
    std::erase_if(waiters_, [&](const auto &entry) { return entry.second.requestId == requestId; });
}

PooledConnection *ConnectionPool::findIdle(const Waiter &waiter)
{
    PooledConnection *best = nullptr;
    std::size_t bestChanges = 0;
    for (const auto &[id, connection] : connections_) {
        if (connection->state_ != PooledConnection::State::Idle
            || !(waiter.anyCustomer || connection->customer_ == waiter.customer))
            continue;
        const std::size_t changes =
            countVariableChanges(connection->sessionState, waiter.variables);
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
    auto next = waiters_.begin();
    while (next != waiters_.end() && countInState(PooledConnection::State::Idle) > 0) {
        PooledConnection *connection = findIdle(next->second);
        if (!connection) {
            ++next;
            continue;
        }
        const Waiter waiter = std::move(waiters_.extract(next).mapped());
        grant(*connection, *waiter.user);
        next = waiters_.begin(); // the user may have changed the queue
    }
    openConnections();
}

void ConnectionPool::openConnections()
{
    if (waiters_.empty())
        return;
    const TimePoint now = clock_.now();
    if (now < dialBlockedUntil_ && !hasEstablishedConnection()) {
        refuseWaiters(ConnectionFailure::Unreachable);
        return;
    }
    // An endpoint with too many connections gives some back soon, so the waiters stay.
    if (now < dialBlockedUntil())
        return;
    const std::size_t limit = budget_.limit(now);
    const std::size_t free = limit - std::min(limit, connections_.size());
    for (const auto &customer :
         customersWithoutConnection(free + countInState(PooledConnection::State::Idle))) {
        if (makeRoom(customer, limit))
            open(customer);
    }
}

// Customers of the first waiters for whom no connection is being opened, one entry for each waiter.
std::vector<std::optional<CustomerName>>
ConnectionPool::customersWithoutConnection(std::size_t max) const
{
    std::map<std::optional<CustomerName>, std::size_t> opening;
    for (const auto &[id, connection] : connections_) {
        if (connection->state_ == PooledConnection::State::Opening)
            ++opening[connection->customer_];
    }
    std::vector<std::optional<CustomerName>> customers;
    for (const auto &[key, waiter] : waiters_) {
        if (customers.size() >= max)
            break;
        if (auto &count = opening[waiter.customer]; count > 0)
            --count;
        else
            customers.push_back(waiter.customer);
    }
    return customers;
}

void ConnectionPool::open(const std::optional<CustomerName> &customer)
{
    const std::uint64_t id = ++lastConnectionId_;
    auto &connection =
        connections_.emplace(id, std::make_unique<PooledConnection>(*this, id, customer))
            .first->second;
    connection->lastSend_ = clock_.now();
    connection->connection_ = dialer_.dial(service_, endpoint_, customer, *connection);
}

// Makes room for one more connection by closing those of other customers that have been idle
// longest. Closes none if that would not make room.
bool ConnectionPool::makeRoom(const std::optional<CustomerName> &customer, std::size_t limit)
{
    if (connections_.size() < limit)
        return true;
    std::vector<const PooledConnection *> idle;
    for (const auto &[id, connection] : connections_) {
        if (connection->state_ == PooledConnection::State::Idle
            && connection->customer_ != customer)
            idle.push_back(connection.get());
    }
    const std::size_t needed = connections_.size() + 1 - limit;
    if (needed > idle.size())
        return false;
    std::stable_sort(idle.begin(), idle.end(), [](const auto *left, const auto *right) {
        return left->idleSince_ < right->idleSince_;
    });
    for (std::size_t i = 0; i < needed; ++i)
        removeConnection(idle.at(i)->id_);
    return true;
}

// Whether a request of a customer without any connection has waited so long that this one, which is
// free now, is to be closed for it.
bool ConnectionPool::mustYield(const PooledConnection &connection) const
{
    const TimePoint now = clock_.now();
    if (connections_.size() < budget_.limit(now) || now < dialBlockedUntil())
        return false;
    return std::any_of(waiters_.begin(), waiters_.end(), [&](const auto &entry) {
        const Waiter &waiter = entry.second;
        return !waiter.anyCustomer && waiter.customer != connection.customer_
               && now - waiter.since >= yieldTimeout && !hasConnectionOf(waiter.customer);
    });
}

bool ConnectionPool::hasConnectionOf(const std::optional<CustomerName> &customer) const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [&](const auto &entry) { return entry.second->customer_ == customer; });
}

std::size_t ConnectionPool::countInState(PooledConnection::State state) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [&](const auto &entry) { return entry.second->state_ == state; }));
}

bool ConnectionPool::hasEstablishedConnection() const
{
    return countInState(PooledConnection::State::Opening) < connections_.size();
}

TimePoint ConnectionPool::dialBlockedUntil() const
{
    return std::max(dialBlockedUntil_, budget_.dialBlockedUntil());
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
    if (connection.outstanding() > 0) {
        discard(connection);
        return;
    }
    if (connection.phase_ != SessionPhase::Idle) {
        connection.state_ = PooledConnection::State::RollingBack;
        connection.send({.verb = Verb::Rollback});
        return;
    }
    if (budget_.isLoanOver(connections_.size(), connection.openedAt_, clock_.now())) {
        budget_.recordReturned(clock_.now());
        discard(connection);
        return;
    }
    if (mustYield(connection)) {
        discard(connection);
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
    connection.openedAt_ = clock_.now();
    budget_.recordOpened();
    const double taken =
        std::chrono::duration<double, std::milli>(clock_.now() - connection.lastSend_).count();
    handshakeMs_ += handshakeWeight * (taken - handshakeMs_);
    recordReply(connection.lastSend_);
    if (position)
        positionHandler_(connection.lastSend_, *position);
    connection.state_ = PooledConnection::State::Idle;
    connection.idleSince_ = clock_.now();
    serveWaiters();
}

void ConnectionPool::handleReply(PooledConnection &connection, StatementReply reply)
{
    if (connection.outstanding() == 0) {
        handleFailed(connection, ConnectionFailure::Lost, "a reply without a statement");
        return;
    }
    const TimePoint sentAt = connection.sendTimes_.front();
    connection.sendTimes_.erase(connection.sendTimes_.begin());
    connection.phase_ = reply.phase;
    recordReply(sentAt);
    if (reply.position)
        positionHandler_(sentAt, *reply.position);
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
        if (failure == ConnectionFailure::TooManyConnections) {
            recordReply(connection.lastSend_);
            budget_.recordRefused(
                connections_.size() - countInState(PooledConnection::State::Opening), clock_.now());
            loop_.startTimer(
                std::chrono::ceil<Milliseconds>(budget_.dialBlockedUntil() - clock_.now()),
                [this, alive = alive_] {
                    if (*alive)
                        serveWaiters();
                });
        } else {
            const unsigned shift = std::min(dialFailures_++, maxDialBackoffShift);
            dialBlockedUntil_ = clock_.now() + dialBackoff * (1 << shift);
        }
    } else if (user) {
        recordFailure();
    }
    removeConnection(connection.id_);
    if (user)
        user->handleConnectionLost();
    if (wasOpening && connections_.empty() && failure != ConnectionFailure::TooManyConnections)
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
    budget_.recordInUse(countInState(PooledConnection::State::InUse) + waiters_.size(), now);
    std::vector<std::uint64_t> toClose;
    std::vector<PooledConnection *> unopened;
    for (const auto &[id, connection] : connections_) {
        if (connection->state_ == PooledConnection::State::Opening
            && now - connection->lastSend_ > handshakeTimeout)
            unopened.push_back(connection.get());
        if (connection->state_ == PooledConnection::State::Idle
            && now - connection->idleSince_
                   > budget_.idleTimeout(connections_.size() - toClose.size(), now))
            toClose.push_back(id);
        const bool awaitsReply =
            connection->outstanding() > 0 || connection->state_ == PooledConnection::State::Opening;
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
    moveWaitersOfSilentEndpoint();
    serveWaiters();
}

// Refuses the statements that another endpoint can run if no handshake is answered in time.
void ConnectionPool::moveWaitersOfSilentEndpoint()
{
    const TimePoint now = clock_.now();
    const bool silent =
        !hasEstablishedConnection()
        && std::any_of(connections_.begin(), connections_.end(), [&](const auto &entry) {
               return now - entry.second->lastSend_ > moveTimeout;
           });
    if (!silent)
        return;
    std::vector<ConnectionUser *> moved;
    std::erase_if(waiters_, [&](const auto &entry) {
        if (entry.second.movable)
            moved.push_back(entry.second.user);
        return entry.second.movable;
    });
    for (ConnectionUser *user : moved)
        user->handleConnectionRefused(ConnectionFailure::Unreachable);
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

Milliseconds ConnectionPool::expectedWait(unsigned priority,
                                          const std::optional<CustomerName> &customer) const
{
    const bool hasIdle =
        customer && std::any_of(connections_.begin(), connections_.end(), [&](const auto &entry) {
            return entry.second->state_ == PooledConnection::State::Idle
                   && entry.second->customer_ == customer;
        });
    if (hasIdle)
        return Milliseconds(0);
    const auto ahead = std::count_if(waiters_.begin(), waiters_.end(), [&](const auto &entry) {
        return std::get<unsigned>(entry.first) <= priority;
    });
    if (ahead == 0)
        return Milliseconds(0);
    const std::size_t connections =
        std::max<std::size_t>(1, std::min(connections_.size(), budget_.limit(clock_.now())));
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(ahead) * meanUseMs_
                                                  / static_cast<double>(connections)));
}

bool ConnectionPool::usable() const
{
    return !failingSince_ && (hasEstablishedConnection() || clock_.now() >= dialBlockedUntil_);
}

ConnectionPoolHealth ConnectionPool::health(const std::optional<CustomerName> &customer) const
{
    ConnectionPoolHealth health;
    health.lastReply = lastReply_;
    health.failingSince = failingSince_;
    health.latency = Milliseconds(static_cast<std::int64_t>(latencyMs_));
    health.inUse = countInState(PooledConnection::State::InUse);
    health.open = connections_.size();
    health.waiting = waiters_.size();
    health.limit = budget_.share();
    const bool established =
        std::any_of(connections_.begin(), connections_.end(), [&](const auto &entry) {
            return entry.second->state_ != PooledConnection::State::Opening
                   && entry.second->customer_ == customer;
        });
    if (!established) {
        const auto pause =
            std::chrono::ceil<Milliseconds>(budget_.dialBlockedUntil() - clock_.now());
        health.connectDelay = std::max(pause, Milliseconds(0))
                              + Milliseconds(static_cast<std::int64_t>(handshakeMs_));
    }
    return health;
}

} // namespace pistachiowood
