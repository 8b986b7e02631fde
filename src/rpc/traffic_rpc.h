#ifndef PISTACHIOWOOD_RPC_TRAFFIC_RPC_H
#define PISTACHIOWOOD_RPC_TRAFFIC_RPC_H

#include "endpoints/attempt.h"
#include "net/event_loop.h"

#include <memory>

namespace pistachiowood {

/// Forwards attempts between daemons. The handler and the callbacks run in the loop's thread.
class TrafficRpc
{
public:
    using Handler = std::function<void(const AttemptRequest &, AttemptCallback)>;

    TrafficRpc(EventLoop &loop, Handler handler);
    ~TrafficRpc();

    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;

    /// The answer's state is NotExecuted when no connection to the peer could be made, and
    /// Uncertain when the call was sent but not answered in the remaining time.
    void execute(const SocketAddress &peer, const AttemptRequest &request,
                 AttemptCallback callback);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
