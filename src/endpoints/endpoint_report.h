#ifndef PISTACHIOWOOD_ENDPOINTS_ENDPOINT_REPORT_H
#define PISTACHIOWOOD_ENDPOINTS_ENDPOINT_REPORT_H

#include "sessions/term_history.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <vector>

namespace pistachiowood {

enum class EndpointRole { Primary, Replica };

/// State that an endpoint reports with every answer.
struct EndpointReport
{
    Term term; ///< highest term granted; statements of older terms are refused
    LogPosition position; ///< last entry of its log
    Term lastEntryTerm; ///< term in which the last entry was written
    EndpointRole role = EndpointRole::Replica;
    Milliseconds age{0}; ///< upper bound on the age of its data
};

/// Returns whether the log is known to agree with the log of its term's primary. A former primary
/// that has granted a newer term may still hold entries that no other member has, at positions that
/// the new primary has used for other entries.
inline bool isLastEntryOfCurrentTerm(const EndpointReport &report)
{
    return report.lastEntryTerm == report.term;
}

/// Answer to a status probe.
struct EndpointStatus
{
    EndpointReport report;
    std::string promoter; ///< promoter that was granted the current term
    Milliseconds primaryContact{0}; ///< replica: time since the last answer from its primary
    std::vector<TermStart> history;
};

} // namespace pistachiowood

#endif
