#include "net/socket_options.h"

#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace pistachiowood {

namespace {

constexpr int keepAliveProbes = 2; // unanswered probes after which the peer counts as gone

} // namespace

void setStreamOptions(ACE_SOCK_Stream &stream, Milliseconds peerTimeout)
{
    int enabled = 1;
    int interval =
        std::max(1, static_cast<int>(peerTimeout.count() / 1000 / (keepAliveProbes + 1)));
    int probes = keepAliveProbes;
    auto userTimeout = static_cast<unsigned>(peerTimeout.count());
    stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    stream.set_option(SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    stream.set_option(IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
    stream.set_option(IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    stream.set_option(IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
}

} // namespace pistachiowood
