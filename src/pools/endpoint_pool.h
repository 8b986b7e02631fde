#ifndef PISTACHIOWOOD_POOLS_ENDPOINT_POOL_H
#define PISTACHIOWOOD_POOLS_ENDPOINT_POOL_H

#include "pools/fair_queue.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Limits and timeouts of the pool of one endpoint.
struct PoolLimits
{
    std::uint32_t slots = 1; ///< statements that may run at once
    std::uint32_t maxConnections = 24; ///< 30 of the endpoint less 6 reserved for other daemons
    std::uint32_t queueLimit = 256; ///< excludes further statements of open transactions
    std::uint32_t maxPinnedPercent = 50; ///< share of maxConnections that transactions may pin
    std::uint32_t failuresUntilUnreachable = 3; ///< consecutive connect failures
    Milliseconds connectTimeout{500}; ///< usual: about 12 ms plus at most 16 ms of network delay
    Milliseconds initialConnectBackoff{50}; ///< each consecutive failure doubles it
    Milliseconds maxConnectBackoff{2000};
    Milliseconds idleConnectionTimeout{30000}; ///< closes connections beyond the needed number
    Milliseconds idleTransactionTimeout{10000}; ///< ends transactions without a statement
    Milliseconds transactionDrainTimeout{10000}; ///< ends open transactions of a drained endpoint
};

/// Identifies one connection. A closed connection's index is reused with a new generation, and
/// events that carry an older generation are ignored.
struct ConnectionId
{
    std::uint32_t index = 0;
    Generation generation;

    friend bool operator==(const ConnectionId &, const ConnectionId &) = default;
    // Not defaulted: clang-tidy's modernize-use-nullptr reports the 0 in the generated body.
    friend auto operator<=>(const ConnectionId &left, const ConnectionId &right)
    {
        return std::tie(left.index, left.generation) <=> std::tie(right.index, right.generation);
    }
};

/// Command: connect, then call handleConnected or handleConnectFailed.
struct OpenConnection
{
    ConnectionId id;
};
/// Command: close the connection without reporting it back.
struct CloseConnection
{
    ConnectionId id;
};
/// Command: run the ticket's statement on this connection, then call finish.
struct StartStatement
{
    Ticket ticket;
    ConnectionId id;
};
/// Command: answer the ticket with this error; its statement was not run.
struct RejectStatement
{
    Ticket ticket;
    Error error;
};
/// Notification: the pool ends the transaction on this connection; CloseConnection follows.
struct TransactionExpired
{
    ConnectionId id;
};
using PoolCommand = std::variant<OpenConnection, CloseConnection, StartStatement, RejectStatement,
                                 TransactionExpired>;

/// What the pool does with a connection after a statement.
enum class ConnectionDisposition {
    Reuse,
    Discard, ///< closed: its state is unknown or the endpoint broke the protocol
    KeepPinned, ///< stays reserved for the transaction that is open on it
};

/// Current sizes and totals since the start, for metrics.
struct PoolStats
{
    std::size_t queued = 0; ///< includes further statements of transactions
    std::size_t running = 0;
    std::size_t connecting = 0;
    std::size_t idle = 0;
    std::size_t pinned = 0; ///< reserved for transactions, running or not
    bool unreachable = false;
    std::chrono::nanoseconds meanServiceTime{0};

    std::uint64_t started = 0;
    std::uint64_t refusedFull = 0; ///< includes evicted entries
    std::uint64_t refusedEarly = 0; ///< the expected wait exceeded the remaining time
    std::uint64_t refusedExpired = 0;
    std::uint64_t refusedUnavailable = 0; ///< unreachable, no capacity or connection lost
    std::uint64_t refusedDraining = 0;
    std::uint64_t connectsStarted = 0;
    std::uint64_t connectsFailed = 0;
    std::uint64_t discarded = 0; ///< connections closed because of Discard or cancel
    std::uint64_t transactionsExpired = 0;
    std::uint64_t staleEvents = 0; ///< events that no longer matched a connection
};

