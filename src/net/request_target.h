#ifndef PISTACHIOWOOD_NET_REQUEST_TARGET_H
#define PISTACHIOWOOD_NET_REQUEST_TARGET_H

#include <pistachiowood/error.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// Path and query of a request, percent-decoded.
struct RequestTarget
{
    std::vector<std::string> path; ///< segments without the slashes
    std::map<std::string, std::string, std::less<>> query; ///< the last value of a repeated name

    std::string queryText(std::string_view name) const; ///< empty if absent
    /// nullopt if absent; InvalidArgument unless the value is a non-negative integer.
    Result<std::optional<std::uint64_t>> queryUnsigned(std::string_view name) const;
};

Result<RequestTarget> parseRequestTarget(std::string_view target);

/// Percent-encodes any text for one path segment or query value of a target.
std::string encodeForTarget(std::string_view text);

} // namespace pistachiowood

#endif
