#include "pools/endpoint_pool.h"

#include "base/log.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pistachiowood {

namespace {

// Exponential moving average with weight 1/8, which follows a change within about ten statements.
constexpr int serviceTimeAverageDivisor = 8;

// Keeps the shift from overflowing; maxConnectBackoff applies long before.
constexpr std::uint32_t maxBackoffDoublings = 16;

} // namespace

EndpointPool::EndpointPool(const PoolLimits &limits, const Clock &clock, EndpointId endpoint)
    : limits_(limits)
    , clock_(clock)
    , endpoint_(std::move(endpoint))
    , queue_(limits.queueLimit)
{
}

void EndpointPool::submit(const PoolRequest &request)
{
    hasReceivedWork_ = true;
    expireQueued();
    if (drainDeadline_) {
        ++stats_.refusedDraining;
        return reject(request.ticket, ErrorCode::Unavailable, "endpoint is draining");
    }
    if (limits_.slots == 0 || limits_.maxConnections == 0 || unreachable_) {
        ++stats_.refusedUnavailable;
        return reject(request.ticket, ErrorCode::Unavailable,
                      unreachable_ ? "endpoint is unreachable" : "endpoint has no capacity");
    }

    const QueueLoad load{clock_.now(), stats_.meanServiceTime / limits_.slots, pinnedQueue_.size()};
    const Admission admission = queue_.push(request, load);
    switch (admission.refusal) {
    case AdmissionRefusal::None:
        break;
    case AdmissionRefusal::Expired:
        ++stats_.refusedExpired;
        reject(request.ticket, ErrorCode::DeadlineExceeded, "deadline has passed");
        break;
    case AdmissionRefusal::WouldExpire:
        ++stats_.refusedEarly;
        reject(request.ticket, ErrorCode::Unavailable,
               "expected wait for a slot exceeds the remaining time");
        break;
    case AdmissionRefusal::Full:
        ++stats_.refusedFull;
        reject(request.ticket, ErrorCode::Unavailable, "queue of the endpoint is full");
        break;
    }
    if (admission.evicted) {
        ++stats_.refusedFull;
        reject(*admission.evicted, ErrorCode::Unavailable,
               "queue of the endpoint is full; evicted in favour of a smaller flow");
    }
    advance();
}

void EndpointPool::submitPinned(ConnectionId id, Ticket ticket, TimePoint deadline)
{
    const Connection *connection = findConnection(id);
    if (!connection || !connection->pinned) {
        ++stats_.refusedUnavailable;
        return reject(ticket, ErrorCode::NotFound, "transaction has ended or lost its connection");
    }
    const bool waits = std::any_of(pinnedQueue_.begin(), pinnedQueue_.end(),
                                   [&](const PinnedRequest &queued) { return queued.id == id; });
    if (connection->state != State::Pinned || waits) {
        return reject(ticket, ErrorCode::Conflict,
                      "transaction already has a statement in progress");
    }
    pinnedQueue_.push_back({id, ticket, deadline});
    advance();
}

void EndpointPool::cancel(Ticket ticket)
{
    if (queue_.remove(ticket))
        return;
    const auto queued =
        std::find_if(pinnedQueue_.begin(), pinnedQueue_.end(),
                     [&](const PinnedRequest &request) { return request.ticket == ticket; });
    if (queued != pinnedQueue_.end()) {
        if (Connection *connection = findConnection(queued->id))
            connection->stateSince = clock_.now();
        pinnedQueue_.erase(queued);
        return;
    }
    const auto running =
        std::find_if(connections_.begin(), connections_.end(),
                     [&](const Connection &connection) { return connection.ticket == ticket; });
    if (running == connections_.end())
        return;
    if (removeUntakenStart(ticket)) {
        running->pinned = running->wasPinned;
        enterState(*running, running->pinned ? State::Pinned : State::Idle);
    } else {
        recordServiceTime(*running);
        ++stats_.discarded;
        closeConnection(*running, true);
    }
    advance();
}

void EndpointPool::handleConnected(ConnectionId id)
{
    Connection *connection = findConnection(id);
    if (!connection || connection->state != State::Connecting) {
        ++stats_.staleEvents;
        return;
    }
    enterState(*connection, State::Idle);
    connectFailures_ = 0;
    nextConnectTime_ = TimePoint::min();
    advance();
}

