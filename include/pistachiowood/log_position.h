#ifndef PISTACHIOWOOD_LOG_POSITION_H
#define PISTACHIOWOOD_LOG_POSITION_H

#include <pistachiowood/ids.h>

#include <compare>

namespace pistachiowood {

/// Identifies a commit in a database group's log by the term that wrote it and its position.
struct TermPosition
{
    Term term;
    LogPosition number;

    friend bool operator==(const TermPosition &, const TermPosition &) = default;
    // Not defaulted: clang-tidy's modernize-use-nullptr reports the 0 in the generated body.
    friend auto operator<=>(const TermPosition &left, const TermPosition &right)
    {
        return std::tie(left.term, left.number) <=> std::tie(right.term, right.number);
    }
};

} // namespace pistachiowood

#endif
