#ifndef PISTACHIOWOOD_BASE_ADDRESS_H
#define PISTACHIOWOOD_BASE_ADDRESS_H

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <string>

namespace pistachiowood {

/// Parses "host:port" with a numeric IPv4 host; port 0 is accepted for listening on a free port.
Result<SocketAddress> parseAddress(const std::string &text);
/// Parses the address of a peer to connect to; port 0 is refused.
Result<SocketAddress> parsePeerAddress(const std::string &text);
std::string formatAddress(const SocketAddress &address);

} // namespace pistachiowood

#endif
