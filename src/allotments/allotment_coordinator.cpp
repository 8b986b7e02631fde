#include "allotments/allotment_coordinator.h"

#include "allotments/coordinator_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiowood {

namespace {

// A daemon counts as a follower for this long after its last message; two messages may be lost.
constexpr Milliseconds voteLifetime{5000};
// A daemon counts as a follower only after it has followed for this long, so that its vote for the
// former coordinator has ended; the second more allows for messages in transit.
constexpr Milliseconds minFollowed{6000};
// A message of a former process may arrive this late. Not for longer, because after a message that
// overtook the first one of the new process, the two are taken for each other.
constexpr Milliseconds formerProcessLifetime{5000};
// Largest part of a limit that one daemon may lease. Bounds what members that have not reported to
// a new coordinator may hold.
constexpr double largestShare = 0.25;
// The rest of the rate goes to the pool, for demand that moves to other daemons.
constexpr double leasableRate = 0.75;
// Part of the pool that one daemon gets beyond what it needs at once.
constexpr double stockShare = 0.25;
// The rest of the capacity stays in the pool.
constexpr double leasableCapacity = 0.5;
// Daemons that got less than they needed ask again when the pool should have it, but not more often
// than 2.5 times per second when the customer is far above its limit.
constexpr Milliseconds shortestRefusal{20};
constexpr Milliseconds longestRefusal{400};

Milliseconds refusalTime(double missing, double refillRate)
{
    const double longest = static_cast<double>(longestRefusal.count());
    const double milliseconds = refillRate > 0 ? missing / refillRate * 1000 : longest;
    return std::max(shortestRefusal,
                    Milliseconds(static_cast<std::int64_t>(std::min(milliseconds, longest))));
}

double shareOf(std::size_t memberCount)
{
    return memberCount <= 1 ? 1 : largestShare;
}

} // namespace

AllotmentCoordinator::AllotmentCoordinator(AllotmentSettings settings)
    : settings_(settings)
{
}

void AllotmentCoordinator::setCustomers(std::shared_ptr<const CustomerDirectory> customers,
                                        TimePoint now)
{
    customers_ = std::move(customers);
    for (Group &group : groups_) {
        for (auto account = group.accounts.begin(); account != group.accounts.end();) {
            const auto *entry = customers_ ? customers_->find(account->first) : nullptr;
            if (!entry || !entry->limit) {
                account = group.accounts.erase(account);
                continue;
            }
            Account &changed = account->second;
            refill(group, changed, now);
            const OperationLimit &limit = *entry->limit;
            const double rateRatio = scaleFor(limit.ratePerSecond, changed.limit.ratePerSecond);
            const double capacityRatio =
                scaleFor(settings_.capacity(limit), settings_.capacity(changed.limit));
            for (auto &[vm, holder] : changed.holders) {
                holder.rate *= rateRatio;
                holder.capacity *= capacityRatio;
            }
            changed.pool *= capacityRatio;
            changed.limit = limit;
            ++account;
        }
    }
}

void AllotmentCoordinator::setActive(unsigned index, bool active)
{
    Group &group = groups_.at(index);
    if (std::exchange(group.active, active) && !active) {
        group.members.clear();
        group.leadsSince.reset();
        for (auto &[name, account] : group.accounts) {
            account.holders.clear();
            account.pool = 0;
        }
    }
}

bool AllotmentCoordinator::hasMajority(const Group &group, TimePoint now) const
{
    const auto votes = std::ranges::count_if(group.members, [&](const auto &item) {
        return item.second.votes && now - item.second.heardAt <= voteLifetime;
    });
    return static_cast<std::size_t>(votes) * 2 > memberCount_;
}

bool AllotmentCoordinator::mayLease(unsigned group, TimePoint now) const
{
    return groups_.at(group).active && hasMajority(groups_.at(group), now);
}

double AllotmentCoordinator::leasedRate(const CustomerName &customer) const
{
    const Group &group = groups_.at(allotmentGroupOf(customer));
    double sum = 0;
    if (const auto found = group.accounts.find(customer); found != group.accounts.end()) {
        for (const auto &[vm, holder] : found->second.holders)
            sum += holder.rate;
    }
    return sum;
}

std::size_t AllotmentCoordinator::countUnheard(const Group &group, TimePoint now) const
{
    if (!group.leadsSince)
        return memberCount_;
    // The former coordinator stopped leasing before this one began, so its leases have ended.
    if (now - *group.leadsSince >= leaseDuration)
        return 0;
    const auto heard = std::ranges::count_if(group.members, [&](const auto &item) {
        return item.second.heardAt >= *group.leadsSince - voteLifetime;
    });
    return memberCount_ - std::min(memberCount_, static_cast<std::size_t>(heard));
}

AllotmentCoordinator::Free
AllotmentCoordinator::computeFree(const Group &group, const Account &account, TimePoint now) const
{
    Free free{account.limit.ratePerSecond, settings_.capacity(account.limit)};
    const double unheard =
        std::min(1.0, static_cast<double>(countUnheard(group, now)) * shareOf(memberCount_));
    Free reserved{free.rate * unheard, free.capacity * unheard};
    for (const auto &[vm, holder] : account.holders) {
        free.rate -= holder.rate;
        free.capacity -= holder.capacity;
    }
    return {std::max(0.0, free.rate - reserved.rate),
            std::max(0.0, free.capacity - reserved.capacity)};
}

void AllotmentCoordinator::refill(const Group &group, Account &account, TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - account.refilledAt).count();
    account.refilledAt = now;
    if (!group.leadsSince)
        return;
    const Free free = computeFree(group, account, now);
    // The free rate only grows between two calls, because leases and reservations end.
    account.pool = std::min(account.pool + account.freeRate * seconds, free.capacity);
    account.freeRate = free.rate;
}

