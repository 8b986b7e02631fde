#ifndef PISTACHIOWOOD_NET_SOCKET_OPTIONS_H
#define PISTACHIOWOOD_NET_SOCKET_OPTIONS_H

#include <pistachiowood/clock.h>

class ACE_SOCK_Stream;

namespace pistachiowood {

/// Sends small messages at once and makes a peer that vanished without a reset visible within the
/// time-out.
void setStreamOptions(ACE_SOCK_Stream &stream, Milliseconds peerTimeout);

} // namespace pistachiowood

#endif
