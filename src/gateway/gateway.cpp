#include "gateway/gateway.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds tickInterval{100};
constexpr unsigned ticksPerPoolLog = 10; // ticks between two log entries of the pools, 1 s
// A primary that has not replied for this long is sent a status query. This keeps its known
// position newer than the smallest maximum staleness (1.5 s) and detects its failure.
constexpr Milliseconds primaryProbeInterval{500};
constexpr Milliseconds failingProbeInterval{300}; // of any endpoint while it is failing
constexpr Milliseconds probeTimeout{1000};
constexpr unsigned probePriority = 0;

} // namespace

/// One Status or Demote statement on a pooled connection.
class Gateway::StatusQuery final : public ConnectionUser
{
public:
    StatusQuery(Gateway &gateway, std::uint64_t id, SessionStatement statement,
                StatusCallback callback)
        : gateway_(gateway)
        , id_(id)
        , statement_(std::move(statement))
        , callback_(std::move(callback))
    {
    }

    ~StatusQuery() override
    {
        gateway_.loop_.cancelTimer(timer_);
        if (requestId_ != 0 && pool_)
            pool_->cancel(requestId_);
        if (connection_)
            connection_->pool().release(*connection_);
    }

    void start(ConnectionPool &pool, Milliseconds timeout)
    {
        pool_ = &pool;
        timer_ = gateway_.loop_.startTimer(timeout, [this] { finish(std::nullopt); });
        requestId_ = pool.acquire(*this, {.priority = probePriority,
                                          .deadline = gateway_.clock_.now() + timeout,
                                          .anyCustomer = true});
    }

    void handleConnectionGranted(PooledConnection &connection) override
    {
        requestId_ = 0;
        connection_ = &connection;
        connection.send(statement_);
    }

    void handleConnectionRefused(ConnectionFailure) override
    {
        requestId_ = 0;
        finish(std::nullopt);
    }

    void handleReply(StatementReply reply) override
    {
        finish(reply.succeeded() ? gateway_.dialer_.decodeStatus(reply) : std::nullopt);
    }

    void handleConnectionLost() override
    {
        connection_ = nullptr;
        finish(std::nullopt);
    }

private:
    void finish(std::optional<ReplicationStatus> status)
    {
        const auto self = std::move(gateway_.queries_.extract(id_).mapped());
        gateway_.loop_.post([callback = std::move(callback_), status] { callback(status); });
    }

    Gateway &gateway_;
    std::uint64_t id_;
    SessionStatement statement_;
    StatusCallback callback_;
    ConnectionPool *pool_ = nullptr;
    ConnectionPool::RequestId requestId_ = 0;
    PooledConnection *connection_ = nullptr;
    TimerId timer_ = 0;
};

Gateway::Gateway(EventLoop &loop, const Clock &clock, RandomSource &random, EndpointDialer &dialer)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , dialer_(dialer)
    , startedAt_(clock.now())
    , admission_(loop, clock, random)
{
}

Gateway::~Gateway()
{
    *alive_ = false;
    sessions_.clear();
    queries_.clear();
}

void Gateway::start(ReachabilityHandler handler)
{
    reachabilityHandler_ = std::move(handler);
    tick();
}

void Gateway::setView(std::shared_ptr<const DeploymentView> view)
{
    if (!configured())
        firstViewAt_ = clock_.now();
    view_ = std::move(view);
    admission_.setCustomers(view_->customers, view_->daemonCount);
    for (const auto &[name, service] : view_->services) {
        ServiceState &state = services_[name];
        if (state.positions.primaryEpoch() != service.primaryEpoch) {
            state.positionWait.reset();
            state.epochSince = clock_.now();
            state.loggedEarlyPosition = false;
        }
        state.positions.setPrimaryEpoch(service.primaryEpoch);
        updatePools(service, state);
    }
    for (auto &[name, state] : services_) {
        if (view_->services.count(name) > 0)
            continue;
        for (auto &[id, pool] : state.pools)
            pool->shutDown(ConnectionFailure::Misrouted);
    }
    std::erase_if(services_,
                  [&](const auto &entry) { return view_->services.count(entry.first) == 0; });
    endSessionsNotEntitled();
    resumeSessions();
}

