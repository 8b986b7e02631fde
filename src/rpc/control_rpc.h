#ifndef PISTACHIOWOOD_RPC_CONTROL_RPC_H
#define PISTACHIOWOOD_RPC_CONTROL_RPC_H

#include "configuration/configuration_store.h"
#include "membership/membership.h"
#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiowood {

/// Handles the control messages of other daemons; called in the loop's thread.
class ControlHandler
{
public:
    virtual ~ControlHandler() = default;
    virtual void handleGossip(const GossipMessage &message) = 0;
    virtual ConfigurationSnapshot copyConfiguration() = 0;
    /// Returns the status of one service, or of all services when the name is empty.
    virtual std::vector<StoredObject> copyStatuses(const ServiceName &service) = 0;
    virtual void handleStatuses(const std::vector<StoredObject> &statuses) = 0;
    /// Returns whether this daemon reaches the primary; nullopt without enough evidence.
    virtual std::optional<bool> confirmReachable(const ServiceName &service,
                                                 const EndpointId &endpoint) = 0;
};

/// Sends and receives control messages between daemons. Callbacks run in the loop's thread.
class ControlRpc
{
public:
    template <typename T>
    using Callback = std::function<void(std::variant<T, Error>)>;

    ControlRpc(EventLoop &loop, ControlHandler &handler);
    ~ControlRpc();

    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;

    /// Sends a message without retry; a failure is not reported.
    void gossip(const SocketAddress &peer, const GossipMessage &message);
    void announceStatuses(const SocketAddress &peer, const std::vector<StoredObject> &statuses);
    void fetchConfiguration(const SocketAddress &peer, Milliseconds timeout,
                            Callback<ConfigurationSnapshot> callback);
    /// An empty service name fetches the status of all services.
    void fetchStatuses(const SocketAddress &peer, const ServiceName &service, Milliseconds timeout,
                       Callback<std::vector<StoredObject>> callback);
    /// Asks whether the peer reaches the primary; the answer is nullopt when it lacks evidence.
    void confirmReachable(const SocketAddress &peer, const ServiceName &service,
                          const EndpointId &endpoint, Milliseconds timeout,
                          Callback<std::optional<bool>> callback);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
