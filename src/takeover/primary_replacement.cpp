#include "takeover/primary_replacement.h"

#include "takeover/primary_permission.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// How long the primary must fail to answer before the peers are asked: a busy endpoint answers
// within a second.
constexpr Milliseconds primaryFailureTimeout{800};
// How long the primary must be missing. It is so only some time after its registration is gone; see
// EndpointRegistry.
constexpr Milliseconds missingRegistrationTimeout{300};
// How long another daemon's replacement may stay unfinished before it counts as abandoned; longer
// than a replacement normally takes.
constexpr Milliseconds unfinishedReplacementTimeout{5000};
// How long a planned replacement waits for the draining primary to tell its position.
constexpr Milliseconds primaryPositionTimeout{1000};
// Each daemon acts this much later than the one before it in rank, so that normally only one does.
constexpr Milliseconds delayPerRank{200};
// Extra delay of a daemon that has not known the members for the longest lifetime of a permission.
// The other daemons then act first: they need not wait as long for lost members.
constexpr Milliseconds newMemberDelay{1000};
constexpr Milliseconds askPeersInterval{150};
// Minimum interval for each peer that is asked: limits a daemon to 200 queries a second.
constexpr Milliseconds askPeersIntervalPerPeer{5};
// How long to wait for the answers of all peers: those without traffic to the primary first query
// its status.
constexpr Milliseconds peerAnswerTimeout{800};
constexpr Milliseconds retryDelay{100};
constexpr Milliseconds surveyInterval{50}; // between status queries to the endpoints
// After this time without an effect, another replica may be chosen; the platform promotes within
// a few hundred milliseconds.
constexpr Milliseconds promotionEffectTimeout{4000};
// After this time, a demotion without an answer is repeated: an old primary that can be neither
// published nor promoted would leave the service without one. Longer than the wait for replicas.
constexpr Milliseconds demotionRetryDelay{3000};
// After this time, an endpoint that the platform could not promote is tried again.
constexpr Milliseconds refusalRetryDelay{1000};

bool primaryFails(const ReplacementInput &input)
{
    return input.primaryFailingSince
           && input.now - *input.primaryFailingSince >= primaryFailureTimeout;
}

// Newest term that an endpoint with that status proves to have begun. The term of a replica may be
// the number of a demotion.
Term provenTerm(const ReplicationStatus &status)
{
    return status.primary ? status.term : status.received.term;
}

// Newest term in force once an endpoint with that status is published.
TermInForce newestAfterPublishing(const ReplicationStatus &status,
                                  const std::optional<TermInForce> &newest)
{
    const TermInForce published{status.term, status.received};
    return newest && newest->term == status.term ? *newerTerm(newest, published) : published;
}

// Whether the endpoint can take the place of a draining primary.
bool isSuccessor(const ReplacementCandidate &candidate)
{
    return !candidate.draining && candidate.registered;
}

} // namespace

PrimaryReplacement::PrimaryReplacement(ServiceName service, VmId self)
    : service_(std::move(service))
    , self_(std::move(self))
{
}

std::optional<ReplacementCommand> PrimaryReplacement::step(const ReplacementInput &input)
{
    if (pending_ || !input.record || input.now < retryAt_)
        return std::nullopt;
    const bool notYetAnnounced = stage_ == Stage::Monitoring || stage_ == Stage::AcquiringLease
                                 || stage_ == Stage::Announcing;
    if (input.announcedByThisRun && input.recordVersion.era != announcedVersion_.era)
        announcedVersion_ = input.recordVersion; // written again after the store lost it
    if (!notYetAnnounced && input.recordVersion != announcedVersion_) {
        reset(input.now); // another daemon has continued or finished the replacement
        return std::nullopt;
    }
    if (!notYetAnnounced && !input.leaseHeld && stage_ != Stage::Publishing) {
        if (input.leaseAvailable) {
            pending_ = true;
            return AcquireLeaseCommand{};
        }
        reset(input.now);
        return std::nullopt;
    }
    if (!notYetAnnounced)
        notePromotionOfOthers(input);
    switch (stage_) {
    case Stage::Monitoring:
        return monitor(input);
    case Stage::AcquiringLease:
        return acquireLease(input);
    case Stage::Announcing:
        return announce(input);
    case Stage::AwaitingAcknowledgements:
        return awaitAcknowledgements(input);
    case Stage::Surveying:
    case Stage::Demoting:
        return survey(input);
    case Stage::Promoting:
        return promote(input);
    case Stage::Verifying:
        return verify(input);
    case Stage::Publishing:
        return publish(input);
    }
    return std::nullopt;
}