void Gateway::updatePools(const ServiceView &service, ServiceState &state)
{
    std::set<EndpointId> present;
    for (const EndpointView &endpoint : service.endpoints) {
        present.insert(endpoint.id);
        auto &pool = state.pools[endpoint.id];
        if (!pool) {
            pool = std::make_unique<ConnectionPool>(
                loop_, clock_, dialer_, ConnectionBudget(random_, startedAt_), service.name,
                endpoint,
                [this, name = service.name, id = endpoint.id](TimePoint requestedAt,
                                                              TermPosition position) {
                    recordPosition(name, id, requestedAt, position);
                });
        }
        pool->setEndpoint(endpoint);
        pool->budget().setShare(service.maxConnections, view_->daemonCount);
    }
    for (auto entry = state.pools.begin(); entry != state.pools.end();) {
        if (present.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        // The users still refer to the pool while shutDown() notifies them, so the pool is
        // destroyed from the event loop.
        std::shared_ptr<ConnectionPool> removed(std::move(entry->second));
        replicaLags_.erase(entry->first);
        lastProbe_.erase(entry->first);
        entry = state.pools.erase(entry);
        removed->shutDown(ConnectionFailure::Misrouted);
        loop_.post([removed] {});
    }
}

void Gateway::permitPrimaries(TimePoint until)
{
    if (until <= permittedUntil_)
        return;
    const bool wasPermitted = primariesPermitted();
    permittedUntil_ = until;
    if (!wasPermitted)
        resumeSessions();
}

// Iterates over a copy of the ids, because a visit can close any session.
void Gateway::forEachSession(const std::function<void(CallerSession &)> &function)
{
    std::vector<SessionId> open;
    for (const auto &entry : sessions_)
        open.push_back(entry.first);
    for (const SessionId id : open) {
        if (const auto found = sessions_.find(id); found != sessions_.end())
            function(*found->second);
    }
}

void Gateway::resumeSessions()
{
    forEachSession([](CallerSession &session) { session.handleViewChanged(); });
}

void Gateway::endSessionsNotEntitled()
{
    std::size_t ended = 0;
    forEachSession([&](CallerSession &session) { ended += session.checkEntitlement() ? 1 : 0; });
    if (ended > 0)
        logEvent(Event::SessionsWithdrawn,
                 {{"version", view_->configurationVersion}, {"sessions", ended}});
}

const ServiceView *Gateway::findService(const ServiceName &service) const
{
    const auto found = view_->services.find(service);
    return found == view_->services.end() ? nullptr : &found->second;
}

ConnectionPool *Gateway::findPool(const ServiceName &service, const EndpointId &endpoint)
{
    const auto state = services_.find(service);
    if (state == services_.end())
        return nullptr;
    const auto pool = state->second.pools.find(endpoint);
    return pool == state->second.pools.end() ? nullptr : pool->second.get();
}

const PositionHistory &Gateway::positions(const ServiceName &service)
{
    return services_[service].positions;
}

ReplicaLag &Gateway::replicaLag(const EndpointId &endpoint)
{
    return replicaLags_[endpoint];
}

bool Gateway::primariesPermitted() const
{
    return clock_.now() < permittedUntil_;
}

void Gateway::recordPosition(const ServiceName &service, const EndpointId &endpoint,
                             TimePoint requestedAt, TermPosition position)
{
    const ServiceView *found = findService(service);
    if (!found)
        return;
    ServiceState &state = services_[service];
    const bool isPrimary = found->primary == endpoint;
    // The endpoint answered in its former role, perhaps long ago: its position says nothing about
    // the commits of this epoch's primary.
    if (requestedAt < state.epochSince) {
        if (isPrimary && !std::exchange(state.loggedEarlyPosition, true))
            logPosition(Event::EarlyPositionIgnored, *found, {requestedAt, position}, "reply");
        return;
    }
    if (isPrimary) {
        // Without the permission at that time, the endpoint may have been replaced as primary and
        // lack newer commits.
        if (requestedAt < permittedUntil_)
            recordPrimaryPosition(*found, {requestedAt, position}, "reply");
        return;
    }
    const auto reached = state.positions.reachedAt(position);
    const auto lag = reached ? std::chrono::duration_cast<Milliseconds>(clock_.now() - *reached)
                             : Milliseconds(0);
    replicaLags_[endpoint].recordPosition(position, std::max(lag, Milliseconds(0)), clock_.now());
}

void Gateway::recordPeerPosition(const ServiceName &service, std::uint64_t primaryEpoch,
                                 PositionHistory::Sample sample)
{
    const ServiceView *found = findService(service);
    if (found && found->primary && found->primaryEpoch == primaryEpoch
        && sample.requestedAt < permittedUntil_)
        recordPrimaryPosition(*found, sample, "peer");
}

// Tells from which request a position comes: `asked_ms` is the time since then, `epoch_ms` the time
// for which this daemon has used the primary.
void Gateway::logPosition(Event event, const ServiceView &service,
                          const PositionHistory::Sample &sample, std::string_view source) const
{
    const TimePoint now = clock_.now();
    const TimePoint since = services_.at(service.name).epochSince;
    logEvent(event, {{"service", service.name.value()},
                     {"endpoint", service.primary->value()},
                     {"term", sample.position.term.value()},
                     {"number", sample.position.number.value()},
                     {"source", source},
                     {"asked_ms",
                      std::chrono::duration_cast<Milliseconds>(now - sample.requestedAt).count()},
                     {"epoch_ms", std::chrono::duration_cast<Milliseconds>(now - since).count()}});
}

void Gateway::recordPrimaryPosition(const ServiceView &service, PositionHistory::Sample sample,
                                    std::string_view source)
{
    ServiceState &state = services_[service.name];
    if (!state.positions.newestSample())
        logPosition(Event::PrimaryPositionKnown, service, sample, source);
    state.positions.record(sample.requestedAt, sample.position);
    if (!state.positionWait.finish())
        return;
    loop_.post([this, alive = alive_] {
        if (*alive)
            resumeSessions();
    });
}

bool Gateway::awaitPosition(const ServiceName &service)
{
    const ServiceView *found = findService(service);
    if (!found || !found->primary)
        return false;
    const ConnectionPool *pool = findPool(service, *found->primary);
    const bool primaryUsable = pool && pool->usable() && primariesPermitted();
    ServiceState &state = services_[service];
    const PositionWait::Step step = state.positionWait.nextStep(
        state.positions.newestSample().has_value(), primaryUsable, clock_.now());
    if (step == PositionWait::Step::AskPrimary)
        queryStatus(service, *found->primary, {.verb = Verb::Status}, probeTimeout,
                    [](const std::optional<ReplicationStatus> &) {});
    return step != PositionWait::Step::Proceed;
}

Gateway::SessionOutcome Gateway::openSession(const SessionRequest &request, CallerChannel &channel)
{
    if (stopping_)
        return refuseSession(SessionRefusals::Reason::Stopping);
    const auto route = view_->routes.find(request.database);
    if (route == view_->routes.end())
        return refuseSession(SessionRefusals::Reason::NoDatabase);
    SessionCredentials credentials;
    if (view_->customers && !route->second.isPublic) {
        credentials = {view_->customers->findByKey(request.key), request.key};
        if (!credentials.customer)
            return refuseSession(request.key.empty() ? SessionRefusals::Reason::NoKey
                                                     : SessionRefusals::Reason::UnknownKey);
    }
    const SessionId id = ++lastSession_;
    GatewayContext &context = *this;
    auto session = std::make_unique<CallerSession>(context, channel, route->second,
                                                   maxSessionStateBytes_, std::move(credentials));
    if (draining_)
        session->closeWhenIdle();
    sessions_.emplace(id, std::move(session));
    return id;
}

// Logs no text of the caller: the database that it names may be its key.
SessionRefusal Gateway::refuseSession(SessionRefusals::Reason reason)
{
    if (refusals_.record(reason, clock_.now()))
        logEvent(Event::SessionRefused, {{"reason", SessionRefusals::describe(reason)},
                                         {"version", view_->configurationVersion}});
    return SessionRefusals::answerTo(reason);
}

void Gateway::handleStatement(SessionId session, SessionStatement statement)
{
    if (const auto found = sessions_.find(session); found != sessions_.end()) {
        found->second->handleStatement(std::move(statement));
    }
}

bool Gateway::isBusy(SessionId session) const
{
    const auto found = sessions_.find(session);
    return found != sessions_.end() && found->second->isBusy();
}

std::size_t Gateway::runningStatements() const
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(),
                      [](const auto &entry) { return entry.second->isBusy(); }));
}

