#ifndef PISTACHIOWOOD_GATEWAY_ENDPOINT_CONNECTION_H
#define PISTACHIOWOOD_GATEWAY_ENDPOINT_CONNECTION_H

#include "gateway/deployment.h"
#include "gateway/statement.h"

#include <memory>
#include <string>

namespace pistachiowood {

/// Why a connection to an endpoint could not be opened or has ended.
enum class ConnectionFailure {
    Unreachable, ///< refused, or not established in time
    Misrouted, ///< the address belongs to another endpoint
    TooManyConnections,
    Refused, ///< the endpoint refused the session for another reason
    Lost, ///< closed after it was open
};

/// Receives the events of one connection to an endpoint.
class EndpointConnectionListener
{
public:
    virtual ~EndpointConnectionListener() = default;
    virtual void handleConnectionOpened(std::optional<TermPosition> position) = 0;
    /// Replies arrive in the order of the statements.
    virtual void handleConnectionReply(StatementReply reply) = 0;
    /// Called at most once; no other event follows.
    virtual void handleConnectionFailed(ConnectionFailure failure, const std::string &reason) = 0;
};

/// One session with an endpoint; destroying it closes the connection.
class EndpointConnection
{
public:
    virtual ~EndpointConnection() = default;
    virtual void send(const SessionStatement &statement) = 0;
};

/// Opens connections to endpoints; implemented for the protocol that they speak.
class EndpointDialer
{
public:
    virtual ~EndpointDialer() = default;
    /// The endpoint is told the customer; nullopt for sessions without one.
    virtual std::unique_ptr<EndpointConnection> dial(const ServiceName &service,
                                                     const EndpointView &endpoint,
                                                     const std::optional<CustomerName> &customer,
                                                     EndpointConnectionListener &listener) = 0;
    /// Decodes the reply to a Status or Demote statement; nullopt if it is invalid.
    virtual std::optional<ReplicationStatus> decodeStatus(const StatementReply &reply) = 0;
};

} // namespace pistachiowood

#endif