PrimaryReplacement::Reason PrimaryReplacement::findReason(const ReplacementInput &input) const
{
    if (input.record->replacing)
        return Reason::Unfinished;
    const auto primary = std::find_if(input.candidates.begin(), input.candidates.end(),
                                      [&](const ReplacementCandidate &candidate) {
                                          return candidate.id == input.record->primary;
                                      });
    if (primary == input.candidates.end())
        return input.registrationsCurrent && !input.candidates.empty() ? Reason::Failed
                                                                       : Reason::None;
    const bool successor =
        std::any_of(input.candidates.begin(), input.candidates.end(), isSuccessor);
    if (primary->draining && successor)
        return Reason::Planned;
    return primaryFails(input) ? Reason::Failed : Reason::None;
}

std::optional<ReplacementCommand> PrimaryReplacement::monitor(const ReplacementInput &input)
{
    const Reason reason = findReason(input);
    if (reason != reason_) {
        reason_ = reason;
        reasonSince_ = input.now;
    }
    if (!input.record->replacing) {
        holderMissingSince_.reset();
        orderedAfter_.reset();
    }
    if (reason == Reason::None)
        return std::nullopt;
    const bool present = std::any_of(input.candidates.begin(), input.candidates.end(),
                                     [&](const ReplacementCandidate &candidate) {
                                         return candidate.id == input.record->primary;
                                     });
    Milliseconds delay = delayPerRank * input.rank;
    if (reason != Reason::Planned && !input.membershipEstablished)
        delay += newMemberDelay;
    if (reason == Reason::Unfinished) {
        if (input.announcedByThisRun)
            delay = Milliseconds(0);
        else if (input.record->changedBy != self_)
            delay += unfinishedReplacementTimeout;
    }
    if (reason == Reason::Failed && !present)
        delay += missingRegistrationTimeout;
    if (input.now - *reasonSince_ < delay)
        return std::nullopt;
    if (reason == Reason::Failed && present) {
        // This daemon alone may be cut off from the primary, which is replaced only if more daemons
        // have lost it than reach it.
        const bool allAnswered = input.peersReaching + input.peersFailing >= input.peerCount;
        // A daemon that hears no peer at all is probably cut off itself.
        const bool cutOff = input.peerCount > 0 && input.peersHeard == 0;
        const Milliseconds timeout =
            cutOff ? PrimaryPermission::longestLifetime : peerAnswerTimeout;
        const bool timedOut = input.now - *reasonSince_ >= delay + timeout;
        const bool lostByMost = input.peersFailing + 1 > input.peersReaching;
        if (!(allAnswered || timedOut) || !lostByMost)
            return askPeers(input);
    }
    enter(Stage::AcquiringLease, input.now);
    return acquireLease(input);
}

std::optional<ReplacementCommand> PrimaryReplacement::acquireLease(const ReplacementInput &input)
{
    if (findReason(input) == Reason::None) {
        reset(input.now);
        return std::nullopt;
    }
    if (input.leaseHeld) {
        statuses_.clear();
        drainPosition_.reset();
        enter(Stage::Announcing, input.now);
        return announce(input);
    }
    if (!input.leaseAvailable)
        return std::nullopt;
    pending_ = true;
    return AcquireLeaseCommand{};
}