std::size_t Gateway::heldBytes(SessionId session) const
{
    const auto found = sessions_.find(session);
    return found == sessions_.end() ? 0 : found->second->heldBytes();
}

void Gateway::closeSession(SessionId session)
{
    sessions_.erase(session);
}

void Gateway::queryStatus(const ServiceName &service, const EndpointId &endpoint,
                          SessionStatement statement, Milliseconds timeout, StatusCallback callback)
{
    ConnectionPool *pool = findPool(service, endpoint);
    if (!pool) {
        callback(std::nullopt);
        return;
    }
    const std::uint64_t id = ++lastQuery_;
    auto &query = queries_[id];
    query = std::make_unique<StatusQuery>(*this, id, std::move(statement), std::move(callback));
    query->start(*pool, timeout);
}

void Gateway::tick()
{
    std::vector<PrimaryReachability> primaries;
    for (auto &[name, state] : services_) {
        const ServiceView *service = findService(name);
        for (auto &[id, pool] : state.pools) {
            pool->tick();
            if (service && service->primary == id) {
                const ConnectionPoolHealth health = pool->health();
                primaries.push_back({name, id, health.lastReply, health.failingSince,
                                     service->primaryEpoch, state.positions.newestSample()});
            }
        }
        if (service)
            probeEndpoints(*service, state);
    }
    for (const auto &[id, session] : sessions_)
        session->tick();
    if (++ticks_ % ticksPerPoolLog == 0) {
        refusals_.logCounts();
        if (isLogged(Event::PoolState))
            logPools();
    }
    if (reachabilityHandler_)
        reachabilityHandler_(std::move(primaries));
    loop_.startTimer(tickInterval, [this, alive = alive_] {
        if (*alive)
            tick();
    });
}

