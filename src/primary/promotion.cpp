#include "primary/promotion.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace pistachiowood {

bool isLogBehind(const EndpointReport &left, const EndpointReport &right)
{
    return std::tie(left.lastEntryTerm, left.position)
           < std::tie(right.lastEntryTerm, right.position);
}

std::string_view promotionStepName(PromotionStep step)
{
    switch (step) {
    case PromotionStep::Status:
        return "status";
    case PromotionStep::RaiseTerm:
        return "raise_term";
    case PromotionStep::Promote:
        return "promote";
    case PromotionStep::Follow:
        return "follow";
    case PromotionStep::Publish:
        return "publish";
    case PromotionStep::Done:
        return "done";
    case PromotionStep::Failed:
        return "failed";
    }
    return "failed";
}

Promotion::Promotion(const Clock &clock, PromotionSettings settings, PromotionRequest request)
    : clock_(clock)
    , settings_(settings)
    , request_(std::move(request))
    , highestTerm_(request_.minimumTerm)
{
    enterStep(PromotionStep::Status);
}

void Promotion::enterStep(PromotionStep step)
{
    step_ = step;
    stepStart_ = clock_.now();
    answered_.clear();
    sendRequests();
}

// Sends the step's request to each member that has not answered it yet.
void Promotion::sendRequests()
{
    lastSentAt_ = clock_.now();
    if (step_ == PromotionStep::Promote) {
        commands_.emplace_back(PromoteEndpoint{chosenMember_, term_, request_.promoter});
        return;
    }
    for (const GroupMember &member : request_.members) {
        if (isAnswered(member.id))
            continue;
        if (step_ == PromotionStep::Status)
            commands_.emplace_back(ProbeEndpoint{member.id, settings_.statusTimeout});
        else if (step_ == PromotionStep::RaiseTerm)
            commands_.emplace_back(RaiseTerm{member.id, term_, request_.promoter});
        else if (step_ == PromotionStep::Follow && member.id != chosenMember_)
            commands_.emplace_back(FollowPrimary{member.id, term_, chosenMember_});
    }
}

void Promotion::fail()
{
    failedStep_ = step_;
    step_ = PromotionStep::Failed;
}

void Promotion::updateHighestTerm(Term term)
{
    highestTerm_ = std::max(highestTerm_, term);
}

Milliseconds Promotion::stepTimeout() const
{
    switch (step_) {
    case PromotionStep::Status:
        return settings_.statusTimeout;
    case PromotionStep::RaiseTerm:
        return settings_.raiseTimeout;
    case PromotionStep::Promote:
        return settings_.promoteTimeout;
    case PromotionStep::Follow:
        return settings_.followTimeout;
    default:
        return settings_.publishTimeout;
    }
}

void Promotion::handleStatus(const EndpointId &endpoint, const ProbeResult &result)
{
    const auto *status = std::get_if<EndpointStatus>(&result);
    if (status)
        updateHighestTerm(status->report.term);
    if (step_ != PromotionStep::Status)
        return;
    answered_[endpoint] = status != nullptr;
    if (status)
        reachable_[endpoint] = true;
    tryFinishStatus(false);
}

void Promotion::tryFinishStatus(bool timedOut)
{
    const bool complete = std::ranges::all_of(request_.members, [this](const GroupMember &member) {
        return isAnswered(member.id) || member.id == request_.failedPrimary;
    });
    if (!complete && !timedOut)
        return;
    if (reachable_.size() < settings_.rules.grantsNeeded(request_.members.size())) {
        fail();
        return;
    }
    term_ = Term(highestTerm_.value() + 1);
    highestTerm_ = term_;
    enterStep(PromotionStep::RaiseTerm);
}

void Promotion::handleRaiseResult(const EndpointId &endpoint, Term term, const MemberResult &result)
{
    const auto *answer = std::get_if<MemberAnswer>(&result);
    if (answer)
        updateHighestTerm(answer->status.report.term);
    if (step_ != PromotionStep::RaiseTerm || term != term_ || !answer)
        return;
    answered_[endpoint] = answer->accepted;
    if (answer->accepted)
        grants_[endpoint] = answer->status;
    tryFinishRaise(false);
}

void Promotion::tryFinishRaise(bool timedOut)
{
    const std::size_t needed = settings_.rules.grantsNeeded(request_.members.size());
    const std::size_t refused = answered_.size() - grants_.size();
    if (request_.members.size() - refused < needed || (timedOut && grants_.size() < needed)) {
        fail();
        return;
    }
    // Every reachable member is awaited, so that the highest log and the preferred member are among
    // the grants whenever possible.
    const bool complete = std::ranges::all_of(
        reachable_, [this](const auto &entry) { return isAnswered(entry.first); });
    if (grants_.size() >= needed && (complete || timedOut)) {
        choosePrimary();
        enterStep(PromotionStep::Promote);
    }
}

