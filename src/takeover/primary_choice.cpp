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

// How long the promotion of a shorter log waits for an endpoint that the platform refused to
// promote, also without synchronous replicas. It is asked once a second.
constexpr Milliseconds refusedLogTimeout{3000};
// How long a log of an older term waits for a holder of the newest one, whose commits its promotion
// would undo, while it brings back commits that reads of the newest term did not see. A crashed
// endpoint is back within 7 s; a service must not be without a primary for longer than `recover_s`.
constexpr Milliseconds newestTermTimeout{15000};

class Selection
{
public:
    explicit Selection(const PrimaryEvidence &evidence)
        : evidence_(evidence)
    {
        for (const auto &[id, status] : evidence.statuses) {
            highestTerm_ = std::max(highestTerm_, status.term);
            // A former primary that stepped down has the number of its demotion.
            if (status.primary || id != evidence.formerPrimary)
                newestTerm_ = std::max(newestTerm_, status.term);
            holderAnswered_ = holderAnswered_ || holdsNewestTerm(status, evidence.newest);
        }
        // A log that ends in an older term may hold commits that the newest one left out.
        for (const auto &[id, status] : evidence.statuses) {
            if (!holderAnswered_ || holdsNewestTerm(status, evidence.newest))
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
                    Term(highestTerm_.value() + 1)};
        const ReplacementCandidate *best = findLongestLog();
        if (const ChoiceWait wait = reasonToWait(best); wait != ChoiceWait::None)
            return {.wait = wait};
        return {.action = PrimaryChoice::Action::Promote,
                .endpoint = best->id,
                .olderTerm = !holdsNewestTerm(*statusOf(best->id), evidence_.newest)};
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

    // An endpoint that already is the primary of the newest term is published without a promotion.
    std::optional<EndpointId> findLeader() const
    {
        for (const auto &[id, status] : evidence_.statuses) {
            if (status.primary && status.term == newestTerm_ && mayBePublished(id, status))
                return id;
        }
        return std::nullopt;
    }

    bool mayBePublished(const EndpointId &id, const ReplicationStatus &status) const
    {
        if (evidence_.unchanged.count(id) > 0)
            return true;
        // Another endpoint has been in force since; its commits may be missing from this log.
        if (evidence_.newest && status.term < evidence_.newest->term
            && id != evidence_.promotedOlderTerm)
            return false;
        if (evidence_.orderedAfter)
            return status.term > *evidence_.orderedAfter;
        // It may have restarted with its whole log.
        if (id == evidence_.formerPrimary)
            return !formerPrimaryDrains() && !formerLogIsLost();
        // An earlier lease holder has promoted it by these rules, but did not publish it.
        const bool promotedSince = evidence_.newest && status.term > evidence_.newest->term;
        return promotedSince || isComplete(status.received);
    }

    // Whether the former primary has started again without its log, which another endpoint holds.
    bool formerLogIsLost() const
    {
        const ReplicationStatus *former = statusOf(evidence_.formerPrimary);
        return mayHaveHeldMore(evidence_.formerPrimary, former->received)
               && former->received < longestLog_;
    }

    // Whether the endpoint lost a log that may have reached beyond the position.
    bool mayHaveHeldMore(const EndpointId &id, const TermPosition &position) const
    {
        const auto lost = evidence_.lostLogs.find(id);
        return lost != evidence_.lostLogs.end() && (!lost->second || *lost->second > position);
    }

    // Whether a log up to the position holds all that the former primary's log held, which is every
    // acknowledged commit.
    bool holdsFormerLog(const TermPosition &position) const
    {
        if (mayHaveHeldMore(evidence_.formerPrimary, position))
            return false;
        const ReplicationStatus *former = statusOf(evidence_.formerPrimary);
        if (former && former->primary)
            return former->received <= position;
        return evidence_.finalPosition && *evidence_.finalPosition <= position;
    }

    // Whether a log up to the position holds every acknowledged commit, as far as synchronous
    // replicas tell. Each is on the primary of its time and on syncReplicas replicas, so up to
    // syncReplicas logs may be unknown, and one of the known logs still has it.
    bool isComplete(const TermPosition &position) const
    {
        return evidence_.syncReplicas == 0 || holdsFormerLog(position)
               || (position >= longestLog_
                   && unknownLogs(position).size() <= evidence_.syncReplicas);
    }

    // Endpoints whose log, present or lost, may reach beyond the position.
    std::set<EndpointId> unknownLogs(const TermPosition &position) const
    {
        // The former primary may have restarted without its log.
        std::set<EndpointId> unknown{evidence_.formerPrimary};
        for (const ReplacementCandidate &candidate : evidence_.candidates) {
            if (!statusOf(candidate.id))
                unknown.insert(candidate.id);
        }
        for (const auto &[id, heldUpTo] : evidence_.lostLogs) {
            if (mayHaveHeldMore(id, position))
                unknown.insert(id);
        }
        return unknown;
    }

    bool isPromotable(const ReplacementCandidate &candidate) const
    {
        if (!statusOf(candidate.id) || evidence_.refused.count(candidate.id) > 0)
            return false;
        // A former primary that was not demoted may have restarted without its log.
        return candidate.id != evidence_.formerPrimary || evidence_.finalPosition
               || formerKeptItsLog();
    }

    // Whether the former primary, which is a replica now, still has all that it is known to have
    // had.
    bool formerKeptItsLog() const
    {
        const ReplicationStatus *former = statusOf(evidence_.formerPrimary);
        return evidence_.newest && !former->primary && holdsNewestTerm(*former, evidence_.newest)
               && former->received >= evidence_.newest->position
               && !mayHaveHeldMore(evidence_.formerPrimary, former->received);
    }

    const ReplacementCandidate *findLongestLog() const
    {
        const auto preference = [&](const ReplacementCandidate &candidate) {
            const ReplicationStatus &status = *statusOf(candidate.id);
            return std::tuple(holdsNewestTerm(status, evidence_.newest), status.received,
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
        const TermPosition position = statusOf(best->id)->received;
        const bool newest = holdsNewestTerm(*statusOf(best->id), evidence_.newest);
        if (mayCatchUp(*best) && evidence_.waited < catchUpTimeout)
            return ChoiceWait::CatchUp;
        if (newest && holdsFormerLog(position))
            return ChoiceWait::None;
        if (missesReplicas() && evidence_.waited < replicaAnswerTimeout)
            return ChoiceWait::Answers;
        if (!isComplete(position))
            return position < longestLog_ ? ChoiceWait::LongestLog : ChoiceWait::Copies;
        if (position < longestRefusedLog() && evidence_.waited < refusedLogTimeout)
            return ChoiceWait::LongestLog;
        return newest || evidence_.holderMissing >= newestTermTimeout ? ChoiceWait::None
                                                                      : ChoiceWait::NewestTerm;
    }

    // Longest log among the endpoints that answered and that the platform lately did not promote.
    TermPosition longestRefusedLog() const
    {
        TermPosition longest;
        for (const EndpointId &id : evidence_.refused) {
            const ReplicationStatus *status = statusOf(id);
            if (status && status->received <= longestLog_)
                longest = std::max(longest, status->received);
        }
        return longest;
    }

    // Whether a replica may still receive commits of the demoted primary that all replicas lack.
    bool mayCatchUp(const ReplacementCandidate &best) const
    {
        return evidence_.finalPosition
               && (best.id == evidence_.formerPrimary
                   || statusOf(best.id)->received < *evidence_.finalPosition);
    }

    bool missesReplicas() const
    {
        return std::any_of(evidence_.candidates.begin(), evidence_.candidates.end(),
                           [&](const ReplacementCandidate &candidate) {
                               return candidate.id != evidence_.formerPrimary
                                      && !statusOf(candidate.id);
                           });
    }

    const PrimaryEvidence &evidence_;
    Term highestTerm_; ///< of all answers, demotions included
    Term newestTerm_;
    bool holderAnswered_ = false;
    TermPosition longestLog_; ///< of the holders of the newest term, if any answered
};

} // namespace

std::string_view choiceWaitName(ChoiceWait wait)
{
    constexpr std::array<std::string_view, 6> names{"none",           "answers of replicas",
                                                    "end of the log", "missing copies",
                                                    "longest log",    "holder of the newest term"};
    return names.at(static_cast<std::size_t>(wait));
}

bool holdsNewestTerm(const ReplicationStatus &status, const std::optional<TermInForce> &newest)
{
    return !newest || (status.primary && status.term >= newest->term)
           || status.received.term >= newest->term || status.received == newest->position;
}

PrimaryChoice choosePrimary(const PrimaryEvidence &evidence)
{
    return Selection(evidence).choose();
}

} // namespace pistachiowood
