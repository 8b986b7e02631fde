#include "primary/primary_controller.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

Milliseconds elapsed(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

} // namespace

PrimaryController::PrimaryController(ServiceName service, VmId self, ZoneName zone,
                                     const Clock &clock, RandomSource &random,
                                     ControllerSettings settings)
    : service_(std::move(service))
    , self_(std::move(self))
    , zone_(std::move(zone))
    , clock_(clock)
    , random_(random)
    , settings_(std::move(settings))
    , detector_(clock, zone_, settings_.detector)
    , lastTick_(clock.now())
    , promotionBackoff_(settings_.promotionBackoffBase)
    , holdDown_(settings_.holdDownBase)
    , publishBackoff_(settings_.publishBackoffBase)
{
}

const GroupMember *PrimaryController::findMember(const EndpointId &endpoint) const
{
    const auto found = std::ranges::find(members_, endpoint, &GroupMember::id);
    return found == members_.end() ? nullptr : &*found;
}

void PrimaryController::setGroup(std::vector<GroupMember> members)
{
    if (members == members_)
        return;
    std::vector<EndpointId> ids;
    std::map<EndpointId, Probe> probes;
    for (const GroupMember &member : members) {
        ids.push_back(member.id);
        probes[member.id] = probes_[member.id];
    }
    const bool sameIds =
        std::ranges::equal(members, members_, {}, &GroupMember::id, &GroupMember::id);
    members_ = std::move(members);
    probes_ = std::move(probes);
    detector_.setMembers(std::move(ids));
    // An attempt counts its majority over the members that it started with.
    if (!sameIds && promotion_ && !promotion_->status())
        abandonPromotion("group changed");
}

void PrimaryController::setRank(std::optional<unsigned> rank)
{
    if (rank == rank_)
        return;
    const bool wasResponsible = rank_.has_value();
    rank_ = rank;
    if (!wasResponsible) {
        detector_.reset();
        lastTick_ = clock_.now();
    }
    if (rank_)
        return;
    // A raised term without a promotion leaves the group without a primary, so an attempt that has
    // sent its first raise is completed.
    if (promotion_ && promotion_->step() == PromotionStep::Status)
        abandonPromotion("not responsible");
    endSwitchover();
    switchoverRequested_ = false;
    failedSince_.reset();
    newerTermMemberSince_.reset();
}

bool PrimaryController::isPaused() const
{
    return clock_.now() - lastTick_ > settings_.tickGapLimit;
}

bool PrimaryController::hasRankDelayPassed(TimePoint since, Milliseconds delayPerRank) const
{
    return rank_ && clock_.now() - since >= *rank_ * delayPerRank;
}

void PrimaryController::handleStatus(const EndpointId &endpoint, const ProbeResult &result,
                                     Milliseconds latency)
{
    if (!findMember(endpoint))
        return;
    probes_[endpoint].outstanding = false;
    if (const auto *status = std::get_if<EndpointStatus>(&result))
        highestTerm_ = std::max(highestTerm_, status->report.term);
    detector_.handleProbe(endpoint, result, latency);
    if (promotion_)
        promotion_->handleStatus(endpoint, result);
    if (rank_)
        adoptNewerPrimary();
    advancePromotion();
}

void PrimaryController::handleConfirmation(const VmId &peer, const ZoneName &zone, bool reachable)
{
    detector_.handleConfirmation(peer, zone, reachable);
}

void PrimaryController::handleRaiseResult(const EndpointId &endpoint, Term term,
                                          const MemberResult &result)
{
    if (!promotion_)
        return;
    promotion_->handleRaiseResult(endpoint, term, result);
    advancePromotion();
}

void PrimaryController::handlePromoteResult(const EndpointId &endpoint, Term term,
                                            const MemberResult &result)
{
    if (!promotion_)
        return;
    promotion_->handlePromoteResult(endpoint, term, result);
    advancePromotion();
}