void Promotion::choosePrimary()
{
    const auto preferenceKey = [this](const GroupMember &member) {
        return std::tuple(
            !member.mayBePrimary(), member.id != request_.preferredMember,
            member.zone != request_.preferredZone,
            // With a majority in the primary's region, writes need no round trip to other regions.
            std::numeric_limits<std::size_t>::max() - member.regionMembers, member.id);
    };
    std::vector<GroupMember> granted;
    std::ranges::copy_if(request_.members, std::back_inserter(granted),
                         [this](const GroupMember &member) { return grants_.contains(member.id); });
    // The others are a majority, so the highest log among them has every acknowledged entry.
    if (granted.size() > settings_.rules.grantsNeeded(request_.members.size()))
        std::erase_if(granted, [this](const GroupMember &member) {
            return member.id == request_.avoidedMember;
        });
    const auto best =
        std::ranges::max_element(granted, [&](const GroupMember &left, const GroupMember &right) {
            const EndpointReport &leftReport = grants_.at(left.id).report;
            const EndpointReport &rightReport = grants_.at(right.id).report;
            if (settings_.rules.isLogBehind(leftReport, rightReport))
                return true;
            return !settings_.rules.isLogBehind(rightReport, leftReport)
                   && preferenceKey(right) < preferenceKey(left);
        });
    if (best == granted.end())
        return;
    chosenMember_ = best->id;
    switchoverDue_ = !best->mayBePrimary();
}

void Promotion::handlePromoteResult(const EndpointId &endpoint, Term term,
                                    const MemberResult &result)
{
    const auto *answer = std::get_if<MemberAnswer>(&result);
    if (answer)
        updateHighestTerm(answer->status.report.term);
    if (step_ != PromotionStep::Promote || term != term_ || endpoint != chosenMember_ || !answer)
        return;
    if (!answer->accepted) {
        fail();
        return;
    }
    // A member's log does not change between its grant and its promotion.
    const EndpointStatus &grant = grants_.at(chosenMember_);
    std::vector<TermStart> history = grant.history;
    // Terms that began above this log have no entry in it; their session tokens must not be valid.
    std::erase_if(history,
                  [&](const TermStart &entry) { return entry.start > grant.report.position; });
    history.push_back({term_, grant.report.position});
    if (history.size() > maxTermHistory)
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(maxTermHistory));
    status_ = ServiceStatus{request_.service, term_, chosenMember_, std::move(history)};
    enterStep(PromotionStep::Follow);
    tryFinishFollow(false);
}

void Promotion::handleFollowResult(const EndpointId &endpoint, Term term,
                                   const MemberResult &result)
{
    const auto *answer = std::get_if<MemberAnswer>(&result);
    if (answer)
        updateHighestTerm(answer->status.report.term);
    if (step_ != PromotionStep::Follow || term != term_ || !answer)
        return;
    answered_[endpoint] = answer->accepted;
    tryFinishFollow(false);
}

void Promotion::tryFinishFollow(bool timedOut)
{
    const auto followers =
        std::ranges::count_if(answered_, [](const auto &entry) { return entry.second; });
    // PrimaryController::repairMembers() sends follow to the remaining members.
    if (timedOut
        || static_cast<std::size_t>(followers) + 1 >= majorityOf(request_.members.size())) {
        enterStep(PromotionStep::Publish);
        commands_.emplace_back(PublishStatus{*status_});
    }
}

void Promotion::handlePublishResult(PublishResult result)
{
    if (step_ != PromotionStep::Publish)
        return;
    published_ = result == PublishResult::Ok;
    step_ = PromotionStep::Done;
}

void Promotion::tick()
{
    if (step_ == PromotionStep::Done || step_ == PromotionStep::Failed)
        return;
    const TimePoint now = clock_.now();
    if (now - stepStart_ >= stepTimeout()) {
        if (step_ == PromotionStep::Status)
            tryFinishStatus(true);
        else if (step_ == PromotionStep::RaiseTerm)
            tryFinishRaise(true);
        else if (step_ == PromotionStep::Promote)
            fail();
        else if (step_ == PromotionStep::Follow)
            tryFinishFollow(true);
        else
            step_ = PromotionStep::Done;
        return;
    }
    if (now - lastSentAt_ >= settings_.retryInterval && step_ != PromotionStep::Status)
        sendRequests();
}

std::vector<PromotionCommand> Promotion::takeCommands()
{
    return std::exchange(commands_, {});
}

} // namespace pistachiowood
