#include "allotments/allotment_holder.h"

#include "allotments/coordinator_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiowood {

namespace {

// Period over which arrivals are averaged. In 2 s, at 2 arrivals per second, random differences had
// the daemons lease a third more than they needed.
constexpr double demandSeconds = 4;
// Messages often follow an arrival, which by itself would look like demand.
constexpr double lastArrival = 0.5;
// Operations per second below which a customer is forgotten: 0.5 s after its only operation.
constexpr double idleDemand = 0.1;
// Operations that may wait for an answer: what the limit allows in this time, and a few more.
constexpr double waitingSeconds = 0.25;
constexpr unsigned waitingReserve = 8;
// A sudden drop shows in this time; a factor and a reserve keep gaps between random arrivals from
// looking like one.
constexpr double recentSeconds = 0.5;
constexpr double recentFactor = 3;
constexpr double recentReserve = 1;
// A bucket below this part of its capacity, and a lease of more than this many times the demand,
// are reported before the next regular message, so that demand that has moved finds free tokens.
constexpr double lowLevel = 0.25;
constexpr double surplusFactor = 2;
constexpr Milliseconds reviewInterval{300};
constexpr Milliseconds failureDelay{100}; // before the next message after one that failed
constexpr Milliseconds resignedDelay{20}; // before turning to another coordinator
// Before the next message to a coordinator that may not lease yet; increases up to the interval.
constexpr Milliseconds firstVoteDelay{20};
// Tokens that come without a lease are kept for this long.
constexpr Milliseconds tokensLifetime{2000};

} // namespace

AllotmentHolder::AllotmentHolder(AllotmentSettings settings, RandomSource &random)
    : settings_(settings)
    , random_(random)
{
    for (Group &group : groups_)
        group.voteDelay = firstVoteDelay;
}

const OperationLimit *AllotmentHolder::limitOf(const CustomerName &customer) const
{
    const auto *entry = customers_ ? customers_->find(customer) : nullptr;
    return entry && entry->limit ? &*entry->limit : nullptr;
}

void AllotmentHolder::rescale(Lease &lease, const OperationLimit &limit) const
{
    const double capacityRatio =
        scaleFor(settings_.capacity(limit), settings_.capacity(lease.limit));
    lease.rate *= scaleFor(limit.ratePerSecond, lease.limit.ratePerSecond);
    lease.capacity *= capacityRatio;
    lease.level *= capacityRatio;
    lease.limit = limit;
}

void AllotmentHolder::setCustomers(std::shared_ptr<const CustomerDirectory> customers,
                                   std::size_t daemonCount, TimePoint now)
{
    daemonCount_ = std::max<std::size_t>(1, daemonCount);
    if (customers == customers_)
        return;
    customers_ = std::move(customers);
    hasLimits_ = customers_ && std::ranges::any_of(customers_->customers(), [](const auto &item) {
                     return item.second.limit.has_value();
                 });
    for (Group &group : groups_) {
        std::erase_if(group.states, [&](const auto &item) { return !limitOf(item.first); });
        for (auto &[name, state] : group.states) {
            refill(state.lease, now);
            rescale(state.lease, *limitOf(name));
        }
    }
    std::erase_if(counts_, [&](const auto &item) { return !limitOf(item.first); });
}

void AllotmentHolder::refill(Lease &lease, TimePoint now)
{
    const TimePoint until = std::min(now, lease.end);
    if (until > lease.refilledAt) {
        const double seconds = std::chrono::duration<double>(until - lease.refilledAt).count();
        lease.level = std::min(lease.level + lease.rate * seconds, lease.capacity);
        lease.refilledAt = until;
    }
    if (now >= lease.end) {
        lease.rate = 0;
        lease.capacity = 0;
        lease.level = 0;
    }
}

double AllotmentHolder::updateDemand(State &state, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - state.countedAt).count();
    state.arrivals *= std::exp(-seconds / demandSeconds);
    state.recentArrivals *= std::exp(-seconds / recentSeconds);
    state.countedAt = now;
    return std::min(std::max(0.0, state.arrivals - lastArrival) / demandSeconds,
                    state.recentArrivals / recentSeconds * recentFactor + recentReserve);
}

bool AllotmentHolder::hasSurplus(State &state, TimePoint now)
{
    refill(state.lease, now);
    const double needed = rateFor(updateDemand(state, now)) + recentReserve;
    return state.lease.rate > needed * surplusFactor;
}

