#include "net/address_overrides.h"

#include "base/settings.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Set before any thread starts and read-only afterwards, so it needs no lock.
AddressOverrides &currentOverrides()
{
    static AddressOverrides overrides;
    return overrides;
}

} // namespace

Result<AddressOverrides> parseAddressOverrides(const std::string &text)
{
    AddressOverrides overrides;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        const std::string entry = text.substr(begin, end - begin);
        const auto equals = entry.find('=');
        if (equals == std::string::npos)
            return makeError(ErrorCode::InvalidArgument,
                             "\"" + entry + "\" must have the form address=via");
        BOOST_LEAF_AUTO(address, parseAddress(entry.substr(0, equals)));
        BOOST_LEAF_AUTO(via, parseAddress(entry.substr(equals + 1)));
        overrides.insert_or_assign(address, via);
        begin = end + 1;
    }
    return overrides;
}

void setAddressOverrides(AddressOverrides overrides)
{
    currentOverrides() = std::move(overrides);
}

const SocketAddress &applyAddressOverride(const SocketAddress &address)
{
    const auto &overrides = currentOverrides();
    const auto found = overrides.find(address);
    return found == overrides.end() ? address : found->second;
}

} // namespace pistachiowood