void PrimaryController::handleFollowResult(const EndpointId &endpoint, Term term,
                                           const MemberResult &result)
{
    if (!promotion_)
        return;
    promotion_->handleFollowResult(endpoint, term, result);
    advancePromotion();
}

std::optional<bool> PrimaryController::answerConfirmation(const EndpointId &endpoint) const
{
    if (!rank_ || isPaused() || !status_ || status_->primary != endpoint)
        return std::nullopt;
    return detector_.isPrimaryReachable();
}

bool PrimaryController::requestSwitchover(std::string_view reason)
{
    if (!rank_)
        return false;
    if (!switchoverRequested_)
        logEvent(Event::SwitchoverDue, {{"service", service_.value()}, {"reason", reason}});
    switchoverRequested_ = true;
    return true;
}

void PrimaryController::handleServiceStatus(const ServiceStatus &status, StatusSource source)
{
    if (source == StatusSource::Platform)
        platformTerm_ = std::max(platformTerm_, status.term);
    if (status_ && status.term <= status_->term) {
        if (platformTerm_ >= status_->term)
            publishPending_ = false;
        return;
    }
    acceptStatus(status);
    abandonSupersededPromotion("newer status");
    if (rank_ && source == StatusSource::Gossip && platformTerm_ < status.term)
        queuePublish(settings_.publishDelayPerRank * (rank_.value_or(0) + 1));
}

// Takes over a newer status from any source. The status that a new daemon learns first is no change
// of primary and starts no hold-down.
void PrimaryController::acceptStatus(const ServiceStatus &status)
{
    const TimePoint now = clock_.now();
    if (status_) {
        if (lastPrimaryChange_ && now - *lastPrimaryChange_ >= settings_.holdDownResetDelay)
            holdDown_ = settings_.holdDownBase;
        else if (lastPrimaryChange_)
            holdDown_ = std::min(holdDown_ * 2, settings_.holdDownCap);
        holdDownUntil_ = now + holdDown_;
        lastPrimaryChange_ = now;
    }
    if (!status_ || status_->primary != status.primary)
        switchoverRequested_ = false;
    status_ = status;
    highestTerm_ = std::max(highestTerm_, status.term);
    detector_.setPrimary(status.primary, status.term);
    failedSince_.reset();
    newerTermMemberSince_.reset();
    newerPrimarySince_.reset();
    heldDownLogged_ = false;
    promotionBackoff_ = settings_.promotionBackoffBase;
    publishPending_ = false;
    publishOutstanding_ = false;
}

void PrimaryController::queuePublish(Milliseconds delay)
{
    publishPending_ = true;
    publishOutstanding_ = false;
    publishBackoff_ = settings_.publishBackoffBase;
    nextPublish_ = clock_.now() + delay;
}

// Adopts and announces a primary that another attempt promoted in a newer term. A majority granted
// the term to its promoter, and no other member can be primary in it.
void PrimaryController::adoptNewerPrimary()
{
    const GroupMember *newest = nullptr;
    const EndpointStatus *found = nullptr;
    for (const GroupMember &member : members_) {
        const EndpointStatus *status = detector_.recentStatus(member.id);
        if (status && status->report.role == EndpointRole::Primary
            && status->report.term > (status_ ? status_->term : Term())
            && (!found || status->report.term > found->report.term)) {
            newest = &member;
            found = status;
        }
    }
    // runPromotion() handles the success of this daemon's own attempt.
    if (!found || (promotion_ && promotion_->term() == found->report.term)) {
        newerPrimarySince_.reset();
        return;
    }
    if (!newerPrimarySince_)
        newerPrimarySince_ = clock_.now();
    const auto inTerm = std::ranges::count_if(members_, [&](const GroupMember &member) {
        const EndpointStatus *status = detector_.recentStatus(member.id);
        return status && status->report.term == found->report.term;
    });
    if (static_cast<std::size_t>(inTerm) < majorityOf(members_.size())
        && clock_.now() - *newerPrimarySince_ < settings_.adoptionDelay)
        return;
    const ServiceStatus adopted{service_, found->report.term, newest->id, found->history};
    logEvent(Event::PrimaryAdopted, {{"service", service_.value()},
                                     {"primary", adopted.primary.value()},
                                     {"term", adopted.term.value()}});
    acceptStatus(adopted);
    abandonSupersededPromotion("newer primary found");
    commands_.emplace_back(AnnounceStatus{adopted});
    queuePublish(Milliseconds(0));
}

