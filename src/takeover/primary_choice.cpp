#include "takeover/primary_choice.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace pistachiowood {

namespace {

// Replicas that do not answer the survey within this time are left out; it exceeds the connect
// timeout of one second.
constexpr Milliseconds replicaAnswerTimeout{1200};
// How long to wait for a replica to receive the end of a demoted primary's log: replicas are tens
// of milliseconds behind, and a draining endpoint keeps running for seconds.
constexpr Milliseconds catchUpTimeout{2000};

class Selection
{
public:
    explicit Selection(const PrimaryEvidence &evidence)
        : evidence_(evidence)
    {
        for (const auto &[id, status] : evidence.statuses) {
            newestTerm_ = std::max(newestTerm_, status.term);
            longestLog_ = std::max(longestLog_, status.received);
        }
    }

    PrimaryChoice choose() const
    {
        if (const auto leader = findLeader())
            return {PrimaryChoice::Action::Publish, *leader};
        const ReplicationStatus *former = statusOf(evidence_.formerPrimary);
        if (former && former->primary && !evidence_.demotionTried)
            return {PrimaryChoice::Action::Demote, evidence_.formerPrimary,
                    Term(newestTerm_.value() + 1)};
        const ReplacementCandidate *best = findLongestLog();
        if (const ChoiceWait wait = reasonToWait(best); wait != ChoiceWait::None)
            return {.wait = wait};
        return {PrimaryChoice::Action::Promote, best->id};
    }

private:
    const ReplicationStatus *statusOf(const EndpointId &id) const
    {
        const auto found = evidence_.statuses.find(id);
        return found == evidence_.statuses.end() ? nullptr : &found->second;
    }

    bool formerPrimaryDrains() const
    {
        return std::any_of(evidence_.candidates.begin(), evidence_.candidates.end(),
                           [&](const ReplacementCandidate &candidate) {
                               return candidate.id == evidence_.formerPrimary && candidate.draining;
                           });
    }

    // An endpoint that already is the primary of the newest term is published without a promotion:
    // an earlier lease holder may have promoted it without publishing it, or the former primary has
    // restarted with its whole log.
    std::optional<EndpointId> findLeader() const
    {
        for (const auto &[id, status] : evidence_.statuses) {
            if (status.primary && status.term == newestTerm_
                && !(id == evidence_.formerPrimary && formerPrimaryDrains()))
                return id;
        }
        return std::nullopt;
    }

    bool isPromotable(const ReplacementCandidate &candidate) const
    {
        if (!statusOf(candidate.id) || evidence_.refused.count(candidate.id) > 0)
            return false;
        // A former primary that was not demoted may have restarted without its log.
        return candidate.id != evidence_.formerPrimary || evidence_.finalPosition;
    }

    const ReplacementCandidate *findLongestLog() const
    {
        const auto preference = [&](const ReplacementCandidate &candidate) {
            return std::tuple(statusOf(candidate.id)->received,
                              candidate.id != evidence_.formerPrimary, !candidate.draining,
                              candidate.registered, candidate.endpointsInRegion);
        };
        const ReplacementCandidate *best = nullptr;
        for (const ReplacementCandidate &candidate : evidence_.candidates) {
            if (isPromotable(candidate) && (!best || preference(candidate) > preference(*best)))
                best = &candidate;
        }
        return best;
    }

    ChoiceWait reasonToWait(const ReplacementCandidate *best) const
    {
        if (!best)
            return ChoiceWait::Answers;
        const unsigned missing = missingReplicas();
        // Every acknowledged commit is on at least syncReplicas replicas, so up to syncReplicas - 1
        // of them may be missing from the survey and one that answered still has it. Without
        // synchronous replicas, any number may be missing.
        if (evidence_.syncReplicas > 0 && missing >= evidence_.syncReplicas)
            return ChoiceWait::Copies;
        if (missing > 0 && evidence_.waited < replicaAnswerTimeout)
            return ChoiceWait::Answers;
        if (mayCatchUp(*best) && evidence_.waited < catchUpTimeout)
            return ChoiceWait::CatchUp;
        if (evidence_.syncReplicas > 0 && statusOf(best->id)->received < longestLog_)
            return ChoiceWait::LongestLog;
        return ChoiceWait::None;
    }

    // Whether a replica may still receive commits of the demoted primary that all replicas lack.
    bool mayCatchUp(const ReplacementCandidate &best) const
    {
        return evidence_.finalPosition
               && (best.id == evidence_.formerPrimary
                   || statusOf(best.id)->received < *evidence_.finalPosition);
    }

    unsigned missingReplicas() const
    {
        return static_cast<unsigned>(std::count_if(
            evidence_.candidates.begin(), evidence_.candidates.end(),
            [&](const ReplacementCandidate &candidate) {
                return candidate.id != evidence_.formerPrimary && !statusOf(candidate.id);
            }));
    }

    const PrimaryEvidence &evidence_;
    Term newestTerm_;
    TermPosition longestLog_;
};

} // namespace

std::string_view choiceWaitName(ChoiceWait wait)
{
    constexpr std::array<std::string_view, 5> names{"none", "answers of replicas", "end of the log",
                                                    "missing copies", "longest log"};
    return names.at(static_cast<std::size_t>(wait));
}

PrimaryChoice choosePrimary(const PrimaryEvidence &evidence)
{
    return Selection(evidence).choose();
}

} // namespace pistachiowood
