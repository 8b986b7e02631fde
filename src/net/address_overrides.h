#ifndef PISTACHIOWOOD_NET_ADDRESS_OVERRIDES_H
#define PISTACHIOWOOD_NET_ADDRESS_OVERRIDES_H

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <map>
#include <string>

namespace pistachiowood {

/// Address to connect to instead, by destination address.
using AddressOverrides = std::map<SocketAddress, SocketAddress>;

/// Parses "address=via,..." where both are IPv4:port.
Result<AddressOverrides> parseAddressOverrides(const std::string &text);

/// Redirects outgoing connections of this process, for example to a relay or to the translated
/// address of another zone. Call it once, before any thread starts or connection is opened.
void setAddressOverrides(AddressOverrides overrides);

/// Returns the override of the address, or the address itself when it has none.
const SocketAddress &applyAddressOverride(const SocketAddress &address);

} // namespace pistachiowood

#endif