void PrimaryController::tick()
{
    const TimePoint now = clock_.now();
    const bool paused = isPaused();
    lastTick_ = now;
    if (paused) {
        detector_.reset();
        failedSince_.reset();
        newerTermMemberSince_.reset();
        newerPrimarySince_.reset();
        if (promotion_ && !promotion_->status())
            abandonPromotion("paused");
    }
    if (rank_) {
        sendProbes();
        updateAssessment();
        detectNewerTermMember();
    }
    if (promotion_) {
        runPromotion();
    } else if (rank_) {
        if (failedSince_ && hasRankDelayPassed(*failedSince_, settings_.actionDelayPerRank)) {
            if (mayStartPromotion())
                startPromotion(Cause::Failure);
        } else if (newerTermMemberSince_
                   && now - *newerTermMemberSince_ >= settings_.newerTermMemberLimit
                   && hasRankDelayPassed(*newerTermMemberSince_ + settings_.newerTermMemberLimit,
                                         settings_.actionDelayPerRank)) {
            if (mayStartPromotion())
                startPromotion(Cause::NewerTermMember);
        }
    }
    if (rank_) {
        advanceSwitchover();
        repairMembers();
    }
    publishPending();
}

// Returns whether the members are probed at the full rate: the primary is unknown or not healthy, a
// change of primary is due or in progress, or a member does not follow the primary.
bool PrimaryController::needsFullProbeRate() const
{
    const GroupMember *primary = status_ ? findMember(status_->primary) : nullptr;
    return !primary || !primary->mayBePrimary() || promotion_ || switchoverRequested_
           || failedSince_ || newerTermMemberSince_ || newerPrimarySince_
           || assessment_.verdict != Verdict::Healthy || !detector_.isGroupHealthy();
}

Milliseconds PrimaryController::probeIntervalOf(const EndpointId &endpoint) const
{
    if (admissionStopped_)
        return settings_.switchoverProbeInterval;
    if (needsFullProbeRate())
        return settings_.probeInterval;
    if (endpoint != status_->primary)
        return settings_.replicaProbeFactor * settings_.probeInterval;
    return (rank_ == 0U ? 1 : settings_.standbyProbeFactor) * settings_.probeInterval;
}

void PrimaryController::sendProbes()
{
    const TimePoint now = clock_.now();
    for (auto &[id, probe] : probes_) {
        // A probe without a result after twice its timeout is taken as lost.
        if (probe.outstanding && now - *probe.sentAt < 2 * settings_.probeTimeout)
            continue;
        if (probe.sentAt && now - *probe.sentAt < probeIntervalOf(id))
            continue;
        probe = {now, true};
        commands_.emplace_back(ProbeEndpoint{id, settings_.probeTimeout});
    }
}

void PrimaryController::updateAssessment()
{
    const TimePoint now = clock_.now();
    const Assessment next = detector_.assess();
    if (next != assessment_) {
        const std::string primary = status_ ? status_->primary.value() : "";
        const auto report = [&](Event event) {
            logEvent(event, {{"service", service_.value()},
                             {"primary", primary},
                             {"reason", failureReasonName(next.reason)}});
        };
        if (next.verdict == Verdict::Failed)
            report(Event::PrimaryFailed);
        else if (next.verdict == Verdict::Suspected)
            report(Event::PrimarySuspected);
        else
            report(Event::PrimarySuspicionCleared);
    }
    assessment_ = next;
    if (next.verdict != Verdict::Failed)
        failedSince_.reset();
    else if (!failedSince_)
        failedSince_ = now;
    // Continues after the verdict Failed, because it is withdrawn when the confirmations expire
    // while a daemon of higher rank still waits for its delay.
    if (next.verdict != Verdict::Healthy && status_ && now >= nextConfirmationRequest_) {
        nextConfirmationRequest_ = now + settings_.confirmationInterval;
        commands_.emplace_back(AskConfirmation{status_->primary});
    }
}