std::optional<ReplacementCommand> PrimaryReplacement::announce(const ReplacementInput &input)
{
    const Reason reason = findReason(input);
    if (reason == Reason::None) {
        reset(input.now); // the primary recovered while the announcement waited
        return std::nullopt;
    }
    if (reason == Reason::Planned && !primaryFails(input) && !successorKeepsUp(input)) {
        if (input.leaseHeld)
            return surveyCandidates(input);
        reset(input.now);
        return std::nullopt;
    }
    oldPrimary_ = input.record->primary;
    halfAcknowledgedAt_.reset();
    statuses_.clear();
    surveySince_.reset();
    finalPosition_.reset();
    demotionTried_ = false;
    refusedUntil_.clear();
    unchanged_.clear();
    if (input.record->replacing) {
        notePromotionOfOthers(input);
        announcedAt_ = input.recordSince;
        announcedVersion_ = input.recordVersion;
        enter(Stage::AwaitingAcknowledgements, input.now);
        return awaitAcknowledgements(input);
    }
    if (!input.mayAnnounce)
        return std::nullopt;
    leaseToken_ = input.leaseToken;
    pending_ = true;
    return AnnounceCommand{{.service = service_,
                            .primary = oldPrimary_,
                            .replacing = true,
                            .changedBy = self_,
                            .attempt = ++attempt_,
                            .newest = input.newest}};
}

// Whether an endpoint that can take the place of the primary has received what the primary held
// when it was first asked. Otherwise the service would be left without a primary until it has.
bool PrimaryReplacement::successorKeepsUp(const ReplacementInput &input)
{
    const EndpointId &primary = input.record->primary;
    if (const auto found = statuses_.find(primary); found != statuses_.end() && !drainPosition_)
        drainPosition_ = found->second.received;
    if (!drainPosition_)
        return input.now - stageSince_ >= primaryPositionTimeout;
    return std::any_of(input.candidates.begin(), input.candidates.end(),
                       [&](const ReplacementCandidate &candidate) {
                           const auto found = statuses_.find(candidate.id);
                           return candidate.id != primary && isSuccessor(candidate)
                                  && found != statuses_.end()
                                  && found->second.received >= *drainPosition_;
                       });
}

std::optional<ReplacementCommand>
PrimaryReplacement::awaitAcknowledgements(const ReplacementInput &input)
{
    if (input.halfAcknowledged && !halfAcknowledgedAt_)
        halfAcknowledgedAt_ = input.now;
    const bool permissionsExpired =
        input.now >= PrimaryPermission::effectiveWithoutAcknowledgement(*announcedAt_)
        || (halfAcknowledgedAt_
            && input.now >= PrimaryPermission::effectiveAfterAcknowledgement(*halfAcknowledgedAt_));
    if (input.allAcknowledged || permissionsExpired) {
        enter(Stage::Surveying, input.now);
        return survey(input);
    }
    return askPeers(input);
}

std::optional<ReplacementCommand> PrimaryReplacement::survey(const ReplacementInput &input)
{
    if (!surveySince_)
        surveySince_ = input.now;
    noteMissingHolder(input);
    if (!statuses_.empty()) {
        if (auto command = followChoice(input))
            return command;
    }
    return surveyCandidates(input);
}

// Another daemon that held the lease since the announcement may have ordered a promotion. The
// fencing token grows by one when this daemon acquires the lease again.
void PrimaryReplacement::notePromotionOfOthers(const ReplacementInput &input)
{
    if (!input.leaseHeld)
        return;
    const bool heldByOther = leaseToken_ != 0 && input.leaseToken > leaseToken_ + 1;
    leaseToken_ = input.leaseToken;
    if (input.newest && !orderedAfter_ && (heldByOther || !input.announcedByThisRun))
        orderedAfter_ = input.newest->term;
}

void PrimaryReplacement::noteMissingHolder(const ReplacementInput &input)
{
    const bool answered = std::any_of(statuses_.begin(), statuses_.end(), [&](const auto &entry) {
        return holdsNewestTerm(entry.second, input.newest);
    });
    if (answered || holderMissingSince_)
        return;
    holderMissingSince_ = input.now;
    // Another daemon may have waited before; it surveyed at the latest from this time on.
    if (!input.announcedByThisRun)
        holderMissingSince_ = std::min(
            input.now, PrimaryPermission::effectiveWithoutAcknowledgement(input.recordSince));
}

