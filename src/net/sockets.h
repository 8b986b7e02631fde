#ifndef PISTACHIOWOOD_NET_SOCKETS_H
#define PISTACHIOWOOD_NET_SOCKETS_H

#include "net/event_loop.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>

class ACE_Event_Handler;
class ACE_SOCK_Acceptor;
class ACE_SOCK_Stream;

namespace pistachiowood {

/// Disables Nagle's algorithm, and sets TCP keep-alive and the TCP user timeout so that a peer that
/// vanished without a reset is detected within the timeout.
void setStreamOptions(ACE_SOCK_Stream &stream, Milliseconds peerTimeout);

/// Pauses an acceptor for a moment when accept() fails for lack of descriptors or memory: the
/// waiting connection would make the loop spin.
class AcceptRetry
{
public:
    explicit AcceptRetry(EventLoop &loop)
        : loop_(loop)
    {
    }
    ~AcceptRetry() { cancel(); }
    AcceptRetry(const AcceptRetry &) = delete;
    AcceptRetry &operator=(const AcceptRetry &) = delete;

    void handleFailure(ACE_Event_Handler &acceptor, int error);
    void cancel();

private:
    EventLoop &loop_;
    SteadyClock clock_;
    TimerId timer_ = 0;
    TimePoint nextLog_{};
};

/// Binds and listens in non-blocking mode; port 0 selects a free port. Returns the port.
Result<std::uint16_t> openAcceptor(ACE_SOCK_Acceptor &acceptor, const SocketAddress &address);

} // namespace pistachiowood

#endif
