#ifndef PISTACHIOWOOD_STATEMENTS_ENDPOINT_CLIENT_H
#define PISTACHIOWOOD_STATEMENTS_ENDPOINT_CLIENT_H

#include "configuration/objects.h"
#include "endpoints/attempt.h"
#include "net/http.h"
#include "pools/endpoint_pool.h"

#include <functional>
#include <map>
#include <memory>

namespace pistachiowood {

/// Executes attempts on one endpoint: opens its connections and runs the commands of its pool.
class EndpointClient : public std::enable_shared_from_this<EndpointClient>
{
public:
    /// Receives the answer and the connection it arrived on, which is empty if the pool rejected
    /// the attempt.
    using Callback = std::function<void(AttemptAnswer, ConnectionId)>;
    using ConnectionCloseHandler = std::function<void(ConnectionId)>;

    EndpointClient(EventLoop &loop, const Clock &clock, EndpointSpec spec,
                   const PoolLimits &limits);

    void setSpec(const EndpointSpec &spec, const PoolLimits &limits);
    /// Sets the function called when a connection closes, which ends a transaction open on it.
    void setConnectionCloseHandler(ConnectionCloseHandler handler)
    {
        connectionCloseHandler_ = std::move(handler);
    }

    void submit(const AttemptRequest &request, const TeamName &team, std::uint32_t teamWeight,
                Callback callback);
    void submitPinned(ConnectionId connection, const AttemptRequest &request, Callback callback);
    void tick();
    PoolStats stats() const { return pool_.stats(); }

private:
    struct PendingAttempt
    {
        AttemptRequest request;
        TimePoint deadline;
        Callback callback;
    };

    void runCommands();
    void handle(const OpenConnection &command);
    void handle(const CloseConnection &command);
    void handle(const StartStatement &command);
    void handle(const RejectStatement &command);
    void handle(const TransactionExpired &command);
    void handleOutcome(Ticket ticket, ConnectionId id, const HttpOutcome &outcome);
    ConnectionDisposition chooseDisposition(const AttemptRequest &request,
                                            const AttemptAnswer &answer) const;
    Ticket addPendingAttempt(const AttemptRequest &request, Callback callback);

    EventLoop &loop_;
    const Clock &clock_;
    EndpointSpec spec_;
    EndpointPool pool_;
    std::map<ConnectionId, std::unique_ptr<HttpConnection>> connections_;
    std::map<Ticket, PendingAttempt> pendingAttempts_;
    ConnectionCloseHandler connectionCloseHandler_;
    std::uint64_t lastTicket_ = 0;
    bool runningCommands_ = false;
};

} // namespace pistachiowood

#endif
