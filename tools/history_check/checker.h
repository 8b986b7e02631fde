#ifndef HISTORY_CHECK_CHECKER_H
#define HISTORY_CHECK_CHECKER_H

#include "history_check/history_file.h"

#include <string>
#include <vector>

namespace pistachiowood::check {

struct Violation
{
    std::string rule;
    std::string detail;
    const Record *first = nullptr; ///< null when only the final content is involved
    const Record *second = nullptr;

    std::string format() const;
};

struct CheckOptions
{
    /// Inaccuracy allowed for when the age of data is compared with times of the history.
    std::int64_t clockSlackMs = 50;
};

struct CheckSummary
{
    std::size_t committedAppends = 0;
    std::size_t notRunAppends = 0;
    std::size_t unknownAppends = 0;
    std::size_t unknownPresent = 0; ///< appends of unknown outcome found in the final content
    std::size_t checkedReads = 0;
    std::vector<Violation> violations;
};

/// Checks a history against the final content of its keys. The violations point into the history.
CheckSummary checkHistory(const std::vector<Record> &history, const FinalContent &finalContent,
                          const CheckOptions &options);

} // namespace pistachiowood::check

#endif
