#ifndef PISTACHIOWOOD_NET_SOCKETS_H
#define PISTACHIOWOOD_NET_SOCKETS_H

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>

class ACE_SOCK_Acceptor;
class ACE_SOCK_Stream;

namespace pistachiowood {

/// Sends small messages at once and makes a peer that vanished without a reset visible within the
/// time-out.
void setStreamOptions(ACE_SOCK_Stream &stream, Milliseconds peerTimeout);

/// Binds and listens without blocking; port 0 picks a free one. Returns the port.
Result<std::uint16_t> openAcceptor(ACE_SOCK_Acceptor &acceptor, const SocketAddress &address);

} // namespace pistachiowood

#endif
