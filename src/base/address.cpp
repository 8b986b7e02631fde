#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace pistachiowood {

Result<SocketAddress> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    SocketAddress address;
    if (colon != std::string_view::npos) {
        address.host = std::string(text.substr(0, colon));
        const char *end = text.data() + text.size();
        const auto [last, failure] = std::from_chars(text.data() + colon + 1, end, address.port);
        in_addr numeric{};
        if (failure == std::errc() && last == end
            && inet_pton(AF_INET, address.host.c_str(), &numeric) == 1)
            return address;
    }
    return makeError(ErrorCode::InvalidArgument,
                     "\"" + std::string(text) + "\" is not an address of the form IPv4:port");
}

} // namespace pistachiowood