// Detects a member that granted a newer term to an abandoned attempt and now rejects the primary's
// older term. It follows again only after a promotion in a new term; the same primary is promoted
// again if its log is the highest.
void PrimaryController::detectNewerTermMember()
{
    const bool hasNewerTermMember =
        status_ && assessment_.verdict == Verdict::Healthy
        && std::ranges::any_of(members_, [this](const GroupMember &member) {
               const EndpointStatus *status = detector_.recentStatus(member.id);
               // A member with recent contact follows a newer primary.
               return status && status->report.role == EndpointRole::Replica
                      && status->report.term > status_->term
                      && status->primaryContact >= settings_.detector.contactLimit;
           });
    if (!hasNewerTermMember)
        newerTermMemberSince_.reset();
    else if (!newerTermMemberSince_)
        newerTermMemberSince_ = clock_.now();
}

bool PrimaryController::mayStartPromotion()
{
    const TimePoint now = clock_.now();
    if (now < holdDownUntil_) {
        if (!std::exchange(heldDownLogged_, true))
            logEvent(Event::PromotionHeldDown,
                     {{"service", service_.value()},
                      {"remaining_ms", elapsed(now, holdDownUntil_).count()}});
        return false;
    }
    return now >= nextAttempt_;
}

void PrimaryController::startPromotion(Cause cause)
{
    cause_ = cause;
    promotionStart_ = clock_.now();
    PromotionRequest request;
    request.service = service_;
    request.members = members_;
    // The random part distinguishes attempts of a daemon across its restarts.
    request.promoter = self_.value() + "/" + std::to_string(random_.next());
    request.minimumTerm = highestTerm_;
    request.preferredZone = settings_.preferredZone;
    if (cause == Cause::Failure && assessment_.reason == FailureReason::Unreachable)
        request.failedPrimary = status_->primary;
    else if (cause == Cause::Failure
             && (assessment_.reason == FailureReason::Isolated
                 || assessment_.reason == FailureReason::Slow))
        request.avoidedMember = status_->primary;
    else if (cause == Cause::NewerTermMember)
        request.preferredMember = status_->primary;
    else if (cause == Cause::Switchover)
        request.preferredMember = findCaughtUpMember();
    logEvent(Event::PromotionStarted,
             {{"service", service_.value()},
              {"reason", cause == Cause::Switchover        ? "switchover"
                         : cause == Cause::NewerTermMember ? "member in a newer term"
                                                           : failureReasonName(assessment_.reason)},
              {"above_term", highestTerm_.value()}});
    promotion_.emplace(clock_, settings_.promotion, std::move(request));
    runPromotion();
}

// Continues the attempt without waiting for the next tick, except after a pause: then tick() has to
// discard the evidence first.
void PrimaryController::advancePromotion()
{
    if (promotion_ && !isPaused())
        runPromotion();
}

void PrimaryController::runPromotion()
{
    // The primary may have come back while the members were asked for their status.
    if (cause_ == Cause::Failure && promotion_->step() == PromotionStep::Status
        && detector_.assess().verdict != Verdict::Failed) {
        abandonPromotion("primary is back");
        return;
    }
    promotion_->tick();
    highestTerm_ = std::max(highestTerm_, promotion_->highestTerm());
    if (const auto &promoted = promotion_->status();
        promoted && (!status_ || promoted->term > status_->term)) {
        acceptStatus(*promoted);
        commands_.emplace_back(AnnounceStatus{*promoted});
        logEvent(Event::PromotionCompleted,
                 {{"service", service_.value()},
                  {"primary", promoted->primary.value()},
                  {"term", promoted->term.value()},
                  {"took_ms", elapsed(promotionStart_, clock_.now()).count()}});
        if (promotion_->isSwitchoverDue())
            logEvent(Event::SwitchoverDue, {{"service", service_.value()},
                                            {"reason", "highest log is on a member that may not "
                                                       "stay primary"}});
        endSwitchover();
    }
    for (PromotionCommand &command : promotion_->takeCommands())
        std::visit([this](auto &value) { commands_.emplace_back(std::move(value)); }, command);
    concludePromotion();
}

