#ifndef PISTACHIOWOOD_BASE_ADDRESS_H
#define PISTACHIOWOOD_BASE_ADDRESS_H

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <string_view>

namespace pistachiowood {

/// Parses "host:port"; the host is a numeric IPv4 address.
Result<SocketAddress> parseAddress(std::string_view text);

} // namespace pistachiowood

#endif
