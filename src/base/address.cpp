#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace pistachiowood {

Result<SocketAddress> parseAddress(const std::string &text)
{
    if (const auto colon = text.rfind(':'); colon != std::string::npos) {
        SocketAddress address{text.substr(0, colon)};
        const char *end = text.data() + text.size();
        const auto [rest, failure] = std::from_chars(text.data() + colon + 1, end, address.port);
        in_addr ignored{};
        if (failure == std::errc() && rest == end
            && inet_pton(AF_INET, address.host.c_str(), &ignored) == 1)
            return address;
    }
    return makeError(ErrorCode::InvalidArgument,
                     "\"" + text + "\" is not an IPv4 address with port, such as 127.0.0.1:8080");
}

Result<SocketAddress> parsePeerAddress(const std::string &text)
{
    BOOST_LEAF_AUTO(address, parseAddress(text));
    if (address.port == 0)
        return makeError(ErrorCode::InvalidArgument, "\"" + text + "\" lacks a port to connect to");
    return address;
}

std::string formatAddress(const SocketAddress &address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace pistachiowood