void Gateway::logPools() const
{
    for (const auto &[name, state] : services_) {
        const ServiceView *service = findService(name);
        for (const auto &[id, pool] : state.pools) {
            const ConnectionPoolHealth health = pool->health();
            logEvent(Event::PoolState, {{"service", name.value()},
                                        {"endpoint", id.value()},
                                        {"primary", service && service->primary == id ? 1 : 0},
                                        {"distance", pool->endpoint().distance},
                                        {"open", health.open},
                                        {"in_use", health.inUse},
                                        {"waiting", health.waiting},
                                        {"latency_ms", health.latency.count()},
                                        {"failing", health.failingSince ? 1 : 0}});
        }
    }
}

void Gateway::probeEndpoints(const ServiceView &service, ServiceState &state)
{
    const TimePoint now = clock_.now();
    for (const EndpointView &endpoint : service.endpoints) {
        const ConnectionPoolHealth health = state.pools.at(endpoint.id)->health();
        const bool isPrimary = service.primary == endpoint.id;
        const auto interval = health.failingSince ? failingProbeInterval : primaryProbeInterval;
        if (!health.failingSince && !(isPrimary && probing_))
            continue;
        if (health.lastReply && now - *health.lastReply < interval)
            continue;
        TimePoint &last = lastProbe_[endpoint.id];
        if (now - last < interval)
            continue;
        last = now;
        queryStatus(service.name, endpoint.id, {.verb = Verb::Status}, probeTimeout,
                    [](const std::optional<ReplicationStatus> &) {});
    }
}

void Gateway::startDrain()
{
    draining_ = true;
    forEachSession([](CallerSession &session) { session.startDrain(); });
}

void Gateway::abortTransactions()
{
    forEachSession([](CallerSession &session) { session.abortTransactionAndClose(); });
}

void Gateway::abandonStatements()
{
    stopping_ = true;
    logEvent(Event::StatementsAbandoned,
             {{"running", runningStatements()}, {"sessions", sessions_.size()}});
    forEachSession([](CallerSession &session) { session.abandonStatementAndClose(); });
}

} // namespace pistachiowood
