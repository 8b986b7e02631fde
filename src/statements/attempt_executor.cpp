#include "statements/attempt_executor.h"

#include "statements/durability_waiter.h"
#include "statements/endpoint_client.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds tickInterval{20};

AttemptAnswer makeRefusal(ErrorCode code, std::string message,
                          EndpointRefusal refusal = EndpointRefusal::None)
{
    AttemptAnswer answer;
    answer.refusal = refusal;
    answer.error = {code, std::move(message)};
    return answer;
}

// True if a majority of the group must hold the result before it is answered.
bool needsDurability(const AttemptRequest &request)
{
    switch (request.operation) {
    case AttemptOperation::Statement:
        return !request.transaction.has_value();
    case AttemptOperation::Commit:
    case AttemptOperation::Resolve:
        return true;
    default:
        return false;
    }
}

} // namespace

struct AttemptExecutor::Private : public std::enable_shared_from_this<Private>
{
    struct OpenTransaction
    {
        EndpointId endpoint;
        ConnectionId connection;
    };

    Private(EventLoop &eventLoop, const Clock &steadyClock, RandomSource &randomSource,
            Settings executorSettings)
        : loop(eventLoop)
        , clock(steadyClock)
        , random(randomSource)
        , settings(std::move(executorSettings))
        , table(std::make_shared<const RoutingTable>())
    {
    }