std::optional<ReplacementCommand>
PrimaryReplacement::surveyCandidates(const ReplacementInput &input)
{
    if (input.now < nextSurvey_)
        return std::nullopt;
    std::vector<EndpointId> endpoints;
    for (const ReplacementCandidate &candidate : input.candidates)
        endpoints.push_back(candidate.id);
    if (endpoints.empty())
        return std::nullopt;
    pending_ = true;
    return SurveyCommand{endpoints};
}

std::optional<ReplacementCommand> PrimaryReplacement::followChoice(const ReplacementInput &input)
{
    const PrimaryChoice choice = choosePrimary(collectEvidence(input));
    wait_ = choice.wait;
    switch (choice.action) {
    case PrimaryChoice::Action::Wait:
        break;
    case PrimaryChoice::Action::Publish:
        chosen_ = choice.endpoint;
        enter(Stage::Publishing, input.now);
        return publish(input);
    case PrimaryChoice::Action::Demote:
        demotionTried_ = true;
        enter(Stage::Demoting, input.now);
        pending_ = true;
        return DemoteCommand{choice.endpoint, choice.term};
    case PrimaryChoice::Action::Promote:
        chosen_ = choice.endpoint;
        chosenOlderTerm_ = choice.olderTerm;
        enter(Stage::Promoting, input.now);
        return promote(input);
    }
    return std::nullopt;
}

PrimaryEvidence PrimaryReplacement::collectEvidence(const ReplacementInput &input) const
{
    PrimaryEvidence evidence{
        .formerPrimary = oldPrimary_,
        .newest = input.newest,
        .candidates = input.candidates,
        .statuses = statuses_,
        .syncReplicas = input.syncReplicas,
        .waited = std::chrono::duration_cast<Milliseconds>(input.now - *surveySince_),
        .orderedAfter = orderedAfter_,
        .unchanged = unchanged_,
        .demotionTried = demotionTried_ && (finalPosition_ || input.now < demotionRetryAt_),
        .lostLogs = input.lostLogs,
        .finalPosition = finalPosition_};
    if (orderedAfter_ && chosenOlderTerm_)
        evidence.promotedOlderTerm = chosen_;
    if (holderMissingSince_)
        evidence.holderMissing =
            std::chrono::duration_cast<Milliseconds>(input.now - *holderMissingSince_);
    for (const auto &[endpoint, until] : refusedUntil_) {
        if (input.now < until)
            evidence.refused.insert(endpoint);
    }
    return evidence;
}

std::optional<ReplacementCommand> PrimaryReplacement::promote(const ReplacementInput &input)
{
    // If the service is given up to a log of an older term, only the answers tell the terms.
    termBeforeOrder_ = input.newest && !chosenOlderTerm_ ? input.newest->term : Term();
    chosenLedIn_.reset();
    if (const auto found = statuses_.find(chosen_);
        found != statuses_.end() && found->second.primary)
        chosenLedIn_ = found->second.term;
    for (const auto &[id, status] : statuses_)
        termBeforeOrder_ = std::max(termBeforeOrder_, provenTerm(status));
    pending_ = true;
    return PromoteCommand{chosen_, chosenOlderTerm_};
}

std::optional<ReplacementCommand> PrimaryReplacement::verify(const ReplacementInput &input)
{
    // The chosen endpoint may still lead in its former term, before the promotion takes effect.
    const PrimaryChoice choice = choosePrimary(collectEvidence(input));
    if (choice.action == PrimaryChoice::Action::Publish && choice.endpoint == chosen_) {
        enter(Stage::Publishing, input.now);
        return publish(input);
    }
    if (input.now - stageSince_ > promotionEffectTimeout) {
        if (const auto found = statuses_.find(chosen_);
            found != statuses_.end() && found->second.primary && chosenLedIn_ == found->second.term)
            unchanged_.insert(chosen_);
        surveySince_.reset();
        statuses_.clear();
        enter(Stage::Surveying, input.now);
        return survey(input);
    }
    if (input.now < nextSurvey_)
        return std::nullopt;
    pending_ = true;
    return SurveyCommand{{chosen_}};
}

