#include <pistachiowood/error.h>

#include <array>

namespace pistachiowood {

std::string_view errorCodeName(ErrorCode code)
{
    static constexpr std::array<std::string_view, 13> names{
        "invalid_argument", "not_found",    "conflict",    "permission_denied",
        "unauthenticated",  "too_large",    "unavailable", "deadline_exceeded",
        "version_too_old",  "history_lost", "state_stale", "outcome_unknown",
        "internal",
    };
    return names.at(static_cast<std::size_t>(code));
}

} // namespace pistachiowood
