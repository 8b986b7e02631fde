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

/// Holds a connection of a pool, or waits for one.
class LinkUser
{
public:
    virtual ~LinkUser() = default;
    virtual void handleLinkGranted(PooledLink &link) = 0;
    /// The pool cannot provide a connection; nothing was sent.
    virtual void handleLinkRefused(LinkFailure failure) = 0;
    virtual void handleReply(StatementReply reply) = 0;
    /// The connection has ended; statements without a reply may have been executed.
    virtual void handleLinkLost() = 0;
};

/// Load and reachability of one endpoint, as this daemon sees it.
struct LinkPoolHealth
{
    std::optional<TimePoint> lastReply;
    std::optional<TimePoint> failingSince; ///< no reply since, although one was due
    Milliseconds latency{0}; ///< smoothed time from statement to reply
    std::size_t open = 0;
    std::size_t inUse = 0;
    std::size_t waiting = 0;
    std::size_t limit = 0;
};

/// One connection of a pool, while a user holds it.
class PooledLink final : public EndpointLinkListener
{
public:
    PooledLink(LinkPool &pool, std::uint64_t id);
    ~PooledLink() override;

    void send(const SessionStatement &statement);
    LinkPool &pool() { return pool_; }
    std::size_t outstanding() const { return outstanding_; }

    LinkSessionState sessionState; ///< what the endpoint holds once all statements have replies

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

/// Connections of this daemon to one endpoint. Statements wait here while all are in use, ordered
/// by priority and then by deadline.
class LinkPool
{
public:
    /// Receives positions that the endpoint reported.
    using PositionHandler = std::function<void(TimePoint askedAt, TermPosition position)>;
    using Ticket = std::uint64_t;

    LinkPool(EventLoop &loop, const Clock &clock, EndpointDialer &dialer, ServiceName service,
             EndpointView endpoint, PositionHandler positions);
    ~LinkPool();

    void setEndpoint(const EndpointView &endpoint) { endpoint_ = endpoint; }
    const EndpointView &endpoint() const { return endpoint_; }
    const ServiceName &service() const { return service_; }
    /// Connections that this daemon may keep while they are idle, and the multiple of that, or of
    /// one, that it may open while others leave theirs unused.
    void setLimit(std::size_t share, std::size_t borrowFactor);

    /// Grants a connection, at once or later, or refuses it. The ticket ends with either.
    Ticket acquire(LinkUser &user, const SessionVariables &variables, unsigned priority,
                   TimePoint deadline);
    void cancel(Ticket ticket);
    /// Returns a connection; one with statements outstanding is closed, one inside a transaction
    /// is rolled back first.
    void release(PooledLink &link);
    /// Closes a connection.
    void discard(PooledLink &link);
    /// Closes connections that have been idle for too long and expires waiting users.
    void tick();
    /// Refuses all waiting users and closes all connections.
    void shutDown(LinkFailure failure);

    /// Expected wait for a connection of a new user, from the time that users hold one.
    Milliseconds expectedWait(unsigned priority) const;
    /// True unless connecting has failed a short while ago.
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
    void serveWaitersSoon(); ///< after the current event
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
    std::size_t kept_ = 1; ///< none when daemons outnumber the connections
    std::size_t share_ = 1;
    std::size_t most_ = 1;
    TimePoint borrowBlockedUntil_{};
    double holdMs_ = 0; ///< smoothed time for which a user holds a connection
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