AllotmentHolder::State &AllotmentHolder::stateOf(const CustomerName &customer,
                                                 const OperationLimit &limit, TimePoint now)
{
    auto &states = groups_.at(allotmentGroupOf(customer)).states;
    const auto [found, added] = states.try_emplace(customer);
    if (added) {
        State &state = found->second;
        state.lease.limit = limit;
        state.lease.refilledAt = now;
        state.lease.end = now;
        state.countedAt = now;
        state.tail = tailCapacity(limit);
        state.tailRefilledAt = now;
    }
    return found->second;
}

bool AllotmentHolder::takeToken(State &state, TimePoint now)
{
    refill(state.lease, now);
    if (state.lease.level < 1)
        return false;
    state.lease.level -= 1;
    state.low = state.lease.level < state.lease.capacity * lowLevel;
    return true;
}

// Half of the allowance is the bucket, half refills it in a window.
double AllotmentHolder::tailCapacity(const OperationLimit &limit) const
{
    return settings_.tailTokens(limit) / 2 / static_cast<double>(daemonCount_);
}

bool AllotmentHolder::takeTail(State &state, const OperationLimit &limit, TimePoint now) const
{
    const double capacity = tailCapacity(limit);
    const auto windows = std::chrono::duration<double>(now - state.tailRefilledAt)
                         / std::chrono::duration<double>(settings_.window);
    state.tail = std::min(state.tail + capacity * windows, capacity);
    state.tailRefilledAt = now;
    if (state.tail < 1)
        return false;
    state.tail -= 1;
    return true;
}

AdmissionVerdict AllotmentHolder::admit(const CustomerName &customer, TimePoint now)
{
    const auto *entry = customers_ ? customers_->find(customer) : nullptr;
    if (entry && !entry->limit)
        return AdmissionVerdict::Admit;
    if (!entry)
        return AdmissionVerdict::Refuse; // removed; a removed customer has no lease
    State &state = stateOf(customer, *entry->limit, now);
    updateDemand(state, now);
    state.arrivals += 1;
    state.recentArrivals += 1;
    ++state.waiting;
    const AdmissionVerdict verdict = resume(customer, now);
    const double mostWaiting = entry->limit->ratePerSecond * waitingSeconds + waitingReserve;
    if (verdict != AdmissionVerdict::Wait || state.waiting <= mostWaiting)
        return verdict;
    stopWaiting(customer);
    return AdmissionVerdict::Refuse;
}

AdmissionVerdict AllotmentHolder::resume(const CustomerName &customer, TimePoint now)
{
    const OperationLimit *limit = limitOf(customer);
    if (!limit)
        return AdmissionVerdict::Refuse;
    Group &group = groups_.at(allotmentGroupOf(customer));
    State &state = stateOf(customer, *limit, now);
    const bool admitted =
        takeToken(state, now)
        || (!group.leases && now >= state.lease.end && takeTail(state, *limit, now));
    if (admitted) {
        if (state.waiting > 0)
            --state.waiting;
        ++counts_[customer].admitted;
        return AdmissionVerdict::Admit;
    }
    if (now >= state.refuseUntil)
        return AdmissionVerdict::Wait;
    stopWaiting(customer);
    return AdmissionVerdict::Refuse;
}

void AllotmentHolder::stopWaiting(const CustomerName &customer)
{
    auto &states = groups_.at(allotmentGroupOf(customer)).states;
    const auto found = states.find(customer);
    if (found == states.end())
        return;
    if (found->second.waiting > 0)
        --found->second.waiting;
    ++counts_[customer].refused;
}

std::vector<GroupNeeds> AllotmentHolder::takeRequests(TimePoint now)
{
    std::vector<GroupNeeds> requests;
    if (!hasLimits_)
        return requests;
    const bool regular = std::ranges::any_of(
        groups_, [&](const Group &group) { return !group.inFlight && now >= group.nextRegular; });
    for (unsigned index = 0; index < allotmentGroupCount; ++index) {
        Group &group = groups_.at(index);
        // Groups that are nearly due share the messages of those that are.
        const bool isDue =
            regular && !group.inFlight && now >= group.nextRegular - allotmentInterval / 2;
        if (isDue || needsRequest(group, now))
            requests.push_back(makeNeeds(index, now));
    }
    // Daemons that start at once spread over the interval.
    const TimePoint next =
        now + allotmentInterval * 3 / 4 + random_.delayUpTo(allotmentInterval / 4);
    for (const GroupNeeds &needs : requests)
        groups_.at(needs.group).nextRegular = next;
    return requests;
}