void PrimaryController::concludePromotion()
{
    if (promotion_->step() == PromotionStep::Done) {
        if (promotion_->isPublished()) {
            platformTerm_ = std::max(platformTerm_, promotion_->term());
        } else {
            queuePublish(Milliseconds(0));
            delayPublish();
        }
        promotion_.reset();
    } else if (promotion_->step() == PromotionStep::Failed) {
        // The random half of the delay keeps two daemons from raising terms above each other's
        // forever.
        const auto half = promotionBackoff_ / 2;
        const Milliseconds delay =
            half + random_.delayUpTo(half) + rank_.value_or(0) * settings_.promotionBackoffBase;
        nextAttempt_ = clock_.now() + delay;
        promotionBackoff_ = std::min(promotionBackoff_ * 2, settings_.promotionBackoffCap);
        logEvent(Event::PromotionStepFailed, {{"service", service_.value()},
                                              {"step", promotionStepName(promotion_->failedStep())},
                                              {"term", promotion_->term().value()},
                                              {"retry_ms", delay.count()}});
        promotion_.reset();
        if (cause_ == Cause::Switchover)
            endSwitchover();
    }
}

// Abandons the attempt in favour of a newer status. An attempt that has raised a term above the new
// status continues: members that granted it reject the new primary, so abandoning it would cost
// another detection and promotion.
void PrimaryController::abandonSupersededPromotion(std::string_view reason)
{
    if (promotion_
        && (promotion_->step() == PromotionStep::Status || promotion_->term() <= status_->term))
        abandonPromotion(reason);
}

void PrimaryController::abandonPromotion(std::string_view reason)
{
    highestTerm_ = std::max(highestTerm_, promotion_->highestTerm());
    const bool needsPublish =
        promotion_->status() && status_ && promotion_->term() == status_->term;
    logEvent(
        Event::PromotionAbandoned,
        {{"service", service_.value()}, {"term", promotion_->term().value()}, {"reason", reason}});
    promotion_.reset();
    if (needsPublish)
        queuePublish(Milliseconds(0));
    endSwitchover();
}

std::optional<EndpointId> PrimaryController::findCaughtUpMember() const
{
    const EndpointStatus *primary = status_ ? detector_.recentStatus(status_->primary) : nullptr;
    if (!primary)
        return std::nullopt;
    for (const GroupMember &member : members_) {
        const EndpointStatus *status = detector_.recentStatus(member.id);
        if (member.id != status_->primary && member.mayBePrimary() && status
            && status->report.term == primary->report.term
            && !isLogBehind(status->report, primary->report))
            return member.id;
    }
    return std::nullopt;
}

