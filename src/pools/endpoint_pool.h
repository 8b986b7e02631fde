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

struct PoolLimits
{
    std::uint32_t slots = 1; ///< statements that run at once
    std::uint32_t maxConnections = 24; ///< 30 of the endpoint less 6 that other daemons may use
    std::uint32_t queueLimit = 256;
    std::uint32_t pinnedPercent = 50; ///< share of the connections that transactions may hold
    std::uint32_t failuresUntilUnreachable = 3;
    Milliseconds connectTimeout{500}; ///< a connect takes about 12 ms and at most 16 ms of travel
    Milliseconds connectBackoff{50}; ///< doubles with each failure in a row
    Milliseconds connectBackoffCap{2000};
    Milliseconds idleConnectionTimeout{30000};
    Milliseconds idleTransactionTimeout{10000};
    Milliseconds drainLimit{10000}; ///< transactions may continue this long while draining
};

/// One use of a connection; events that carry an older generation are ignored.
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

struct OpenConnection
{
    ConnectionId id;
};
struct CloseConnection
{
    ConnectionId id;
};
/// Run the ticket's statement on this connection, then call finish.
struct Start
{
    Ticket ticket;
    ConnectionId id;
};
/// The ticket's statement was not run.
struct Reject
{
    Ticket ticket;
    Error error;
};
/// The pool ends the transaction on this connection; CloseConnection follows.
struct TransactionExpired
{
    ConnectionId id;
};
using PoolCommand =
    std::variant<OpenConnection, CloseConnection, Start, Reject, TransactionExpired>;

/// What becomes of a connection after a statement.
enum class Finish {
    Reusable,
    Discard, ///< its state is uncertain or its peer misbehaved
    KeepPinned, ///< a transaction on it is still open
};

/// Current sizes and totals since the start, for metrics.
struct PoolStats
{
    std::size_t queued = 0; ///< with the statements of transactions
    std::size_t running = 0;
    std::size_t connecting = 0;
    std::size_t idle = 0;
    std::size_t pinned = 0; ///< held by transactions, running or not
    bool unreachable = false;
    std::chrono::nanoseconds meanServiceTime{0};

    std::uint64_t started = 0;
    std::uint64_t refusedFull = 0; ///< with evicted entries
    std::uint64_t refusedEarly = 0; ///< the expected wait exceeded the remaining time
    std::uint64_t refusedExpired = 0;
    std::uint64_t refusedUnavailable = 0;
    std::uint64_t refusedDraining = 0;
    std::uint64_t connectsStarted = 0;
    std::uint64_t connectsFailed = 0;
    std::uint64_t discarded = 0;
    std::uint64_t transactionsExpired = 0;
    std::uint64_t staleEvents = 0;
};

/// Decides which work runs on which connection of one endpoint. Events go in through the member
/// functions, commands come out of takeCommands. Each submitted ticket that is not cancelled
/// results in exactly one Start or Reject.
class EndpointPool
{
public:
    /// The endpoint's id appears in log lines only.
    EndpointPool(const PoolLimits &limits, const Clock &clock, EndpointId endpoint = {});

    void submit(const PoolRequest &request);
    /// Submits a further statement of the transaction that holds this connection. Goes before
    /// unpinned work because the transaction holds locks. One statement at a time per transaction.
    void submitPinned(ConnectionId id, Ticket ticket, TimePoint deadline);
    /// Removes a queued ticket without a command; discards the connection of a running one.
    void cancel(Ticket ticket);

    void handleConnected(ConnectionId id);
    void handleConnectFailed(ConnectionId id, std::string_view reason);
    /// The peer closed the connection; the owner of a running statement settles its outcome.
    void handleConnectionClosed(ConnectionId id);
    void finish(ConnectionId id, Finish how);

    void setLimits(const PoolLimits &limits);
    void setDraining(bool draining);
    /// Handles everything that depends on time; call it every few tens of milliseconds.
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
        bool pinned = false; ///< held by a transaction, running or not
        bool pinnedBefore = false; ///< pinned before the running statement started
        bool proven = false; ///< has completed a statement
        TimePoint openedAt;
        TimePoint since; ///< start of the current state
    };
    struct PinnedRequest
    {
        ConnectionId id;
        Ticket ticket;
        TimePoint deadline;
    };

    Connection *find(ConnectionId id);
    ConnectionId idOf(const Connection &connection) const;
    std::size_t count(State state) const;
    std::size_t countOpen() const;
    std::size_t countPinned() const;
    std::size_t targetConnections() const;
    std::size_t maxPinned() const;
    bool isDrained(TimePoint now) const;

    void advance();
    void expireQueued();
    void expireConnects();
    void expireTransactions();
    void closeSurplus();
    void updateReachability();
    void startPinned();
    void startQueued();
    void openConnections();

    void start(Connection &connection, Ticket ticket, bool forTransaction);
    void reject(Ticket ticket, ErrorCode code, std::string_view message);
    void rejectAll(const std::vector<Ticket> &tickets, std::string_view message,
                   std::uint64_t PoolStats::*counter);
    bool dropPendingStart(Ticket ticket);
    void enter(Connection &connection, State state);
    void release(Connection &connection, bool sendClose);
    void recordServiceTime(const Connection &connection);
    void recordFailure(const Connection &connection);

    PoolLimits limits_;
    const Clock &clock_;
    EndpointId endpoint_;
    FairQueue queue_;
    std::deque<PinnedRequest> pinnedQueue_;
    std::vector<Connection> connections_;
    std::vector<PoolCommand> commands_;
    std::uint64_t lastGeneration_ = 0;
    bool used_ = false;
    bool unreachable_ = false;
    std::optional<TimePoint> drainDeadline_;
    std::uint32_t failures_ = 0; ///< connect failures in a row
    TimePoint lastFailure_ = TimePoint::min();
    TimePoint nextConnect_ = TimePoint::min();
    PoolStats stats_;
};

} // namespace pistachiowood

#endif