bool AllotmentHolder::needsRequest(Group &group, TimePoint now)
{
    if (group.inFlight || now < group.nextRequest)
        return false;
    const bool review = now >= group.nextReview;
    if (review)
        group.nextReview = now + reviewInterval;
    return std::ranges::any_of(group.states, [&](auto &item) {
        State &state = item.second;
        return now >= state.refuseUntil
               && (state.waiting > 0 || (review && (state.low || hasSurplus(state, now))));
    });
}

GroupNeeds AllotmentHolder::makeNeeds(unsigned index, TimePoint now)
{
    Group &group = groups_.at(index);
    group.inFlight = true;
    group.sentAt = now;
    GroupNeeds needs{.group = index, .sequence = ++sequence_};
    for (auto item = group.states.begin(); item != group.states.end();) {
        auto &[name, state] = *item;
        refill(state.lease, now);
        state.low = false;
        AllotmentNeed need{.customer = name, .waiting = state.waiting};
        need.demand = updateDemand(state, now);
        const double keep =
            need.demand < smallDemand ? 0 : need.demand * bucketSeconds + bucketReserve;
        Lease &lease = state.lease;
        if (keep == 0)
            lease.rate = 0;
        need.returned = std::max(0.0, lease.level - keep);
        lease.level -= need.returned;
        lease.capacity = std::min(lease.capacity, std::max(keep, lease.level));
        need.rate = lease.rate;
        need.capacity = lease.capacity;
        need.level = lease.level;
        needs.needs.push_back(std::move(need));
        const bool idle = state.waiting == 0 && needs.needs.back().demand < idleDemand;
        // Without answers the state holds what is left of the allowance.
        item = idle && group.leases ? group.states.erase(item) : std::next(item);
    }
    return needs;
}

void AllotmentHolder::handleGrants(const GroupGrants &grants, TimePoint now)
{
    Group &group = groups_.at(grants.group);
    group.inFlight = false;
    if (grants.kind == GrantKind::Resigned) {
        group.nextRequest = now + resignedDelay;
        group.nextRegular = group.nextRequest;
        group.voteDelay = firstVoteDelay;
        return;
    }
    group.leases = grants.kind == GrantKind::Leases;
    if (group.leases) {
        group.voteDelay = firstVoteDelay;
    } else {
        // The first answer allows the daemon to vote, with the next message.
        group.nextRegular = now + group.voteDelay;
        group.voteDelay = std::min(group.voteDelay * 4, allotmentInterval);
    }
    for (const AllotmentGrant &grant : grants.grants) {
        const auto found = group.states.find(grant.customer);
        const OperationLimit *limit = limitOf(grant.customer);
        if (found == group.states.end() || !limit)
            continue;
        State &state = found->second;
        Lease &lease = state.lease;
        refill(lease, now);
        if (grant.refuseFor.count() > 0)
            state.refuseUntil = now + grant.refuseFor;
        // Unused tokens of a late answer could add to those of a later window.
        const bool late = now - group.sentAt > allotmentTimeout;
        const double tokens = late ? 0 : grant.tokens;
        if (grants.kind == GrantKind::Leases) {
            lease.limit = grant.limit;
            lease.rate = grant.rate;
            lease.capacity = grant.capacity;
            lease.level = std::min(lease.level + tokens, lease.capacity);
            lease.end = group.sentAt + leaseDuration;
        } else if (tokens > 0) {
            lease.level += tokens;
            lease.capacity = std::max(lease.capacity, lease.level);
            lease.end = std::max(lease.end, now + tokensLifetime);
        }
        lease.refilledAt = now;
        rescale(lease, *limit);
    }
}

void AllotmentHolder::handleFailure(unsigned index, TimePoint now)
{
    Group &group = groups_.at(index);
    group.inFlight = false;
    group.leases = false;
    group.nextRequest = now + failureDelay;
    group.nextRegular = group.nextRequest;
    group.voteDelay = firstVoteDelay;
}

double AllotmentHolder::leasedRate(const CustomerName &customer) const
{
    const auto &states = groups_.at(allotmentGroupOf(customer)).states;
    const auto found = states.find(customer);
    return found == states.end() ? 0 : found->second.lease.rate;
}

} // namespace pistachiowood
