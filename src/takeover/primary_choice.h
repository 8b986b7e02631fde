#ifndef PISTACHIOWOOD_TAKEOVER_PRIMARY_CHOICE_H
#define PISTACHIOWOOD_TAKEOVER_PRIMARY_CHOICE_H

#include "gateway/statement.h"
#include "takeover/term_in_force.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// A registered endpoint of the service, which may become its primary.
struct ReplacementCandidate
{
    EndpointId id;
    bool draining = false;
    unsigned endpointsInRegion = 0; ///< endpoints of the service in the same region
    bool registered = true; ///< false while its registration is missing
};

/// What is known of the logs of a service while its primary is being replaced. No daemon uses the
/// former primary any more, so that no further commit is acknowledged.
struct PrimaryEvidence
{
    EndpointId formerPrimary; ///< the last one that the daemons used
    /// Newest term that any daemon is known to have used a primary in; unset if none is known.
    std::optional<TermInForce> newest;
    std::vector<ReplacementCandidate> candidates; ///< registered endpoints of the service
    std::map<EndpointId, ReplicationStatus> statuses; ///< of the endpoints that answered
    std::set<EndpointId> refused; ///< endpoints that the platform lately did not promote
    unsigned syncReplicas = 0; ///< replicas that hold a commit before it is acknowledged
    Milliseconds waited{0}; ///< time since the endpoints were first asked
    /// Time since the replacement first lacked an answer of an endpoint that holds the newest term,
    /// over all attempts.
    Milliseconds holderMissing{0};
    /// Newest term in force when a promotion was ordered, or may have been by another daemon. It
    /// may take effect at any time, so only an endpoint that leads in a newer term is published.
    std::optional<Term> orderedAfter;
    /// Endpoint that was promoted although its log is of an older term than `newest`.
    std::optional<EndpointId> promotedOlderTerm;
    /// Endpoints that still lead in the same term long after their promotion was accepted: the
    /// platform changes nothing for an endpoint that it regards as the primary.
    std::set<EndpointId> unchanged;
    bool demotionTried = false; ///< the former primary has been asked to step down
    /// Endpoints whose log may be gone, and the position up to which they may have held commits;
    /// nullopt if that is unknown.
    std::map<EndpointId, std::optional<TermPosition>> lostLogs;
    /// End of the former primary's log, told when it stepped down; unset if it did not answer.
    std::optional<TermPosition> finalPosition;
};

/// Why no endpoint becomes the primary yet.
enum class ChoiceWait {
    None,
    Answers, ///< no endpoint that could be promoted has answered, or more may answer in time
    CatchUp, ///< the replicas may still receive the end of the former primary's log
    Copies, ///< too many of the endpoints that may hold acknowledged commits did not answer
    /// The endpoint with the longest log cannot be promoted now; without synchronous replicas, for
    /// at most 3 s.
    LongestLog,
    NewestTerm, ///< only logs of older terms answered; a holder of the newest one may come back
};

/// Name of the reason for logs.
std::string_view choiceWaitName(ChoiceWait wait);

/// Next step towards a primary.
struct PrimaryChoice
{
    enum class Action {
        Wait,
        Publish, ///< the endpoint leads already
        Demote, ///< end the former primary's log, with `term`
        Promote,
    };

    Action action = Action::Wait;
    EndpointId endpoint;
    Term term;
    ChoiceWait wait = ChoiceWait::None;
    bool olderTerm = false; ///< the log to promote is of an older term than the newest in force
};

/// Whether an endpoint with that status holds the log of the newest term in force: it leads in it
/// or has entries of it, or nothing was committed in it and the log ends where that term began.
bool holdsNewestTerm(const ReplicationStatus &status, const std::optional<TermInForce> &newest);

/// Decides which endpoint leads the service next. An endpoint whose log lacks commits that an
/// endpoint that answered holds is never chosen, whether that one drains, is not registered or was
/// the former primary; where the service has synchronous replicas, nor is one as long as the
/// endpoints that did not answer may hold acknowledged commits that it lacks. A log of an older
/// term than the newest one in force is promoted only after 15 s without a holder of that term.
/// Performs no I/O.
PrimaryChoice choosePrimary(const PrimaryEvidence &evidence);

} // namespace pistachiowood

#endif
