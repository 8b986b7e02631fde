#ifndef PISTACHIOWOOD_GATEWAY_LINK_POOL_H
#define PISTACHIOWOOD_GATEWAY_LINK_POOL_H

#include "gateway/endpoint_link.h"
#include "gateway/link_prelude.h"
#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiowood {

class LinkPool;
class PooledLink;

/// Uses a connection of a pool or waits for one.
class LinkUser
{
public:
    virtual ~LinkUser() = default;
    virtual void handleLinkGranted(PooledLink &link) = 0;
    /// The pool cannot provide a connection; no statement was sent.
    virtual void handleLinkRefused(LinkFailure failure) = 0;
    virtual void handleReply(StatementReply reply) = 0;
    /// The connection was closed; statements without a reply may have been executed.
    virtual void handleLinkLost() = 0;
};

/// Load and reachability of one endpoint, as this daemon sees it.
struct LinkPoolHealth
{
    std::optional<TimePoint> lastReply;
    std::optional<TimePoint> failingSince; ///< start of the current failure, cleared by a reply
    Milliseconds latency{0}; ///< smoothed time from statement to reply
    std::size_t open = 0;
    std::size_t inUse = 0;
    std::size_t waiting = 0;
    std::size_t limit = 0; ///< connections in this daemon's share
};

/// One connection of a pool. At most one user has it at a time.
class PooledLink final : public EndpointLinkListener
{
public:
    PooledLink(LinkPool &pool, std::uint64_t id);
    ~PooledLink() override;

    void send(const SessionStatement &statement);
    LinkPool &pool() { return pool_; }
    std::size_t outstanding() const { return outstanding_; }

    LinkSessionState sessionState; ///< state at the endpoint once all statements have replies

    void handleLinkOpened(std::optional<TermPosition> position) override;
    void handleLinkReply(StatementReply reply) override;
    void handleLinkFailed(LinkFailure failure, const std::string &reason) override;

private:
    friend class LinkPool;
    enum class State { Opening, Idle, InUse, RollingBack };

    LinkPool &pool_;
    std::uint64_t id_;
    std::unique_ptr<EndpointLink> link_;
    State state_ = State::Opening;
    LinkUser *user_ = nullptr;
    std::size_t outstanding_ = 0;
    SessionPhase phase_ = SessionPhase::Idle;
    TimePoint lastSend_{};
    TimePoint idleSince_{};
    TimePoint grantedAt_{};
};

/// Connections of this daemon to one endpoint. While all are in use, requests for a connection are
/// queued by priority and then by deadline.
class LinkPool
{
public:
    /// Receives the log positions that the endpoint reports; `askedAt` is when the statement was
    /// sent whose reply holds the position.
    using PositionHandler = std::function<void(TimePoint askedAt, TermPosition position)>;
    using Ticket = std::uint64_t;

    LinkPool(EventLoop &loop, const Clock &clock, EndpointDialer &dialer, ServiceName service,
             EndpointView endpoint, PositionHandler positions);
    ~LinkPool();

    void setEndpoint(const EndpointView &endpoint) { endpoint_ = endpoint; }
    const EndpointView &endpoint() const { return endpoint_; }
    const ServiceName &service() const { return service_; }
    /// Sets this daemon's share of the endpoint's connections, which it may keep open while idle.
    /// It may open `borrowFactor` times the share, at least `borrowFactor`, as long as the endpoint
    /// accepts them: other daemons may leave theirs unused.
    void setLimit(std::size_t share, std::size_t borrowFactor);

    /// Requests a connection. The user is called later, once, with the connection or the refusal;
    /// the ticket is invalid from then on.
    Ticket acquire(LinkUser &user, const SessionVariables &variables, unsigned priority,
                   TimePoint deadline);
    void cancel(Ticket ticket);
    /// Returns a connection to the pool. It is closed if statements have no reply yet; an open
    /// transaction is rolled back before the connection is reused.
    void release(PooledLink &link);
    /// Closes a connection.
    void discard(PooledLink &link);
    /// Closes idle connections, fails connections that do not open in time, detects an endpoint
    /// that stopped replying and refuses requests past their deadline.
    void tick();
    /// Refuses all waiting users and closes all connections.
    void shutDown(LinkFailure failure);

    /// Expected wait for a connection, from the queue length and the mean time of use.
    Milliseconds expectedWait(unsigned priority) const;
    /// False while the endpoint is failing, or while no connection is open and connecting backs
    /// off.
    bool usable() const;
    LinkPoolHealth health() const;

private:
    friend class PooledLink;

    struct Waiter
    {
        Ticket ticket = 0;
        LinkUser *user = nullptr;
        SessionVariables variables;
    };
    using WaiterKey = std::tuple<unsigned, TimePoint, Ticket>;

    void openLinks();
    std::size_t limit() const;
    void serveWaiters();
    void serveWaitersSoon(); ///< posts serveWaiters() to the event loop
    PooledLink *findIdle(const SessionVariables &variables);
    void grant(PooledLink &link, LinkUser &user);
    void refuseWaiters(LinkFailure failure);
    void removeLink(std::uint64_t id);
    void handleOpened(PooledLink &link, std::optional<TermPosition> position);
    void handleReply(PooledLink &link, StatementReply reply);
    void handleFailed(PooledLink &link, LinkFailure failure, const std::string &reason);
    void noteFailure();
    void noteReply(TimePoint sentAt);

    EventLoop &loop_;
    const Clock &clock_;
    EndpointDialer &dialer_;
    ServiceName service_;
    EndpointView endpoint_;
    PositionHandler positions_;
    std::size_t kept_ = 1; ///< kept while idle; 0 if there are more daemons than connections
    std::size_t share_ = 1; ///< share of the endpoint's connections, at least 1
    std::size_t most_ = 1; ///< share and borrowed connections together
    TimePoint borrowBlockedUntil_{};
    double holdMs_ = 0; ///< smoothed time from grant to release of a connection
    std::uint64_t lastLink_ = 0;
    Ticket lastTicket_ = 0;
    std::map<std::uint64_t, std::unique_ptr<PooledLink>> links_;
    std::map<WaiterKey, Waiter> waiters_;
    std::optional<TimePoint> lastReply_;
    std::optional<TimePoint> failingSince_;
    TimePoint dialBlockedUntil_{};
    unsigned dialFailures_ = 0;
    double latencyMs_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