/// Connection pool and scheduler of one endpoint, without I/O. The owner reports events through the
/// member functions and carries out the commands that takeCommands returns. Each submitted ticket
/// that is not cancelled results in exactly one StartStatement or RejectStatement.
class EndpointPool
{
public:
    /// The endpoint's id appears in log lines only.
    EndpointPool(const PoolLimits &limits, const Clock &clock, EndpointId endpoint = {});

    void submit(const PoolRequest &request);
    /// Submits a further statement of the transaction that pins this connection. It is scheduled
    /// before unpinned work because the transaction holds locks. A statement submitted while the
    /// transaction's previous one is in progress is rejected with Conflict.
    void submitPinned(ConnectionId id, Ticket ticket, TimePoint deadline);
    /// Removes a queued ticket, or its StartStatement if that was not taken yet; otherwise closes
    /// the connection on which the ticket runs. The ticket gets no RejectStatement.
    void cancel(Ticket ticket);

    void handleConnected(ConnectionId id);
    void handleConnectFailed(ConnectionId id, std::string_view reason);
    /// Reports that the endpoint closed the connection. The outcome of a statement that was running
    /// on it is decided by the pool's owner.
    void handleConnectionClosed(ConnectionId id);
    void finish(ConnectionId id, ConnectionDisposition disposition);

    void setLimits(const PoolLimits &limits);
    void setDraining(bool draining);
    /// Applies deadlines, timeouts and backoff; call it every few tens of milliseconds.
    void tick();

    std::vector<PoolCommand> takeCommands();
    PoolStats stats() const;

private:
    enum class State { Closed, Connecting, Idle, Running, Pinned };
    struct Connection
    {
        State state = State::Closed;
        Generation generation;
        std::optional<Ticket> ticket; ///< running statement
        bool pinned = false; ///< reserved for a transaction, running or not
        bool wasPinned = false; ///< value of pinned when the running statement started
        bool hasCompletedStatement = false;
        TimePoint openedAt;
        TimePoint stateSince;
    };
    struct PinnedRequest
    {
        ConnectionId id;
        Ticket ticket;
        TimePoint deadline;
    };

    Connection *findConnection(ConnectionId id);
    ConnectionId idOf(const Connection &connection) const;
    std::size_t count(State state) const;
    std::size_t countOpen() const;
    std::size_t countPinned() const;
    std::size_t targetConnections() const;
    std::size_t maxPinnedConnections() const;
    bool hasDrainTimedOut(TimePoint now) const;

    /// Applies all state changes that are due at the current time.
    void advance();
    void expireQueued();
    void expireConnects();
    void expireTransactions();
    void closeSurplusConnections();
    void updateReachability();
    void startPinnedRequests();
    void startQueuedRequests();
    void openConnections();

    void start(Connection &connection, Ticket ticket, bool forTransaction);
    void reject(Ticket ticket, ErrorCode code, std::string_view message);
    void rejectAll(const std::vector<Ticket> &tickets, std::string_view message,
                   std::uint64_t PoolStats::*counter);
    /// Returns false if takeCommands has already returned the ticket's StartStatement.
    bool removeUntakenStart(Ticket ticket);
    void enterState(Connection &connection, State state);
    void closeConnection(Connection &connection, bool sendClose);
    void recordServiceTime(const Connection &connection);
    void recordConnectFailure(const Connection &connection);

    PoolLimits limits_;
    const Clock &clock_;
    EndpointId endpoint_;
    FairQueue queue_;
    std::deque<PinnedRequest> pinnedQueue_;
    std::vector<Connection> connections_;
    std::vector<PoolCommand> commands_;
    std::uint64_t lastGeneration_ = 0;
    bool hasReceivedWork_ = false;
    bool unreachable_ = false;
    std::optional<TimePoint> drainDeadline_;
    std::uint32_t connectFailures_ = 0; ///< consecutive connect failures
    TimePoint lastConnectFailure_ = TimePoint::min();
    TimePoint nextConnectTime_ = TimePoint::min();
    PoolStats stats_;
};

} // namespace pistachiowood

#endif
