#ifndef PISTACHIOWOOD_GATEWAY_GATEWAY_H
#define PISTACHIOWOOD_GATEWAY_GATEWAY_H

#include "base/log_events.h"
#include "gateway/caller_session.h"
#include "gateway/gateway_context.h"
#include "gateway/position_wait.h"
#include "gateway/session_refusals.h"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Reachability and newest known log position of one primary, as observed by this daemon.
struct PrimaryReachability
{
    ServiceName service;
    EndpointId endpoint;
    std::optional<TimePoint> lastReply;
    std::optional<TimePoint> failingSince;
    std::uint64_t primaryEpoch = 0;
    std::optional<PositionHistory::Sample> newestPosition;
};

/// What a caller asks for when it starts a session.
struct SessionRequest
{
    std::string database;
    std::string key; ///< a secret; empty if the caller sent none
};

/// Sessions of callers and pooled connections to endpoints of one traffic thread. All functions
/// must be called in the thread of the event loop.
class Gateway final : private GatewayContext
{
public:
    using StatusCallback = std::function<void(std::optional<ReplicationStatus>)>;
    using ReachabilityHandler = std::function<void(std::vector<PrimaryReachability>)>;
    using SessionId = std::uint64_t;
    using SessionOutcome = std::variant<SessionId, SessionRefusal>;

    Gateway(EventLoop &loop, const Clock &clock, RandomSource &random, EndpointDialer &dialer);
    ~Gateway() override;

    /// Starts the periodic work. Every 100 ms the handler receives the state of all primaries.
    void start(ReachabilityHandler handler);

    /// Replaces the view, updates the pools and resumes waiting statements.
    void setView(std::shared_ptr<const DeploymentView> view);
    /// Permits the use of the view's primaries until this time. An earlier time has no effect.
    void permitPrimaries(TimePoint until);

    /// Records a position that the primary of this epoch reported to another daemon.
    void recordPeerPosition(const ServiceName &service, std::uint64_t primaryEpoch,
                            PositionHistory::Sample sample);
    /// Admits operations of customers.
    OperationAdmission &admission() override { return admission_; }
    /// Whether this daemon sends status queries to primaries that it has no traffic with; its peers
    /// use the results too.
    void setProbing(bool probing) { probing_ = probing; }

    /// True once a configuration is known. Before that no database may be refused as unknown.
    bool configured() const { return view_->configurationVersion != 0; }
    /// Whether openSession() may be called. Until then, requests for sessions wait.
    bool answersSessions() const { return configured() || stopping_; }
    /// Opens a session with a database. Refused if the database has no route, or if its route needs
    /// a key and the caller's belongs to no customer.
    SessionOutcome openSession(const SessionRequest &request, CallerChannel &channel);
    void handleStatement(SessionId session, SessionStatement statement);
    void closeSession(SessionId session);
    /// Whether the session runs a statement; further ones are best kept until it has replied.
    bool isBusy(SessionId session) const;
    /// Number of sessions that run a statement.
    std::size_t runningStatements() const;
    /// Memory that the session holds for its caller.
    std::size_t heldBytes(SessionId session) const;
    /// Bounds the variables and prepared statements of each session that is opened later.
    void setMaxSessionStateBytes(std::size_t bytes) { maxSessionStateBytes_ = bytes; }

    /// Sends a Status or Demote statement. The callback receives nullopt if no valid reply arrives
    /// before the timeout.
    void queryStatus(const ServiceName &service, const EndpointId &endpoint,
                     SessionStatement statement, Milliseconds timeout, StatusCallback callback);

    /// Closes idle sessions now and each other session when it becomes idle.
    void startDrain();
    /// Aborts open transactions, after the running statement if there is one, and closes the
    /// sessions.
    void abortTransactions();
    /// Answers all running statements with what is known of them and closes the sessions. Further
    /// sessions and statements are refused: no statement of a caller reaches an endpoint any more.
    void abandonStatements();

private:
    class StatusQuery;
    struct ServiceState
    {
        PositionHistory positions;
        PositionWait positionWait;
        TimePoint epochSince{}; ///< when the primary epoch of the view began
        bool loggedEarlyPosition = false; ///< in this epoch
        std::map<EndpointId, std::unique_ptr<ConnectionPool>> pools;
    };

    EventLoop &loop() override { return loop_; }
    const Clock &clock() const override { return clock_; }
    const DeploymentView &view() const override { return *view_; }
    const ServiceView *findService(const ServiceName &service) const override;
    ConnectionPool *findPool(const ServiceName &service, const EndpointId &endpoint) override;
    const PositionHistory &positions(const ServiceName &service) override;
    bool awaitPosition(const ServiceName &service) override;
    ReplicaLag &replicaLag(const EndpointId &endpoint) override;
    bool primariesPermitted() const override;
    TimePoint permissionExpiredAt() const override { return permittedUntil_; }
    TimePoint firstViewAt() const override { return firstViewAt_; }

    void updatePools(const ServiceView &service, ServiceState &state);
    void recordPrimaryPosition(const ServiceView &service, PositionHistory::Sample sample,
                               std::string_view source);
    void logPosition(Event event, const ServiceView &service, const PositionHistory::Sample &sample,
                     std::string_view source) const;
    /// Records a position that an endpoint reported. It counts for the role that the endpoint had
    /// when the request was sent.
    void recordPosition(const ServiceName &service, const EndpointId &endpoint,
                        TimePoint requestedAt, TermPosition position);
    void forEachSession(const std::function<void(CallerSession &)> &function);
    void resumeSessions();
    void endSessionsNotEntitled();
    SessionRefusal refuseSession(SessionRefusals::Reason reason);
    void tick();
    void logPools() const;
    void probeEndpoints(const ServiceView &service, ServiceState &state);

    EventLoop &loop_;
    const Clock &clock_;
    RandomSource &random_;
    EndpointDialer &dialer_;
    TimePoint startedAt_;
    std::shared_ptr<const DeploymentView> view_ = std::make_shared<DeploymentView>();
    TimePoint permittedUntil_{};
    TimePoint firstViewAt_{};
    std::map<ServiceName, ServiceState> services_;
    OperationAdmission admission_;
    std::map<EndpointId, ReplicaLag> replicaLags_;
    std::unordered_map<SessionId, std::unique_ptr<CallerSession>> sessions_;
    std::map<std::uint64_t, std::unique_ptr<StatusQuery>> queries_;
    std::map<EndpointId, TimePoint> lastProbe_;
    SessionId lastSession_ = 0;
    std::size_t maxSessionStateBytes_ = std::numeric_limits<std::size_t>::max();
    std::uint64_t lastQuery_ = 0;
    SessionRefusals refusals_;
    bool draining_ = false;
    bool stopping_ = false; ///< abandonStatements() was called
    bool probing_ = true;
    unsigned ticks_ = 0;
    ReachabilityHandler reachabilityHandler_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
