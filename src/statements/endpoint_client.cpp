#include "statements/endpoint_client.h"

#include "base/log.h"
#include "endpoints/endpoint_protocol.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Connecting usually takes about 12 ms; a slow endpoint may need many times that.
constexpr Milliseconds connectTimeout{500};
constexpr Milliseconds minRequestTimeout{1};

bool opensTransaction(const AttemptRequest &request)
{
    return request.operation == AttemptOperation::Begin;
}

} // namespace

EndpointClient::EndpointClient(EventLoop &loop, const Clock &clock, EndpointSpec spec,
                               const PoolLimits &limits)
    : loop_(loop)
    , clock_(clock)
    , spec_(std::move(spec))
    , pool_(limits, clock, spec_.id)
{
}

void EndpointClient::setSpec(const EndpointSpec &spec, const PoolLimits &limits)
{
    spec_ = spec;
    pool_.setLimits(limits);
    pool_.setDraining(spec.leaving);
    runCommands();
}

Ticket EndpointClient::addPendingAttempt(const AttemptRequest &request, Callback callback)
{
    const Ticket ticket(++lastTicket_);
    pendingAttempts_.emplace(
        ticket, PendingAttempt{request, clock_.now() + request.remaining, std::move(callback)});
    return ticket;
}

void EndpointClient::submit(const AttemptRequest &request, const TeamName &team,
                            std::uint32_t teamWeight, Callback callback)
{
    const Ticket ticket = addPendingAttempt(request, std::move(callback));
    pool_.submit({ticket, team, teamWeight, request.fairnessKey, clock_.now() + request.remaining,
                  opensTransaction(request)});
    runCommands();
}

void EndpointClient::submitPinned(ConnectionId connection, const AttemptRequest &request,
                                  Callback callback)
{
    const Ticket ticket = addPendingAttempt(request, std::move(callback));
    pool_.submitPinned(connection, ticket, clock_.now() + request.remaining);
    runCommands();
}

void EndpointClient::tick()
{
    pool_.tick();
    runCommands();
}

void EndpointClient::runCommands()
{
    // A command may complete immediately and submit more work. The nested call returns, and the
    // outermost call runs the new commands.
    if (std::exchange(runningCommands_, true))
        return;
    const auto self = shared_from_this();
    for (auto commands = pool_.takeCommands(); !commands.empty(); commands = pool_.takeCommands()) {
        for (const PoolCommand &command : commands)
            std::visit([this](const auto &typed) { handle(typed); }, command);
    }
    runningCommands_ = false;
}

void EndpointClient::handle(const OpenConnection &command)
{
    auto connection = std::make_unique<HttpConnection>(
        loop_, spec_.address, &byteCounter(ConnectionClass::EndpointTraffic));
    const ConnectionId id = command.id;
    connection->setCloseHandler([weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->connections_.erase(id);
            self->pool_.handleConnectionClosed(id);
            if (self->connectionCloseHandler_)
                self->connectionCloseHandler_(id);
            self->runCommands();
        }
    });
    connection->connect(connectTimeout,
                        [weak = weak_from_this(), id](const std::optional<HttpFailure> &failure) {
                            const auto self = weak.lock();
                            if (!self)
                                return;
                            if (failure)
                                self->pool_.handleConnectFailed(id, failure->message);
                            else
                                self->pool_.handleConnected(id);
                            self->runCommands();
                        });
    connections_.emplace(id, std::move(connection));
}

void EndpointClient::handle(const CloseConnection &command)
{
    // Destroyed by a later event, because this may run inside a callback of the connection.
    if (auto node = connections_.extract(command.id)) {
        node.mapped()->close();
        loop_.post([closed = std::shared_ptr<HttpConnection>(std::move(node.mapped()))] {});
    }
    if (connectionCloseHandler_)
        connectionCloseHandler_(command.id);
}

void EndpointClient::handle(const StartStatement &command)
{
    const auto pending = pendingAttempts_.find(command.ticket);
    const auto connection = connections_.find(command.id);
    checkInvariant(pending != pendingAttempts_.end() && connection != connections_.end(),
                   Event::InvariantBroken,
                   {{"reason", "the pool started work on an unknown connection"}});
    const Milliseconds remaining =
        std::chrono::duration_cast<Milliseconds>(pending->second.deadline - clock_.now());
    connection->second->send(encodeAttempt(pending->second.request),
                             std::max(remaining, minRequestTimeout),
                             [weak = weak_from_this(), command](const HttpOutcome &outcome) {
                                 if (const auto self = weak.lock())
                                     self->handleOutcome(command.ticket, command.id, outcome);
                             });
}

void EndpointClient::handle(const RejectStatement &command)
{
    if (auto node = pendingAttempts_.extract(command.ticket)) {
        AttemptAnswer answer;
        answer.error = command.error;
        node.mapped().callback(std::move(answer), {});
    }
}

void EndpointClient::handle(const TransactionExpired &command)
{
    if (connectionCloseHandler_)
        connectionCloseHandler_(command.id);
}

void EndpointClient::handleOutcome(Ticket ticket, ConnectionId id, const HttpOutcome &outcome)
{
    auto node = pendingAttempts_.extract(ticket);
    if (!node)
        return;
    const PendingAttempt &pending = node.mapped();
    AttemptAnswer answer = decodeAttempt(pending.request, outcome);
    pool_.finish(id, chooseDisposition(pending.request, answer));
    pending.callback(std::move(answer), id);
    runCommands();
}

ConnectionDisposition EndpointClient::chooseDisposition(const AttemptRequest &request,
                                                        const AttemptAnswer &answer) const
{
    const bool refusedConnection = answer.refusal == EndpointRefusal::TooManyConnections;
    const bool isUsable =
        answer.state == AttemptState::Executed
        || (answer.state == AttemptState::NotExecuted && answer.refusal != EndpointRefusal::None);
    if (!isUsable || refusedConnection)
        return ConnectionDisposition::Discard;
    const bool inTransaction =
        request.transaction && request.operation == AttemptOperation::Statement;
    if (inTransaction)
        return answer.refusal == EndpointRefusal::TransactionLost
                   ? ConnectionDisposition::Discard
                   : ConnectionDisposition::KeepPinned;
    if (opensTransaction(request))
        return answer.state == AttemptState::Executed ? ConnectionDisposition::KeepPinned
                                                      : ConnectionDisposition::Reuse;
    // After a failed commit or rollback the transaction may still be open on the connection, which
    // must not be reused for other statements.
    const bool endsTransaction = request.operation == AttemptOperation::Commit
                                 || request.operation == AttemptOperation::Rollback;
    return endsTransaction && answer.state != AttemptState::Executed
               ? ConnectionDisposition::Discard
               : ConnectionDisposition::Reuse;
}

} // namespace pistachiowood
