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

/// Oldest entries beyond this number are dropped; tokens that need them are refused.
inline constexpr std::size_t maxTermHistory = 64;

/// Terms of one database group in increasing order.
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
    /// HistoryLost: the token is beyond the end of its term or older than the history.
    /// StateStale: the token's term is newer than this history.
    Result<LogPosition> requiredPosition(const SessionToken &token) const;

private:
    std::vector<TermStart> entries_;
    bool truncated_ = false;
};

} // namespace pistachiowood

#endif