    void scheduleTick()
    {
        loop.startTimer(tickInterval, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->tick();
                self->scheduleTick();
            }
        });
    }

    void tick()
    {
        for (const auto &[id, client] : clients)
            client->tick();
        for (const auto &[name, waiter] : durabilityWaiters)
            waiter->tick();
    }

    PoolLimits computePoolLimits(const EndpointRoute &route, const ServiceRoutes &routes) const
    {
        PoolLimits limits;
        const bool owns = route.owner == settings.self;
        const std::uint32_t connections = route.spec.connections;
        limits.slots = route.spec.slots;
        limits.maxConnections =
            owns ? std::max(1U,
                            connections - std::min(settings.reservedConnections, connections - 1))
                 : std::min(settings.maxNonOwnerConnections, connections);
        limits.queueLimit = routes.spec.queueLimit;
        return limits;
    }

    void applyRoutingTable()
    {
        for (const auto &[name, waiter] : durabilityWaiters) {
            if (const auto routes = table->findService(name))
                waiter->setRoutes(routes);
        }
        std::erase_if(durabilityWaiters,
                      [this](const auto &item) { return !table->findService(item.first); });
        for (const auto &[id, client] : clients) {
            if (const auto [route, routes] = findRoute(id); route)
                client->setSpec(route->spec, computePoolLimits(*route, *routes));
        }
        std::erase_if(clients, [this](const auto &item) { return !findRoute(item.first).first; });
    }

    std::pair<const EndpointRoute *, std::shared_ptr<const ServiceRoutes>>
    findRoute(const EndpointId &endpoint) const
    {
        const auto service = endpointServices.find(endpoint);
        if (service == endpointServices.end())
            return {nullptr, nullptr};
        auto routes = table->findService(service->second);
        const EndpointRoute *route = routes ? routes->findEndpoint(endpoint) : nullptr;
        return {route, std::move(routes)};
    }

    EndpointClient &findOrCreateClient(const EndpointRoute &route, const ServiceRoutes &routes)
    {
        auto &client = clients[route.spec.id];
        if (!client) {
            client = std::make_shared<EndpointClient>(loop, clock, route.spec,
                                                      computePoolLimits(route, routes));
            client->setConnectionCloseHandler([this, id = route.spec.id](ConnectionId connection) {
                std::erase_if(transactions, [&](const auto &item) {
                    return item.second.endpoint == id && item.second.connection == connection;
                });
            });
            endpointServices[route.spec.id] = routes.spec.name;
        }
        return *client;
    }

    DurabilityWaiter &
    findOrCreateDurabilityWaiter(const std::shared_ptr<const ServiceRoutes> &routes)
    {
        auto &waiter = durabilityWaiters[routes->spec.name];
        if (!waiter) {
            waiter = std::make_unique<DurabilityWaiter>(loop, clock, settings.locality);
            waiter->setRoutes(routes);
        }
        return *waiter;
    }

    void execute(AttemptRequest request, const AttemptCallback &callback)
    {
        const auto routes = table->findService(request.service);
        if (!routes) {
            callback(makeRefusal(ErrorCode::NotFound, "the service is not known to this daemon"));
            return;
        }
        std::optional<ConnectionId> pinned;
        if (request.transaction) {
            const auto open = transactions.find(*request.transaction);
            if (open == transactions.end()) {
                callback(makeRefusal(ErrorCode::NotFound,
                                     "the transaction is not open; it was rolled back",
                                     EndpointRefusal::TransactionLost));
                return;
            }
            request.endpoint = open->second.endpoint;
            pinned = open->second.connection;
        }
        const EndpointRoute *route = routes->findEndpoint(request.endpoint);
        if (!route) {
            callback(
                makeRefusal(ErrorCode::Unavailable, "the endpoint is not known to this daemon"));
            return;
        }
        submit(request, *route, routes, pinned, callback);
    }

    void submit(const AttemptRequest &request, const EndpointRoute &route,
                const std::shared_ptr<const ServiceRoutes> &routes,
                const std::optional<ConnectionId> &pinned, const AttemptCallback &callback)
    {
        if (request.kind == StatementKind::Write && needsDurability(request))
            findOrCreateDurabilityWaiter(routes).startPolling();
        const TimePoint deadline = clock.now() + request.remaining;
        auto done = [self = shared_from_this(), request, deadline,
                     callback](AttemptAnswer answer, ConnectionId connection) {
            self->handleAnswer(request, deadline, std::move(answer), connection, callback);
        };
        EndpointClient &client = findOrCreateClient(route, *routes);
        if (pinned)
            client.submitPinned(*pinned, request, std::move(done));
        else
            client.submit(request, routes->spec.team, routes->teamWeight, std::move(done));
    }

    void handleAnswer(const AttemptRequest &request, TimePoint deadline, AttemptAnswer answer,
                      ConnectionId connection, const AttemptCallback &callback)
    {
        const auto routes = table->findService(request.service);
        const bool hasReport = answer.report.term > Term(0);
        if (hasReport && observer)
            observer(request.endpoint, answer.report);
        if (hasReport && routes)
            findOrCreateDurabilityWaiter(routes).report(request.endpoint, answer.report);
        updateTransactions(request, answer, connection);
        if (answer.state != AttemptState::Executed || !routes || !needsDurability(request)) {
            answer.durable = answer.state == AttemptState::Executed;
            callback(std::move(answer));
            return;
        }
        if (isStaleRead(request, answer)) {
            callback(std::move(answer));
            return;
        }
        if (!isLastEntryOfCurrentTerm(answer.report)) {
            markNotDurable(request, answer,
                           "the endpoint has not received an entry of its term yet");
            callback(std::move(answer));
            return;
        }
        waitForMajority(request, deadline, std::move(answer), routes, callback);
    }

    // True if the caller's daemon will reject the answer as too old, so that waiting for a majority
    // is pointless.
    static bool isStaleRead(const AttemptRequest &request, const AttemptAnswer &answer)
    {
        return request.operation == AttemptOperation::Statement
               && request.kind == StatementKind::Read
               && (answer.entryPosition < request.minPosition
                   || answer.report.age > request.maxAge);
    }

    void waitForMajority(const AttemptRequest &request, TimePoint deadline, AttemptAnswer answer,
                         const std::shared_ptr<const ServiceRoutes> &routes,
                         const AttemptCallback &callback)
    {
        DurabilityWaiter &waiter = findOrCreateDurabilityWaiter(routes);
        if (waiter.isDurable(answer.report.term, answer.entryPosition)) {
            answer.durable = true;
            callback(std::move(answer));
            return;
        }
        const Term term = answer.report.term;
        const LogPosition position = answer.entryPosition;
        waiter.wait(
            term, position, deadline,
            [answer = std::move(answer), request, callback](Durability result, Term) mutable {
                answer.durable = result == Durability::Durable;
                if (!answer.durable)
                    markNotDurable(request, answer, "no majority of the group holds the entry yet");
                callback(std::move(answer));
            });
    }

    static void markNotDurable(const AttemptRequest &request, AttemptAnswer &answer,
                               const char *reason)
    {
        const bool isRead = request.kind == StatementKind::Read;
        answer.state = isRead ? AttemptState::NotExecuted : AttemptState::Uncertain;
        answer.error = {isRead ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown, reason};
    }

    void updateTransactions(const AttemptRequest &request, AttemptAnswer &answer,
                            ConnectionId connection)
    {
        const bool executed = answer.state == AttemptState::Executed;
        if (request.operation == AttemptOperation::Begin && executed) {
            const TransactionId id = generateTransactionId();
            transactions[id] = {request.endpoint, connection};
            answer.transaction = id;
        } else if (request.operation == AttemptOperation::Commit
                   || request.operation == AttemptOperation::Rollback) {
            transactions.erase(*request.transaction);
        }
    }

    // The VM's name lets other daemons find this one; the random part keeps ids distinct after a
    // restart.
    TransactionId generateTransactionId()
    {
        std::array<char, 40> text{};
        std::snprintf(text.data(), text.size(), "~%016llx%016llx",
                      static_cast<unsigned long long>(random.next()),
                      static_cast<unsigned long long>(random.next()));
        return TransactionId(settings.self.value() + text.data());
    }

    EventLoop &loop;
    const Clock &clock;
    RandomSource &random;
    Settings settings;
    Observer observer;
    std::shared_ptr<const RoutingTable> table;
    std::map<EndpointId, ServiceName> endpointServices;
    std::map<EndpointId, std::shared_ptr<EndpointClient>> clients;
    std::map<ServiceName, std::unique_ptr<DurabilityWaiter>> durabilityWaiters;
    std::map<TransactionId, OpenTransaction> transactions;
};

AttemptExecutor::AttemptExecutor(EventLoop &loop, const Clock &clock, RandomSource &random,
                                 Settings settings)
    : private_(std::make_shared<Private>(loop, clock, random, std::move(settings)))
{
    private_->scheduleTick();
}

AttemptExecutor::~AttemptExecutor() = default;

void AttemptExecutor::setRoutingTable(std::shared_ptr<const RoutingTable> table)
{
    private_->table = std::move(table);
    private_->applyRoutingTable();
}

void AttemptExecutor::setObserver(Observer observer)
{
    private_->observer = std::move(observer);
}

void AttemptExecutor::execute(const AttemptRequest &request, AttemptCallback callback)
{
    private_->execute(request, callback);
}

std::map<EndpointId, PoolStats> AttemptExecutor::stats() const
{
    std::map<EndpointId, PoolStats> result;
    for (const auto &[id, client] : private_->clients)
        result.emplace(id, client->stats());
    return result;
}

ServiceName AttemptExecutor::findServiceOf(const EndpointId &endpoint) const
{
    const auto found = private_->endpointServices.find(endpoint);
    return found == private_->endpointServices.end() ? ServiceName() : found->second;
}

std::size_t AttemptExecutor::countOpenTransactions() const
{
    return private_->transactions.size();
}

} // namespace pistachiowood