void EndpointPool::handleConnectFailed(ConnectionId id, std::string_view reason)
{
    Connection *connection = findConnection(id);
    if (!connection || connection->state != State::Connecting) {
        ++stats_.staleEvents;
        return;
    }
    logEvent(Event::ConnectFailed, {{"endpoint", endpoint_.value()}, {"reason", reason}});
    recordConnectFailure(*connection);
    closeConnection(*connection, false);
    advance();
}

void EndpointPool::handleConnectionClosed(ConnectionId id)
{
    Connection *connection = findConnection(id);
    if (!connection) {
        ++stats_.staleEvents;
        return;
    }
    if (!connection->hasCompletedStatement)
        recordConnectFailure(*connection);
    closeConnection(*connection, false);
    advance();
}

void EndpointPool::finish(ConnectionId id, ConnectionDisposition disposition)
{
    Connection *connection = findConnection(id);
    if (!connection || connection->state != State::Running) {
        ++stats_.staleEvents;
        return;
    }
    recordServiceTime(*connection);
    if (disposition == ConnectionDisposition::Discard
        || (disposition == ConnectionDisposition::KeepPinned && !connection->pinned)) {
        // Backs off from an endpoint that accepts connections but refuses their first statement;
        // otherwise the pool would reconnect to it in a tight loop.
        if (!connection->hasCompletedStatement)
            recordConnectFailure(*connection);
        ++stats_.discarded;
        closeConnection(*connection, true);
    } else {
        connection->hasCompletedStatement = true;
        connection->pinned = disposition == ConnectionDisposition::KeepPinned;
        enterState(*connection, connection->pinned ? State::Pinned : State::Idle);
    }
    advance();
}

void EndpointPool::setLimits(const PoolLimits &limits)
{
    limits_ = limits;
    rejectAll(queue_.setLimit(limits_.queueLimit), "queue limit of the endpoint was lowered",
              &PoolStats::refusedFull);
    if (limits_.slots == 0 || limits_.maxConnections == 0)
        rejectAll(queue_.takeAll(), "endpoint has no capacity", &PoolStats::refusedUnavailable);
    advance();
}

void EndpointPool::setDraining(bool draining)
{
    if (draining == drainDeadline_.has_value())
        return;
    if (draining) {
        drainDeadline_ = clock_.now() + limits_.transactionDrainTimeout;
        rejectAll(queue_.takeAll(), "endpoint is draining", &PoolStats::refusedDraining);
    } else {
        drainDeadline_.reset();
    }
    advance();
}

void EndpointPool::tick()
{
    advance();
}

std::vector<PoolCommand> EndpointPool::takeCommands()
{
    return std::exchange(commands_, {});
}

PoolStats EndpointPool::stats() const
{
    PoolStats stats = stats_;
    stats.queued = queue_.size() + pinnedQueue_.size();
    stats.running = count(State::Running);
    stats.connecting = count(State::Connecting);
    stats.idle = count(State::Idle);
    stats.pinned = countPinned();
    stats.unreachable = unreachable_;
    return stats;
}

EndpointPool::Connection *EndpointPool::findConnection(ConnectionId id)
{
    if (id.index >= connections_.size())
        return nullptr;
    Connection &connection = connections_[id.index];
    const bool current =
        connection.state != State::Closed && connection.generation == id.generation;
    return current ? &connection : nullptr;
}

ConnectionId EndpointPool::idOf(const Connection &connection) const
{
    return {static_cast<std::uint32_t>(&connection - connections_.data()), connection.generation};
}

std::size_t EndpointPool::count(State state) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [&](const Connection &connection) { return connection.state == state; }));
}

std::size_t EndpointPool::countOpen() const
{
    return connections_.size() - count(State::Closed);
}

std::size_t EndpointPool::countPinned() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const Connection &connection) { return connection.pinned; }));
}

std::size_t EndpointPool::targetConnections() const
{
    if (!hasReceivedWork_ || drainDeadline_ || limits_.slots == 0)
        return 0;
    // Unpinned work needs at most one connection per slot. Pinned connections are added, since
    // they stay reserved while no statement runs on them.
    return std::min<std::size_t>(limits_.maxConnections, limits_.slots + countPinned());
}

std::size_t EndpointPool::maxPinnedConnections() const
{
    return std::max<std::size_t>(1, std::size_t{limits_.maxConnections} * limits_.maxPinnedPercent
                                        / 100);
}

bool EndpointPool::hasDrainTimedOut(TimePoint now) const
{
    return drainDeadline_ && now >= *drainDeadline_;
}