void PrimaryController::advanceSwitchover()
{
    const TimePoint now = clock_.now();
    const GroupMember *primary = status_ ? findMember(status_->primary) : nullptr;
    const bool hasSuccessor = std::ranges::any_of(members_, [&](const GroupMember &member) {
        return member.mayBePrimary() && status_ && member.id != status_->primary
               && detector_.recentStatus(member.id);
    });
    const bool due = primary && hasSuccessor && (switchoverRequested_ || !primary->mayBePrimary());
    if (!due) {
        switchoverDueSince_.reset();
    } else if (!switchoverDueSince_) {
        switchoverDueSince_ = now;
    }
    if (admissionStopped_) {
        if (promotion_)
            return;
        if (!due || assessment_.verdict == Verdict::Failed) {
            endSwitchover();
        } else if (now - switchoverStart_ >= settings_.switchoverTimeout) {
            logEvent(Event::SwitchoverTimedOut, {{"service", service_.value()}});
            endSwitchover();
        } else if (now - switchoverStart_ >= settings_.probeInterval && findCaughtUpMember()
                   && now >= nextAttempt_) {
            // After one probe interval every recent answer was given with admission stopped.
            startPromotion(Cause::Switchover);
        }
        return;
    }
    // A switchover requested from this daemon starts without the delay per rank.
    const bool mayStart =
        due
        && (switchoverRequested_
            || hasRankDelayPassed(*switchoverDueSince_, settings_.switchoverDelayPerRank));
    if (!mayStart || promotion_ || assessment_.verdict != Verdict::Healthy || now < nextSwitchover_
        || now < holdDownUntil_)
        return;
    admissionStopped_ = true;
    switchoverStart_ = now;
    nextSwitchover_ = now + settings_.switchoverRetryInterval;
    commands_.emplace_back(StopAdmission{settings_.switchoverTimeout + attemptBound(settings_)});
    logEvent(Event::SwitchoverStarted,
             {{"service", service_.value()}, {"primary", status_->primary.value()}});
}

void PrimaryController::endSwitchover()
{
    if (std::exchange(admissionStopped_, false))
        commands_.emplace_back(ResumeAdmission{});
}

// Tells members that do not follow the known primary to do so, after the delay of this daemon's
// rank. The request is idempotent, and endpoints refuse it when they know a newer term.
void PrimaryController::repairMembers()
{
    if (!status_ || promotion_)
        return;
    const TimePoint now = clock_.now();
    for (const GroupMember &member : members_) {
        const EndpointStatus *status = detector_.recentStatus(member.id);
        const bool isPrimary = member.id == status_->primary;
        const bool behind = status && !isPrimary && status->report.term < status_->term;
        const bool withoutContact = status && !isPrimary
                                    && status->report.role == EndpointRole::Replica
                                    && status->report.term == status_->term
                                    && status->primaryContact >= settings_.detector.contactLimit
                                    && assessment_.verdict != Verdict::Failed;
        if (!behind && !withoutContact) {
            notFollowingSince_.erase(member.id);
            continue;
        }
        const auto [since, added] = notFollowingSince_.try_emplace(member.id, now);
        if (!hasRankDelayPassed(since->second, settings_.actionDelayPerRank)
            || now < nextRepair_[member.id])
            continue;
        nextRepair_[member.id] = now + settings_.repairInterval;
        commands_.emplace_back(FollowPrimary{member.id, status_->term, status_->primary});
    }
}

void PrimaryController::publishPending()
{
    const TimePoint now = clock_.now();
    if (!publishPending_ || !status_)
        return;
    if (publishOutstanding_ && now - publishSentAt_ >= settings_.promotion.publishTimeout)
        delayPublish();
    if (publishOutstanding_ || now < nextPublish_)
        return;
    publishOutstanding_ = true;
    publishSentAt_ = now;
    commands_.emplace_back(PublishStatus{*status_});
}

void PrimaryController::delayPublish()
{
    publishOutstanding_ = false;
    nextPublish_ = clock_.now() + publishBackoff_;
    publishBackoff_ = std::min(publishBackoff_ * 2, settings_.publishBackoffCap);
    logEvent(Event::StatusPublishFailed,
             {{"service", service_.value()}, {"term", status_->term.value()}});
}

void PrimaryController::handlePublishResult(Term term, PublishResult result)
{
    if (result == PublishResult::Ok)
        platformTerm_ = std::max(platformTerm_, term);
    if (!status_ || term != status_->term)
        return;
    if (promotion_ && promotion_->term() == term) {
        promotion_->handlePublishResult(result);
        advancePromotion();
        return;
    }
    if (result == PublishResult::Ok)
        publishPending_ = false;
    else if (publishPending_ && publishOutstanding_)
        delayPublish();
}

std::vector<PrimaryCommand> PrimaryController::takeCommands()
{
    return std::exchange(commands_, {});
}

} // namespace pistachiowood
