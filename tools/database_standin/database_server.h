#ifndef PISTACHIOWOOD_DATABASE_STANDIN_DATABASE_SERVER_H
#define PISTACHIOWOOD_DATABASE_STANDIN_DATABASE_SERVER_H

#include "net/event_loop.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <memory>

namespace pistachiowood::standin {

struct DatabaseOptions
{
    EndpointId id;
    SocketAddress address{"127.0.0.1", 0};
    std::size_t groupSize = 3;
    std::size_t slots = 5; ///< statements, commits and resolves served at once; others queue
    std::size_t maxConnections = 30;
    Milliseconds connectCost{12}; ///< before the first request of a new connection
    Milliseconds statementCost{1}; ///< time that a statement, commit or resolve occupies a slot
    Milliseconds replicationDelay{0}; ///< between receiving and applying a batch
    Milliseconds fetchInterval{0}; ///< pause between two fetches
    Milliseconds fetchWait{200}; ///< how long the primary holds a fetch when nothing is new
};

/// Serves the endpoint port for one ReplicaLog and fetches the log of the followed primary.
///
/// A connection counts against maxConnections and pays connectCost with its first statement,
/// transaction or resolve request. Status, position, term, follow and log requests stand for the
/// database's administrative connections: they use no slot, cost nothing and are not counted.
/// A request whose connection closes while it waits for a slot is dropped; one that already
/// occupies a slot runs to its end, except that the close rolls back an uncommitted transaction.
class DatabaseServer
{
public:
    DatabaseServer(EventLoop &loop, const Clock &clock, DatabaseOptions options);
    ~DatabaseServer();

    Result<void> listen();
    std::uint16_t port() const;

    struct Private;

private:
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood::standin

#endif