void EndpointPool::advance()
{
    expireQueued();
    expireConnects();
    expireTransactions();
    updateReachability();
    startPinnedRequests();
    startQueuedRequests();
    closeSurplusConnections();
    openConnections();
}

void EndpointPool::expireQueued()
{
    const TimePoint now = clock_.now();
    for (const Ticket ticket : queue_.takeExpired(now)) {
        ++stats_.refusedExpired;
        reject(ticket, ErrorCode::DeadlineExceeded, "deadline passed while waiting for a slot");
    }
    std::erase_if(pinnedQueue_, [&](const PinnedRequest &request) {
        if (request.deadline > now)
            return false;
        if (Connection *connection = findConnection(request.id))
            connection->stateSince = now;
        ++stats_.refusedExpired;
        reject(request.ticket, ErrorCode::DeadlineExceeded,
               "deadline passed while waiting for a slot");
        return true;
    });
}

void EndpointPool::expireConnects()
{
    const TimePoint now = clock_.now();
    for (Connection &connection : connections_) {
        if (connection.state != State::Connecting)
            continue;
        if (drainDeadline_) {
            closeConnection(connection, true);
        } else if (now - connection.stateSince >= limits_.connectTimeout) {
            recordConnectFailure(connection);
            closeConnection(connection, true);
        }
    }
}

void EndpointPool::expireTransactions()
{
    const TimePoint now = clock_.now();
    for (Connection &connection : connections_) {
        if (connection.state != State::Pinned)
            continue;
        const ConnectionId id = idOf(connection);
        const bool waits =
            std::any_of(pinnedQueue_.begin(), pinnedQueue_.end(),
                        [&](const PinnedRequest &request) { return request.id == id; });
        const bool idle = !waits && now - connection.stateSince >= limits_.idleTransactionTimeout;
        if (!idle && !hasDrainTimedOut(now))
            continue;
        logEvent(Event::TransactionClosed,
                 {{"endpoint", endpoint_.value()}, {"reason", idle ? "idle" : "draining"}});
        ++stats_.transactionsExpired;
        commands_.emplace_back(TransactionExpired{id});
        closeConnection(connection, true);
    }
}

void EndpointPool::closeSurplusConnections()
{
    const TimePoint now = clock_.now();
    while (count(State::Idle) > 0) {
        const auto oldest =
            std::min_element(connections_.begin(), connections_.end(),
                             [](const Connection &left, const Connection &right) {
                                 return std::pair(left.state != State::Idle, left.stateSince)
                                        < std::pair(right.state != State::Idle, right.stateSince);
                             });
        const bool surplus = countOpen() > targetConnections()
                             && now - oldest->stateSince >= limits_.idleConnectionTimeout;
        if (!drainDeadline_ && countOpen() <= limits_.maxConnections && !surplus)
            return;
        closeConnection(*oldest, true);
    }
}

void EndpointPool::updateReachability()
{
    // With an established connection the endpoint counts as reachable: it may have failed only to
    // accept further connections.
    const bool established = countOpen() > count(State::Connecting);
    const bool unreachable = connectFailures_ >= limits_.failuresUntilUnreachable && !established;
    if (unreachable != unreachable_) {
        unreachable_ = unreachable;
        logEvent(unreachable ? Event::EndpointUnreachable : Event::EndpointReachable,
                 {{"endpoint", endpoint_.value()}, {"failures", connectFailures_}});
    }
    if (unreachable_)
        rejectAll(queue_.takeAll(), "endpoint is unreachable", &PoolStats::refusedUnavailable);
}

void EndpointPool::startPinnedRequests()
{
    while (!pinnedQueue_.empty() && count(State::Running) < limits_.slots) {
        const PinnedRequest request = pinnedQueue_.front();
        pinnedQueue_.pop_front();
        start(*findConnection(request.id), request.ticket, true);
    }
}

void EndpointPool::startQueuedRequests()
{
    while (count(State::Running) < limits_.slots) {
        // Most recently used first, so that surplus connections stay idle and time out.
        const auto newest =
            std::max_element(connections_.begin(), connections_.end(),
                             [](const Connection &left, const Connection &right) {
                                 return std::pair(left.state == State::Idle, left.stateSince)
                                        < std::pair(right.state == State::Idle, right.stateSince);
                             });
        if (newest == connections_.end() || newest->state != State::Idle)
            return;
        const auto request = queue_.pop(countPinned() < maxPinnedConnections());
        if (!request)
            return;
        start(*newest, request->ticket, request->forTransaction);
    }
}

