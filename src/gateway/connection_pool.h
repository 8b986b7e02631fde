#ifndef PISTACHIOWOOD_GATEWAY_CONNECTION_POOL_H
#define PISTACHIOWOOD_GATEWAY_CONNECTION_POOL_H

#include "gateway/connection_budget.h"
#include "gateway/endpoint_connection.h"
#include "gateway/session_setup.h"
#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiowood {

class ConnectionPool;
class PooledConnection;

/// Uses a connection of a pool or waits for one.
class ConnectionUser
{
public:
    virtual ~ConnectionUser() = default;
    virtual void handleConnectionGranted(PooledConnection &connection) = 0;
    /// The pool cannot provide a connection; no statement was sent.
    virtual void handleConnectionRefused(ConnectionFailure failure) = 0;
    virtual void handleReply(StatementReply reply) = 0;
    /// The connection was closed; statements without a reply may have been executed.
    virtual void handleConnectionLost() = 0;
};

/// Load and reachability of one endpoint, as this daemon sees it.
struct ConnectionPoolHealth
{
    std::optional<TimePoint> lastReply;
    std::optional<TimePoint> failingSince; ///< start of the current failure, cleared by a reply
    Milliseconds latency{0}; ///< smoothed time from statement to reply
    std::size_t open = 0;
    std::size_t inUse = 0;
    std::size_t waiting = 0;
    std::size_t limit = 0; ///< connections in this daemon's share
    Milliseconds connectDelay{0}; ///< expected time to open the customer's first; 0 if one is open
};

/// One connection of a pool, opened for the sessions of one customer or for those without one. At
/// most one user has it at a time.
class PooledConnection final : public EndpointConnectionListener
{
public:
    PooledConnection(ConnectionPool &pool, std::uint64_t id, std::optional<CustomerName> customer);
    ~PooledConnection() override;

    void send(const SessionStatement &statement);
    ConnectionPool &pool() { return pool_; }
    std::size_t outstanding() const { return sendTimes_.size(); }

    EndpointSessionState sessionState; ///< state at the endpoint once all statements have replies

    void handleConnectionOpened(std::optional<TermPosition> position) override;
    void handleConnectionReply(StatementReply reply) override;
    void handleConnectionFailed(ConnectionFailure failure, const std::string &reason) override;

private:
    friend class ConnectionPool;
    enum class State { Opening, Idle, InUse, RollingBack };

    ConnectionPool &pool_;
    std::uint64_t id_;
    std::optional<CustomerName> customer_;
    std::unique_ptr<EndpointConnection> connection_;
    State state_ = State::Opening;
    ConnectionUser *user_ = nullptr;
    std::vector<TimePoint> sendTimes_; ///< of the statements without a reply, oldest first
    SessionPhase phase_ = SessionPhase::Idle;
    TimePoint lastSend_{};
    TimePoint idleSince_{};
    TimePoint grantedAt_{};
    TimePoint openedAt_{};
};

/// Connections of this daemon to one endpoint. While all are in use, requests for a connection are
/// queued by priority and then by deadline.
///
/// Load patterns that it answers, where connections serve one customer each:
/// - The connections of a small share are idle and belong to customers that send nothing now. The
///   one that has been idle longest is closed for a request of another customer.
/// - Requests of many customers wait for new connections. A request whose customer has an idle
///   connection is served before them.
/// - One customer uses the whole share all the time. A connection is closed after its use if a
///   request of a customer without any has waited for a while.
class ConnectionPool
{
public:
    /// Receives the log positions that the endpoint reports; `requestedAt` is when the statement
    /// was sent whose reply holds the position.
    using PositionHandler = std::function<void(TimePoint requestedAt, TermPosition position)>;
    using RequestId = std::uint64_t;

    ConnectionPool(EventLoop &loop, const Clock &clock, EndpointDialer &dialer,
                   ConnectionBudget budget, ServiceName service, EndpointView endpoint,
                   PositionHandler positionHandler);
    ~ConnectionPool();

