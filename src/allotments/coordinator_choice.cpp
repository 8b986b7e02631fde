#include "allotments/coordinator_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// One lost message should not move a group.
constexpr unsigned failuresToAvoid = 2;
// A member that is only starting answers soon; one that is lost is asked as often as a followed
// coordinator gets messages.
constexpr Milliseconds firstProbeDelay{200};
constexpr Milliseconds longestProbeDelay{2000};
constexpr Milliseconds longestFollowed{3600000};

std::uint64_t scoreOf(unsigned group, const VmId &vm)
{
    return XXH64(vm.value().data(), vm.value().size(), group);
}

} // namespace

unsigned allotmentGroupOf(const CustomerName &customer)
{
    return static_cast<unsigned>(XXH64(customer.value().data(), customer.value().size(), 0)
                                 % allotmentGroupCount);
}

CoordinatorChoice::CoordinatorChoice(VmId self)
    : self_(std::move(self))
{
    setMembers({self_});
}

void CoordinatorChoice::setMembers(std::vector<VmId> members)
{
    std::sort(members.begin(), members.end());
    if (members == members_)
        return;
    members_ = std::move(members);
    for (unsigned group = 0; group < allotmentGroupCount; ++group) {
        order_.at(group) = members_;
        std::stable_sort(order_.at(group).begin(), order_.at(group).end(),
                         [&](const VmId &left, const VmId &right) {
                             return scoreOf(group, left) > scoreOf(group, right);
                         });
    }
    std::erase_if(failures_, [&](const auto &item) {
        return !std::binary_search(members_.begin(), members_.end(), item.first);
    });
}

bool CoordinatorChoice::isAvoided(const VmId &vm) const
{
    const auto found = failures_.find(vm);
    return found != failures_.end() && found->second.count >= failuresToAvoid;
}

const VmId &CoordinatorChoice::preferred(unsigned group) const
{
    for (const VmId &vm : order_.at(group)) {
        if (!isAvoided(vm))
            return vm;
    }
    return self_;
}

const VmId &CoordinatorChoice::follow(unsigned group, TimePoint now)
{
    Followed &followed = followed_.at(group);
    const bool stays = followed.vm && !followed.resigned && !isAvoided(*followed.vm)
                       && std::binary_search(members_.begin(), members_.end(), *followed.vm);
    if (stays)
        return *followed.vm;
    const VmId &next = preferred(group);
    if (followed.vm && *followed.vm != next) {
        ++changes_;
        if (!followed.resigned && followed.answered)
            followed.since = now;
        followed.answered = false;
    }
    followed.vm = next;
    followed.resigned = false;
    return *followed.vm;
}

Milliseconds CoordinatorChoice::followedFor(unsigned group, TimePoint now) const
{
    const auto &since = followed_.at(group).since;
    if (!followed_.at(group).answered)
        return Milliseconds(0);
    if (!since)
        return longestFollowed;
    return std::min(longestFollowed, std::chrono::duration_cast<Milliseconds>(now - *since));
}

void CoordinatorChoice::recordAnswer(const VmId &vm)
{
    failures_.erase(vm);
}

bool CoordinatorChoice::recordFailure(const VmId &vm, TimePoint now)
{
    Failures &failures = failures_[vm];
    failures.nextProbe = now + firstProbeDelay;
    failures.probeDelay = firstProbeDelay;
    return ++failures.count == failuresToAvoid;
}

void CoordinatorChoice::recordGroupAnswer(unsigned group, const VmId &vm)
{
    Followed &followed = followed_.at(group);
    if (followed.vm == vm)
        followed.answered = true;
}

void CoordinatorChoice::recordResignation(unsigned group, const VmId &vm)
{
    Followed &followed = followed_.at(group);
    if (followed.vm == vm)
        followed.resigned = true;
}

std::vector<VmId> CoordinatorChoice::takeProbes(TimePoint now)
{
    std::vector<VmId> due;
    for (const auto &order : order_) {
        for (const VmId &vm : order) {
            if (!isAvoided(vm))
                break;
            Failures &failures = failures_.at(vm);
            if (now < failures.nextProbe)
                continue;
            failures.probeDelay = std::min(failures.probeDelay * 2, longestProbeDelay);
            failures.nextProbe = now + failures.probeDelay;
            due.push_back(vm);
        }
    }
    return due;
}

} // namespace pistachiowood
