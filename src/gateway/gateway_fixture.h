#ifndef PISTACHIOWOOD_GATEWAY_GATEWAY_FIXTURE_H
#define PISTACHIOWOOD_GATEWAY_GATEWAY_FIXTURE_H

#include "gateway/gateway.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiowood {

/// In-memory endpoints for the tests of the gateway. All statements are recorded. Each one is
/// answered from the event loop as the members below say.
class ScriptedEndpoints final : public EndpointDialer
{
public:
    struct Connection final : public EndpointConnection
    {
        Connection(ScriptedEndpoints &owner, EndpointId endpointId,
                   EndpointConnectionListener &connectionListener, std::size_t connectionNumber)
            : endpoints(owner)
            , endpoint(std::move(endpointId))
            , listener(connectionListener)
            , number(connectionNumber)
        {
        }
        ~Connection() override { endpoints.open_.erase(this); }
        void send(const SessionStatement &statement) override
        {
            endpoints.sent.push_back({endpoint, number, statement});
            pending.push_back(statement);
            endpoints.answerLater(this);
        }

        ScriptedEndpoints &endpoints;
        EndpointId endpoint;
        EndpointConnectionListener &listener;
        std::size_t number;
        std::deque<SessionStatement> pending;
        SessionPhase phase = SessionPhase::Idle;
    };
    struct Sent
    {
        EndpointId endpoint;
        std::size_t connection;
        SessionStatement statement;
    };

    explicit ScriptedEndpoints(EventLoop &eventLoop)
        : loop_(eventLoop)
    {
    }

    std::unique_ptr<EndpointConnection> dial(const ServiceName &, const EndpointView &endpoint,
                                             const std::optional<CustomerName> &customer,
                                             EndpointConnectionListener &listener) override
    {
        ++dials;
        customers.push_back(customer ? customer->value() : "");
        auto connection = std::make_unique<Connection>(*this, endpoint.id, listener, dials);
        open_.insert(connection.get());
        loop_.post([this, raw = connection.get(), id = endpoint.id] {
            if (open_.count(raw) == 0)
                return;
            if (silentDials.count(id) > 0)
                return;
            if (openConnectionsOf(id) > maxConnections)
                raw->listener.handleConnectionFailed(ConnectionFailure::TooManyConnections, "full");
            else if (unreachable.count(id) > 0)
                raw->listener.handleConnectionFailed(ConnectionFailure::Unreachable, "refused");
            else
                raw->listener.handleConnectionOpened(position(id));
        });
        return connection;
    }

    std::optional<ReplicationStatus> decodeStatus(const StatementReply &) override
    {
        return std::nullopt;
    }

    TermPosition position(const EndpointId &id)
    {
        return {Term(1), LogPosition(positions.count(id) > 0 ? positions[id] : 1)};
    }

    /// Failure that an endpoint returns for reads, writes, executions and commits; others succeed.
    std::map<EndpointId, ReplyCode> failures;
    std::map<EndpointId, ReplyCode> beginFailures;
    std::set<EndpointId> silent; ///< endpoints that receive statements and do not answer
    std::set<EndpointId> unreachable;
    std::set<EndpointId> silentDials; ///< endpoints that do not answer handshakes
    std::size_t maxConnections = 1000; ///< of each endpoint; more are refused
    std::map<EndpointId, std::uint64_t> positions;
    std::vector<std::string> rows; ///< of the answer to a read
    std::vector<Sent> sent;
    std::size_t dials = 0;
    std::vector<std::string> customers; ///< of each dial; empty for none

    /// Number of statements of this kind that the endpoints received.
    std::size_t countSent(Verb verb) const
    {
        std::size_t count = 0;
        for (const Sent &entry : sent)
            count += entry.statement.verb == verb ? 1 : 0;
        return count;
    }

    std::size_t openConnections() const { return open_.size(); }

    std::size_t openConnectionsOf(const EndpointId &id) const
    {
        std::size_t count = 0;
        for (const Connection *connection : open_)
            count += connection->endpoint == id ? 1 : 0;
        return count;
    }

    /// Answers the statements that the endpoint has received while it was silent.
    void answerHeldStatements(const EndpointId &id)
    {
        const auto connections = open_;
        for (Connection *connection : connections) {
            while (open_.count(connection) > 0 && connection->endpoint == id
                   && !connection->pending.empty())
                answer(*connection);
        }
    }

    void breakConnections(const EndpointId &id)
    {
        const auto connections = open_;
        for (Connection *connection : connections) {
            if (open_.count(connection) > 0 && connection->endpoint == id)
                connection->listener.handleConnectionFailed(ConnectionFailure::Lost, "reset");
        }
    }

private:
    void answerLater(Connection *connection)
    {
        loop_.post([this, connection] {
            if (open_.count(connection) > 0 && silent.count(connection->endpoint) == 0)
                answer(*connection);
        });
    }

    void answer(Connection &connection)
    {
        const SessionStatement statement = connection.pending.front();
        connection.pending.pop_front();
        StatementReply reply;
        reply.position = position(connection.endpoint);
        const bool begins = statement.verb == Verb::Begin || statement.verb == Verb::BeginReadOnly;
        const bool runs = statement.verb == Verb::Read || statement.verb == Verb::Write
                          || statement.verb == Verb::Execute || statement.verb == Verb::Commit;
        if (begins && beginFailures.count(connection.endpoint) > 0)
            reply.failure = beginFailures[connection.endpoint];
        else if (begins)
            connection.phase = SessionPhase::InTransaction;
        if (runs && failures.count(connection.endpoint) > 0) {
            reply.failure = failures[connection.endpoint];
            if (connection.phase == SessionPhase::InTransaction)
                connection.phase = SessionPhase::Failed;
        } else if (runs) {
            if (statement.verb == Verb::Read)
                reply.rows = rows;
            reply.signature = "signed-" + connection.endpoint.value();
        }
        if (statement.verb == Verb::Commit || statement.verb == Verb::Rollback)
            connection.phase = SessionPhase::Idle;
        reply.phase = connection.phase;
        connection.listener.handleConnectionReply(reply);
    }

    EventLoop &loop_;
    std::set<Connection *> open_;
};

struct RecordingChannel final : public CallerChannel
{
    void sendReply(const StatementReply &reply) override { replies.push_back(reply); }
    void close() override { closed = true; }
    void terminate() override { closed = true; }

    std::vector<StatementReply> replies;
    bool closed = false;
};

/// Opens a session; the caller's test fails with an exception if it is refused.
inline Gateway::SessionId openSession(Gateway &gateway, const std::string &database,
                                      CallerChannel &channel, const std::string &key = {})
{
    return std::get<Gateway::SessionId>(gateway.openSession({database, key}, channel));
}

} // namespace pistachiowood

#endif
