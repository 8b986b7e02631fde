#ifndef PISTACHIOWOOD_RPC_RPC_HOST_H
#define PISTACHIOWOOD_RPC_RPC_HOST_H

#include "base/byte_counters.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <capnp/capability.h>
#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace pistachiowood {

/// Runs Cap'n Proto RPC in a separate thread, with one listening port and cached connections to
/// peers.
class RpcHost
{
public:
    /// Access to the RPC thread; valid only inside a posted task.
    class Context
    {
    public:
        virtual ~Context() noexcept(false) = default; // kj destructors may throw
        virtual kj::Timer &timer() = 0;
        /// Keeps the promise until it is resolved; its exceptions must have been handled.
        virtual void run(kj::Promise<void> promise) = 0;
        /// Returns the peer's bootstrap interface; connects when no connection is open.
        virtual kj::Promise<capnp::Capability::Client> connect(const SocketAddress &peer) = 0;
        /// Closes the connection, so that the next call opens a new one.
        virtual void dropConnection(const SocketAddress &peer) = 0;
    };

    using Task = std::function<void(Context &)>;
    using BootstrapFactory = std::function<capnp::Capability::Client()>;

    RpcHost();
    /// Stops the thread; calls in progress are dropped.
    ~RpcHost();

    /// Starts the thread and calls the factory in it. Port 0 selects a free port. The thread is
    /// named after the connection class, and the bytes of all connections are added to its counter.
    Result<void> listen(const SocketAddress &address, ConnectionClass connectionClass,
                        BootstrapFactory factory);
    std::uint16_t port() const;

    /// Runs the task in the RPC thread. May be called from any thread.
    void post(Task task);
    /// Returns a copyable function that posts tasks; it may outlive the host and then drops them.
    std::function<void(Task)> poster() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
