#include "sessions/term_history.h"

#include <algorithm>

namespace pistachiowood {

TermHistory::TermHistory(const std::vector<TermStart> &entries)
{
    for (const TermStart &entry : entries)
        append(entry);
}

void TermHistory::append(const TermStart &entry)
{
    if (!entries_.empty() && entry.term <= entries_.back().term)
        return;
    entries_.push_back(entry);
    if (entries_.size() > maxTermHistory) {
        entries_.erase(entries_.begin());
        truncated_ = true;
    }
}

Term TermHistory::latest() const
{
    return entries_.empty() ? Term(0) : entries_.back().term;
}

Result<LogPosition> TermHistory::requiredPosition(const SessionToken &token) const
{
    if (token.term > latest())
        return makeError(ErrorCode::StateStale,
                         "the session token is from a newer term than this daemon knows");
    // A history of maximum length may already have been truncated by the process that sent it.
    const bool mayBeTruncated = truncated_ || entries_.size() == maxTermHistory;
    if (mayBeTruncated && token.term < entries_.front().term)
        return makeError(ErrorCode::HistoryLost,
                         "the session token is older than the kept term history");
    const auto next = std::find_if(entries_.begin(), entries_.end(),
                                   [&](const TermStart &entry) { return entry.term > token.term; });
    if (next != entries_.end() && token.position > next->start)
        return makeError(
            ErrorCode::HistoryLost,
            "data that the session has seen was lost in a change of primary; start a new session");
    return token.position;
}

} // namespace pistachiowood