std::optional<ReplacementCommand> PrimaryReplacement::publish(const ReplacementInput &input)
{
    pending_ = true;
    PrimaryRecord record{.service = service_,
                         .primary = chosen_,
                         .changedBy = self_,
                         .attempt = ++attempt_,
                         .newest = input.newest};
    // An endpoint that is published leads in its term from now on.
    if (const auto found = statuses_.find(chosen_); found != statuses_.end())
        record.newest = newestAfterPublishing(found->second, input.newest);
    return PublishCommand{record};
}

std::optional<ReplacementCommand> PrimaryReplacement::askPeers(const ReplacementInput &input)
{
    if (input.now - peersAskedAt_
        < std::max(askPeersInterval, askPeersIntervalPerPeer * input.peerCount))
        return std::nullopt;
    peersAskedAt_ = input.now;
    return AskPeersCommand{};
}

void PrimaryReplacement::handleLeaseResult(bool acquired, TimePoint now)
{
    pending_ = false;
    if (!acquired)
        retryAt_ = now + retryDelay;
}

void PrimaryReplacement::handleAnnounced(std::optional<StoreVersion> version, TimePoint now)
{
    pending_ = false;
    if (!version) {
        retryAt_ = now + retryDelay;
        reset(now);
        return;
    }
    announcedAt_ = now;
    announcedVersion_ = *version;
    orderedAfter_.reset();
    enter(Stage::AwaitingAcknowledgements, now);
}

void PrimaryReplacement::handleSurvey(const std::map<EndpointId, ReplicationStatus> &statuses,
                                      TimePoint now)
{
    pending_ = false;
    for (const auto &[id, status] : statuses)
        statuses_[id] = status;
    nextSurvey_ = now + surveyInterval;
}

void PrimaryReplacement::handleDemoted(std::optional<ReplicationStatus> status, TimePoint now)
{
    pending_ = false;
    if (status) {
        finalPosition_ = status->received;
        statuses_.clear(); // these positions are older than the end of the old primary's log
    } else {
        demotionRetryAt_ = now + demotionRetryDelay;
    }
    surveySince_ = now;
    enter(Stage::Surveying, now);
}

void PrimaryReplacement::handlePromoted(PromotionOutcome outcome, TimePoint now)
{
    pending_ = false;
    if (outcome != PromotionOutcome::NotPromotable)
        orderedAfter_ = std::max(orderedAfter_.value_or(termBeforeOrder_), termBeforeOrder_);
    switch (outcome) {
    case PromotionOutcome::Accepted:
        statuses_.erase(chosen_);
        enter(Stage::Verifying, now);
        nextSurvey_ = now + surveyInterval;
        break;
    case PromotionOutcome::NotPromotable:
        refusedUntil_[chosen_] = now + refusalRetryDelay;
        statuses_.clear();
        enter(Stage::Surveying, now);
        break;
    case PromotionOutcome::Refused:
    case PromotionOutcome::NoAnswer:
        // Retries with the same endpoint: the unanswered call may still take effect, and promoting
        // another one could then result in two primaries.
        retryAt_ = now + retryDelay;
        break;
    }
}

void PrimaryReplacement::handlePublished(bool published, TimePoint now)
{
    pending_ = false;
    if (published)
        reset(now);
    else
        retryAt_ = now + retryDelay;
}

void PrimaryReplacement::handleLostLog(const EndpointId &endpoint)
{
    statuses_.erase(endpoint);
    if (endpoint == oldPrimary_)
        finalPosition_.reset();
}

void PrimaryReplacement::enter(Stage stage, TimePoint now)
{
    stage_ = stage;
    stageSince_ = now;
}

void PrimaryReplacement::reset(TimePoint now)
{
    enter(Stage::Monitoring, now);
    reason_ = Reason::None;
    reasonSince_.reset();
    wait_ = ChoiceWait::None;
}

} // namespace pistachiowood