void AllotmentCoordinator::dropEnded(Group &group, TimePoint now) const
{
    for (auto &[name, account] : group.accounts) {
        refill(group, account, now);
        std::erase_if(account.holders, [&](const auto &item) { return now >= item.second.until; });
    }
}

// Replaces what the daemon counted with by what it reports.
void AllotmentCoordinator::takeHeld(Group &group, const VmId &vm, const GroupNeeds &needs,
                                    TimePoint now)
{
    for (auto &[name, account] : group.accounts) {
        refill(group, account, now);
        account.holders.erase(vm);
    }
    for (const AllotmentNeed &need : needs.needs) {
        const auto *entry = customers_ ? customers_->find(need.customer) : nullptr;
        if (!entry || !entry->limit)
            continue;
        const auto [found, added] = group.accounts.try_emplace(need.customer);
        Account &account = found->second;
        if (added)
            account = {.limit = *entry->limit,
                       .pool = settings_.takeoverTokens(*entry->limit),
                       .refilledAt = now};
        account.holders[vm] = {need.rate, need.capacity, need.demand, now + leaseDuration};
        // A pool without a majority holds the tokens for changes of coordinator only.
        if (group.leadsSince)
            account.pool += need.returned;
        refill(group, account, now);
    }
}

AllotmentAnswer AllotmentCoordinator::handle(const AllotmentRequest &request, TimePoint now)
{
    AllotmentAnswer answer;
    for (const GroupNeeds &needs : request.groups) {
        if (needs.group >= allotmentGroupCount)
            continue;
        Group &group = groups_.at(needs.group);
        GroupGrants &grants = answer.groups.emplace_back();
        grants.group = needs.group;
        if (!group.active)
            continue;
        Member &member = group.members[request.vm];
        grants.kind = GrantKind::TokensOnly;
        const bool sameProcess = request.process == member.process;
        if (sameProcess ? needs.sequence <= member.sequence
                        : request.process == member.formerProcess
                              && now - member.startedAt < formerProcessLifetime)
            continue; // a later message of the daemon has overtaken this one
        if (!sameProcess)
            member = {
                .process = request.process, .formerProcess = member.process, .startedAt = now};
        member.sequence = needs.sequence;
        member.heardAt = now;
        member.votes = needs.followedFor >= minFollowed;
        if (!hasMajority(group, now))
            group.leadsSince.reset();
        else if (!group.leadsSince) {
            group.leadsSince = now;
            for (auto &[name, account] : group.accounts) {
                account.refilledAt = now;
                account.freeRate = 0;
            }
        }
        if (group.leadsSince)
            dropEnded(group, now);
        takeHeld(group, request.vm, needs, now);
        if (group.leadsSince)
            grants.kind = GrantKind::Leases;
        for (const AllotmentNeed &need : needs.needs) {
            if (const auto found = group.accounts.find(need.customer);
                found != group.accounts.end())
                grants.grants.push_back(lease(group, found->second, request.vm, need, now));
        }
    }
    return answer;
}

AllotmentGrant AllotmentCoordinator::lease(Group &group, Account &account, const VmId &vm,
                                           const AllotmentNeed &need, TimePoint now)
{
    AllotmentGrant grant{.customer = need.customer, .limit = account.limit};
    if (!group.leadsSince) {
        grant.tokens = std::min<double>(need.waiting, std::floor(account.pool));
        account.pool -= grant.tokens;
        if (grant.tokens < need.waiting)
            grant.refuseFor = longestRefusal;
        return grant;
    }
    double demand = 0;
    for (const auto &[other, holder] : account.holders)
        demand += holder.demand;
    const double rate = account.limit.ratePerSecond;
    const double capacity = settings_.capacity(account.limit);
    const double share = shareOf(memberCount_);
    const double part = demand > 0 ? need.demand / demand : 0;
    double wantedRate = 0;
    double wantedCapacity = 0;
    if (need.demand >= smallDemand) {
        wantedRate = std::min({rateFor(need.demand), rate * leasableRate * part, rate * share});
        wantedCapacity = std::min({need.demand * bucketSeconds + bucketReserve,
                                   capacity * leasableCapacity * part, capacity * share});
    }
    const Free free = computeFree(group, account, now);
    Holder &holder = account.holders[vm];
    const double kept = rate * (1 - leasableRate);
    grant.rate = std::min(wantedRate, holder.rate + std::max(0.0, free.rate - kept));
    const double urgent = std::min(std::max(0.0, need.waiting - need.level), account.pool);
    const double stock = std::max(0.0, wantedCapacity - std::max(0.0, need.level - need.waiting));
    grant.tokens = urgent + std::min(stock, (account.pool - urgent) * stockShare);
    const double most = holder.capacity + free.capacity;
    grant.capacity = std::min(std::max(wantedCapacity, need.level + grant.tokens),
                              std::min(most, std::max(holder.capacity, capacity * share)));
    grant.tokens = std::min(grant.tokens,
                            std::max(0.0, grant.capacity - std::min(need.level, grant.capacity)));
    account.pool -= grant.tokens;
    if (const double lacking = need.waiting - need.level - grant.tokens; lacking > 0)
        grant.refuseFor = refusalTime(lacking, free.rate);
    holder.rate = std::max(holder.rate, grant.rate);
    holder.capacity = std::max(holder.capacity, grant.capacity);
    refill(group, account, now);
    return grant;
}

} // namespace pistachiowood
