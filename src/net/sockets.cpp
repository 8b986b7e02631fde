#include "net/sockets.h"

#include "base/address.h"
#include "base/log.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace pistachiowood {

namespace {

constexpr int listenBacklog = 1024;
// The kernel closes a connection after this many unanswered keep-alive probes.
constexpr int maxUnansweredKeepAliveProbes = 2;
// Pause of accepting while no descriptor or memory is free.
constexpr Milliseconds acceptPause{100};
constexpr Milliseconds acceptLogInterval{1000}; // at most one event of a paused acceptor in it

} // namespace

void setStreamOptions(ACE_SOCK_Stream &stream, Milliseconds peerTimeout)
{
    int enabled = 1;
    // The idle time before the first probe and the wait after each probe are equal parts of
    // peerTimeout.
    int interval = std::max(
        1, static_cast<int>(peerTimeout.count() / 1000 / (maxUnansweredKeepAliveProbes + 1)));
    int probes = maxUnansweredKeepAliveProbes;
    auto userTimeout = static_cast<unsigned>(peerTimeout.count());
    stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    stream.set_option(SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    stream.set_option(IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
    stream.set_option(IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    stream.set_option(IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
}

void AcceptRetry::handleFailure(ACE_Event_Handler &acceptor, int error)
{
    if (error != EMFILE && error != ENFILE && error != ENOBUFS && error != ENOMEM)
        return; // the connection is gone again, or none waits
    if (const TimePoint now = clock_.now(); now >= nextLog_) {
        nextLog_ = now + acceptLogInterval;
        logEvent(Event::AcceptPaused, {{"reason", std::strerror(error)}});
    }
    cancel();
    loop_.reactor()->remove_handler(&acceptor,
                                    ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
    timer_ = loop_.startTimer(acceptPause, [this, &acceptor] {
        timer_ = 0;
        loop_.reactor()->register_handler(&acceptor, ACE_Event_Handler::ACCEPT_MASK);
    });
}

void AcceptRetry::cancel()
{
    loop_.cancelTimer(std::exchange(timer_, 0));
}

Result<std::uint16_t> openAcceptor(ACE_SOCK_Acceptor &acceptor, const SocketAddress &address)
{
    ACE_INET_Addr local;
    const std::string name = formatAddress(address);
    if (local.set(address.port, address.host.c_str(), 1, AF_INET) != 0)
        return makeError(ErrorCode::InvalidArgument, "invalid listen address " + name);
    if (acceptor.open(local, 1, AF_INET, listenBacklog) != 0)
        return makeError(ErrorCode::Unavailable,
                         "cannot listen on " + name + ": " + std::strerror(errno));
    acceptor.enable(ACE_NONBLOCK);
    acceptor.get_local_addr(local);
    return local.get_port_number();
}

} // namespace pistachiowood
