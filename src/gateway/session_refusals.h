#ifndef PISTACHIOWOOD_GATEWAY_SESSION_REFUSALS_H
#define PISTACHIOWOOD_GATEWAY_SESSION_REFUSALS_H

#include "gateway/statement.h"

#include <pistachiowood/clock.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace pistachiowood {

/// Why a session is not opened, as it is told to the caller.
struct SessionRefusal
{
    ReplyCode code = ReplyCode::NoDatabase;
    std::string_view message;
};

/// Counts the sessions that were refused, by reason, and bounds how many of them are logged.
class SessionRefusals
{
public:
    enum class Reason { NoDatabase, NoKey, UnknownKey, Stopping };
    static constexpr std::size_t reasonCount = 4;

    static std::string_view describe(Reason reason);
    static SessionRefusal answerTo(Reason reason);

    /// Returns whether the refusal is to be logged: the first ones of each second are.
    bool record(Reason reason, TimePoint now);
    std::uint64_t count(Reason reason) const
    {
        return counts_.at(static_cast<std::size_t>(reason));
    }
    /// Logs the counts if they have changed since the last call.
    void logCounts();

private:
    std::array<std::uint64_t, reasonCount> counts_{};
    std::array<std::uint64_t, reasonCount> loggedCounts_{};
    TimePoint secondStart_{};
    unsigned loggedInSecond_ = 0;
};

} // namespace pistachiowood

#endif