void EndpointPool::openConnections()
{
    const TimePoint now = clock_.now();
    while (countOpen() < targetConnections() && now >= nextConnectTime_) {
        // After a failure, one connection at a time probes whether the endpoint has recovered.
        if (connectFailures_ > 0 && count(State::Connecting) > 0)
            return;
        auto free = std::find_if(
            connections_.begin(), connections_.end(),
            [](const Connection &connection) { return connection.state == State::Closed; });
        if (free == connections_.end())
            free = connections_.emplace(connections_.end());
        const Generation generation(++lastGeneration_);
        checkInvariant(
            generation > free->generation, Event::InvariantBroken,
            {{"rule", "a connection generation is never reused"}, {"endpoint", endpoint_.value()}});
        *free = Connection{};
        free->generation = generation;
        free->openedAt = now;
        enterState(*free, State::Connecting);
        ++stats_.connectsStarted;
        commands_.emplace_back(OpenConnection{idOf(*free)});
    }
}

void EndpointPool::start(Connection &connection, Ticket ticket, bool forTransaction)
{
    checkInvariant(
        !connection.ticket, Event::InvariantBroken,
        {{"rule", "a connection runs one statement at a time"}, {"endpoint", endpoint_.value()}});
    connection.wasPinned = connection.pinned;
    connection.pinned = forTransaction;
    enterState(connection, State::Running);
    connection.ticket = ticket;
    checkInvariant(count(State::Running) <= limits_.slots, Event::InvariantBroken,
                   {{"rule", "no more statements run than the endpoint has slots"},
                    {"endpoint", endpoint_.value()}});
    ++stats_.started;
    commands_.emplace_back(StartStatement{ticket, idOf(connection)});
}

void EndpointPool::reject(Ticket ticket, ErrorCode code, std::string_view message)
{
    commands_.emplace_back(RejectStatement{ticket, Error{code, std::string(message)}});
}

void EndpointPool::rejectAll(const std::vector<Ticket> &tickets, std::string_view message,
                             std::uint64_t PoolStats::*counter)
{
    for (const Ticket ticket : tickets) {
        ++(stats_.*counter);
        reject(ticket, ErrorCode::Unavailable, message);
    }
}

bool EndpointPool::removeUntakenStart(Ticket ticket)
{
    return std::erase_if(commands_,
                         [&](const PoolCommand &command) {
                             const auto *pending = std::get_if<StartStatement>(&command);
                             return pending && pending->ticket == ticket;
                         })
           > 0;
}

void EndpointPool::enterState(Connection &connection, State state)
{
    connection.state = state;
    connection.stateSince = clock_.now();
    connection.ticket.reset();
}

void EndpointPool::closeConnection(Connection &connection, bool sendClose)
{
    const ConnectionId id = idOf(connection);
    // A StartStatement that takeCommands has not returned yet would refer to a closed connection.
    if (connection.ticket && removeUntakenStart(*connection.ticket)) {
        ++stats_.refusedUnavailable;
        reject(*connection.ticket, ErrorCode::Unavailable,
               "connection closed before the statement was sent");
    }
    std::erase_if(pinnedQueue_, [&](const PinnedRequest &request) {
        if (request.id != id)
            return false;
        ++stats_.refusedUnavailable;
        reject(request.ticket, ErrorCode::NotFound, "transaction lost its connection");
        return true;
    });
    enterState(connection, State::Closed);
    connection.pinned = false;
    if (sendClose)
        commands_.emplace_back(CloseConnection{id});
}

void EndpointPool::recordServiceTime(const Connection &connection)
{
    const std::chrono::nanoseconds elapsed = clock_.now() - connection.stateSince;
    if (stats_.meanServiceTime.count() == 0)
        stats_.meanServiceTime = elapsed;
    else
        stats_.meanServiceTime += (elapsed - stats_.meanServiceTime) / serviceTimeAverageDivisor;
}

void EndpointPool::recordConnectFailure(const Connection &connection)
{
    ++stats_.connectsFailed;
    // Connections opened before the last failure are assumed to fail for the same cause and are not
    // counted again.
    if (connection.openedAt <= lastConnectFailure_)
        return;
    const TimePoint now = clock_.now();
    lastConnectFailure_ = now;
    const std::uint32_t doublings = std::min(connectFailures_, maxBackoffDoublings);
    ++connectFailures_;
    nextConnectTime_ = now
                       + std::min(limits_.initialConnectBackoff * (std::int64_t{1} << doublings),
                                  limits_.maxConnectBackoff);
}

} // namespace pistachiowood
