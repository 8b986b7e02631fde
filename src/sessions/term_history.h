#ifndef PISTACHIOWOOD_SESSIONS_TERM_HISTORY_H
#define PISTACHIOWOOD_SESSIONS_TERM_HISTORY_H

#include <pistachiowood/error.h>
#include <pistachiowood/statement.h>

#include <cstddef>
#include <vector>

namespace pistachiowood {

/// Log position at which a term began; entries above it belong to this term or a later one.
struct TermStart
{
    Term term;
    LogPosition start;

    friend bool operator==(const TermStart &, const TermStart &) = default;
};

/// Maximum number of entries. The oldest ones beyond it are dropped, and tokens that need them are
/// refused.
inline constexpr std::size_t maxTermHistory = 64;

/// Starts of the terms of one database group, in increasing order of terms.
class TermHistory
{
public:
    TermHistory() = default;
    /// Entries must have increasing terms; others are ignored.
    explicit TermHistory(const std::vector<TermStart> &entries);

    /// Adds a term if it is newer than the last one.
    void append(const TermStart &entry);
    const std::vector<TermStart> &entries() const { return entries_; }
    Term latest() const;

    /// Returns the position that an answer of the latest term must reach to satisfy the token.
    /// Fails with HistoryLost when the token's position is beyond the end of its term or its term
    /// is older than the history, and with StateStale when its term is newer than the history.
    Result<LogPosition> requiredPosition(const SessionToken &token) const;

private:
    std::vector<TermStart> entries_;
    bool truncated_ = false;
};

} // namespace pistachiowood

#endif
