#include "daemon/traffic_plane.h"

#include "net/http.h"
#include "rpc/traffic_rpc.h"
#include "sessions/session_token_codec.h"
#include "statements/attempt_executor.h"

#include <utility>

namespace pistachiowood {

namespace {

constexpr char transactionIdSeparator = '~';

// A transaction id starts with the id of the VM whose daemon holds the transaction.
VmId transactionOwner(const TransactionId &transaction)
{
    return VmId(transaction.value().substr(0, transaction.value().find(transactionIdSeparator)));
}

} // namespace

struct TrafficPlane::Private : public AttemptTransport
{
    Private(EventLoop &eventLoop, const Clock &steadyClock, RandomSource &random,
            TrafficSettings trafficSettings)
        : loop(eventLoop)
        , clock(steadyClock)
        , settings(std::move(trafficSettings))
        , codec(settings.tokenKey, settings.previousTokenKey)
        , executor(loop, clock, random, {.self = settings.vm, .locality = settings.locality})
        , router(settings.router, settings.locality, *this, clock, random)
        , callers(router, codec, clock, settings.callers)
        , rpc(loop,
              [this](const AttemptRequest &request, AttemptCallback callback) {
                  executeLocally(request, std::move(callback));
              })
        , server(
              loop, {.maxConnections = settings.maxCallers},
              [this](const HttpRequest &request, const HttpServer::Responder &respond) {
                  callers.handle(request, respond);
              },
              &byteCounter(ConnectionClass::Caller))
    {
        executor.setObserver([this](const EndpointId &endpoint, const EndpointReport &report) {
            router.observe(endpoint, report);
        });
    }

    void executeLocally(const AttemptRequest &request, AttemptCallback callback)
    {
        ++localAttempts;
        executor.execute(request, [this, callback = std::move(callback)](AttemptAnswer answer) {
            --localAttempts;
            callback(std::move(answer));
        });
    }

    void execute(const EndpointRoute &route, const AttemptRequest &request,
                 AttemptCallback callback) override
    {
        if (route.owner == settings.vm || route.owner.value().empty()) {
            executeLocally(request, std::move(callback));
            return;
        }
        // An unreachable owner has not received the attempt, so this daemon may execute it over its
        // reserved connections.
        rpc.execute(route.ownerAddress, request,
                    [this, request, callback = std::move(callback)](AttemptAnswer answer) {
                        const bool ownerUnreachable = answer.state == AttemptState::NotExecuted
                                                      && answer.error.code == ErrorCode::Unavailable
                                                      && answer.ownerUnreachable;
                        if (ownerUnreachable)
                            executeLocally(request, callback);
                        else
                            callback(std::move(answer));
                    });
    }

    void executeInTransaction(const AttemptRequest &request, AttemptCallback callback) override
    {
        const VmId owner = transactionOwner(*request.transaction);
        if (owner == settings.vm) {
            executeLocally(request, std::move(callback));
            return;
        }
        const auto address = table->daemons.find(owner);
        if (address == table->daemons.end()) {
            AttemptAnswer answer;
            answer.refusal = EndpointRefusal::TransactionLost;
            answer.error = {ErrorCode::NotFound,
                            "the daemon that held the transaction is gone; it was rolled back"};
            callback(std::move(answer));
            return;
        }
        rpc.execute(address->second, request, std::move(callback));
    }

    void startTimer(Milliseconds delay, std::function<void()> task) override
    {
        loop.startTimer(delay, std::move(task));
    }

    void requestStatus(const ServiceName &service) override
    {
        if (statusRequester)
            statusRequester(service);
    }

    EventLoop &loop;
    const Clock &clock;
    TrafficSettings settings;
    SessionTokenCodec codec;
    AttemptExecutor executor;
    StatementRouter router;
    CallerApi callers;
    TrafficRpc rpc;
    HttpServer server;
    StatusRequester statusRequester;
    std::shared_ptr<const RoutingTable> table = std::make_shared<const RoutingTable>();
    std::size_t localAttempts = 0;
};

TrafficPlane::TrafficPlane(EventLoop &loop, const Clock &clock, RandomSource &random,
                           TrafficSettings settings)
    : private_(std::make_unique<Private>(loop, clock, random, std::move(settings)))
{
}

TrafficPlane::~TrafficPlane() = default;

void TrafficPlane::setStatusRequester(StatusRequester requester)
{
    private_->statusRequester = std::move(requester);
}

void TrafficPlane::setStatementObserver(CallerApi::StatementObserver observer)
{
    private_->callers.setObserver(std::move(observer));
}

Result<void> TrafficPlane::start()
{
    BOOST_LEAF_CHECK(private_->rpc.listen(private_->settings.trafficAddress));
    return private_->server.listen(private_->settings.callerAddress);
}

void TrafficPlane::setRoutingTable(std::shared_ptr<const RoutingTable> table)
{
    private_->table = table;
    private_->executor.setRoutingTable(table);
    private_->router.setRoutingTable(std::move(table));
}

void TrafficPlane::observeReport(const EndpointId &endpoint, const EndpointReport &report)
{
    private_->router.observe(endpoint, report);
}

void TrafficPlane::drain()
{
    private_->callers.setDraining(true);
    private_->server.closeAfterResponses();
}

bool TrafficPlane::isIdle() const
{
    return private_->router.runningStatements() == 0 && private_->localAttempts == 0
           && private_->executor.countOpenTransactions() == 0
           && private_->server.runningRequests() == 0;
}

std::map<EndpointId, PoolStats> TrafficPlane::poolStats() const
{
    return private_->executor.stats();
}

ServiceName TrafficPlane::serviceOf(const EndpointId &endpoint) const
{
    return private_->executor.findServiceOf(endpoint);
}

} // namespace pistachiowood
