#ifndef PISTACHIOWOOD_TAKEOVER_STORE_CALL_COUNTS_H
#define PISTACHIOWOOD_TAKEOVER_STORE_CALL_COUNTS_H

#include "takeover/platform_store.h"

#include <array>
#include <cstdint>
#include <optional>

namespace pistachiowood {

enum class StoreCall { List, Watch, Check, Change };

/// Counts the calls to the platform's store by kind and by failure.
class StoreCallCounts
{
public:
    void record(StoreCall call, std::optional<StoreFailure> failure);
    /// Logs the counts since the last call of this function as one event, if there are any.
    void log();

private:
    std::array<std::uint64_t, 4> calls_{}; ///< indexed by StoreCall
    std::array<std::uint64_t, 5> failures_{}; ///< indexed by StoreFailure
};

} // namespace pistachiowood

#endif
