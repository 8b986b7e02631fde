#ifndef PISTACHIOWOOD_NET_ADDRESS_OVERRIDES_H
#define PISTACHIOWOOD_NET_ADDRESS_OVERRIDES_H

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <map>
#include <string>

namespace pistachiowood {

using AddressOverrides = std::map<SocketAddress, SocketAddress>;

/// Parses "address=via,..." where both are IPv4:port.
Result<AddressOverrides> parseAddressOverrides(const std::string &text);

/// Makes outgoing connections to an address go through another one, such as a relay or a
/// translated address of another zone. Call it once, before any connection is opened.
void setAddressOverrides(AddressOverrides overrides);

/// Address to connect to in order to reach the given one.
const SocketAddress &overriddenAddress(const SocketAddress &address);

} // namespace pistachiowood

#endif
