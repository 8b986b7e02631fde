#include "gateway/session_refusals.h"

#include "base/log.h"

namespace pistachiowood {

namespace {

// Enough to see who is affected; a caller that tries again all the time must not fill the log.
constexpr unsigned maxLoggedPerSecond = 5;

struct ReasonEntry
{
    std::string_view name;
    SessionRefusal answer;
};

// In the order of SessionRefusals::Reason. A caller isn't told whether it sent a key at all or a
// wrong one.
constexpr std::array<ReasonEntry, SessionRefusals::reasonCount> reasons{{
    {"no_database", {ReplyCode::NoDatabase, "no route has this database"}},
    {"no_key", {ReplyCode::NotAuthorized, "the key is missing or not known"}},
    {"unknown_key", {ReplyCode::NotAuthorized, "the key is missing or not known"}},
    {"stopping", {ReplyCode::Busy, "the daemon stops"}},
}};

} // namespace

std::string_view SessionRefusals::describe(Reason reason)
{
    return reasons.at(static_cast<std::size_t>(reason)).name;
}

SessionRefusal SessionRefusals::answerTo(Reason reason)
{
    return reasons.at(static_cast<std::size_t>(reason)).answer;
}

bool SessionRefusals::record(Reason reason, TimePoint now)
{
    ++counts_.at(static_cast<std::size_t>(reason));
    if (now - secondStart_ >= std::chrono::seconds(1)) {
        secondStart_ = now;
        loggedInSecond_ = 0;
    }
    return loggedInSecond_++ < maxLoggedPerSecond;
}

void SessionRefusals::logCounts()
{
    if (counts_ == loggedCounts_)
        return;
    loggedCounts_ = counts_;
    logEvent(Event::SessionsRefused, {{describe(Reason::NoDatabase), count(Reason::NoDatabase)},
                                      {describe(Reason::NoKey), count(Reason::NoKey)},
                                      {describe(Reason::UnknownKey), count(Reason::UnknownKey)},
                                      {describe(Reason::Stopping), count(Reason::Stopping)}});
}

} // namespace pistachiowood
