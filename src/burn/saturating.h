#ifndef PISTACHIOWOOD_BURN_SATURATING_H
#define PISTACHIOWOOD_BURN_SATURATING_H

#include <algorithm>
#include <cstdint>
#include <limits>

namespace pistachiowood {

/// Adds two counters; a sum beyond the range stays at the maximum.
inline std::uint32_t addSaturated(std::uint32_t left, std::uint32_t right)
{
    const std::uint64_t sum = std::uint64_t{left} + right;
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(sum, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace pistachiowood

#endif