    void setEndpoint(const EndpointView &endpoint) { endpoint_ = endpoint; }
    const EndpointView &endpoint() const { return endpoint_; }
    const ServiceName &service() const { return service_; }
    ConnectionBudget &budget() { return budget_; }

    struct Request
    {
        SessionVariables variables;
        unsigned priority = 0; ///< 0 is the highest
        TimePoint deadline;
        bool movable = false; ///< another endpoint may run it; refused early if this one is silent
        std::optional<CustomerName> customer; ///< whose connection is needed
        bool anyCustomer = false; ///< any open connection will do, as for status queries
    };
    /// Requests a connection. The user is called later, once, with the connection or the refusal;
    /// the request id is invalid from then on.
    RequestId acquire(ConnectionUser &user, Request request);
    void cancel(RequestId requestId);
    /// Returns a connection to the pool. It is closed if statements have no reply yet; an open
    /// transaction is rolled back before the connection is reused.
    void release(PooledConnection &connection);
    /// Closes a connection.
    void discard(PooledConnection &connection);
    /// Closes idle connections, fails connections that do not open in time, detects an endpoint
    /// that stopped replying and refuses requests past their deadline.
    void tick();
    /// Refuses all waiting users and closes all connections.
    void shutDown(ConnectionFailure failure);

    /// Expected wait for a connection, from the queue length and the mean time of use. None if the
    /// customer has an idle connection.
    Milliseconds expectedWait(unsigned priority, const std::optional<CustomerName> &customer) const;
    /// False while the endpoint is failing, or while no connection is open and connecting backs
    /// off.
    bool usable() const;
    ConnectionPoolHealth health(const std::optional<CustomerName> &customer = {}) const;

private:
    friend class PooledConnection;

    struct Waiter
    {
        RequestId requestId = 0;
        ConnectionUser *user = nullptr;
        SessionVariables variables;
        bool movable = false;
        std::optional<CustomerName> customer;
        bool anyCustomer = false;
        TimePoint since; ///< when the connection was requested
    };
    using WaiterKey = std::tuple<unsigned, TimePoint, RequestId>;

    void openConnections();
    std::vector<std::optional<CustomerName>> customersWithoutConnection(std::size_t max) const;
    void open(const std::optional<CustomerName> &customer);
    bool makeRoom(const std::optional<CustomerName> &customer, std::size_t limit);
    bool mustYield(const PooledConnection &connection) const;
    bool hasEstablishedConnection() const;
    bool hasConnectionOf(const std::optional<CustomerName> &customer) const;
    std::size_t countInState(PooledConnection::State state) const;
    void moveWaitersOfSilentEndpoint();
    void serveWaiters();
    void postServeWaiters(); ///< posts serveWaiters() to the event loop
    PooledConnection *findIdle(const Waiter &waiter);
    void grant(PooledConnection &connection, ConnectionUser &user);
    void refuseWaiters(ConnectionFailure failure);
    void removeConnection(std::uint64_t id);
    void handleOpened(PooledConnection &connection, std::optional<TermPosition> position);
    void handleReply(PooledConnection &connection, StatementReply reply);
    void handleFailed(PooledConnection &connection, ConnectionFailure failure,
                      const std::string &reason);
    void recordFailure();
    void recordReply(TimePoint sentAt);
    TimePoint dialBlockedUntil() const;

    EventLoop &loop_;
    const Clock &clock_;
    EndpointDialer &dialer_;
    ServiceName service_;
    EndpointView endpoint_;
    PositionHandler positionHandler_;
    ConnectionBudget budget_;
    double meanUseMs_ = 0; ///< smoothed time from grant to release of a connection
    std::uint64_t lastConnectionId_ = 0;
    RequestId lastRequestId_ = 0;
    std::map<std::uint64_t, std::unique_ptr<PooledConnection>> connections_;
    std::map<WaiterKey, Waiter> waiters_;
    std::optional<TimePoint> lastReply_;
    std::optional<TimePoint> failingSince_;
    TimePoint dialBlockedUntil_{};
    unsigned dialFailures_ = 0;
    double latencyMs_ = 0;
    double handshakeMs_ = 0; ///< smoothed time to open a connection
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
