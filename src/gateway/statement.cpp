#include "gateway/statement.h"

#include <array>

namespace pistachiowood {

std::string_view replyCodeName(ReplyCode code)
{
    static constexpr std::array<std::string_view, 14> names{
        "busy",         "aborted",       "lagging",
        "read-only",    "misrouted",     "too-many-connections",
        "no-statement", "failed",        "timeout",
        "unknown",      "no-database",   "malformed",
        "too-large",    "not-authorized"};
    return names.at(static_cast<std::size_t>(code));
}

} // namespace pistachiowood
