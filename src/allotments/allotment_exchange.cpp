#include "allotments/allotment_exchange.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

AllotmentExchange::AllotmentExchange(VmId self, std::uint64_t process, AllotmentSettings settings,
                                     const Clock &clock, AllotmentChannel &channel)
    : self_(self)
    , process_(process)
    , clock_(clock)
    , channel_(channel)
    , choice_(std::move(self))
    , coordinator_(settings)
{
    updateRoles();
}

AllotmentExchange::~AllotmentExchange()
{
    *alive_ = false;
}

void AllotmentExchange::setMembers(std::map<VmId, SocketAddress> others)
{
    others_ = std::move(others);
    std::vector<VmId> members{self_};
    for (const auto &[vm, address] : others_)
        members.push_back(vm);
    choice_.setMembers(std::move(members));
    coordinator_.setMemberCount(choice_.memberCount());
    updateRoles();
}

void AllotmentExchange::setCustomers(const std::shared_ptr<const CustomerDirectory> &customers)
{
    limited_ = customers && std::ranges::any_of(customers->customers(), [](const auto &item) {
                   return item.second.limit.has_value();
               });
    coordinator_.setCustomers(customers, clock_.now());
}

void AllotmentExchange::updateRoles()
{
    for (unsigned group = 0; group < allotmentGroupCount; ++group) {
        const bool active = choice_.isPreferred(group);
        coordinator_.setActive(group, active);
        if (std::exchange(active_.at(group), active) != active && limited_)
            logEvent(Event::AllotmentCoordinator, {{"group", group}, {"active", active}});
    }
}

AllotmentAnswer AllotmentExchange::handleRequest(const AllotmentRequest &request)
{
    return coordinator_.handle(request, clock_.now());
}

void AllotmentExchange::send(std::vector<GroupNeeds> needs, const Done &done)
{
    const TimePoint now = clock_.now();
    std::map<VmId, std::vector<GroupNeeds>> byCoordinator;
    for (GroupNeeds &group : needs) {
        const VmId coordinator = choice_.follow(group.group, now);
        group.followedFor = choice_.followedFor(group.group, now);
        byCoordinator[coordinator].push_back(std::move(group));
    }
    for (auto &[vm, groups] : byCoordinator)
        sendTo(vm, std::move(groups), done);
}

void AllotmentExchange::sendTo(const VmId &vm, std::vector<GroupNeeds> needs, const Done &done)
{
    std::vector<unsigned> groups;
    groups.reserve(needs.size());
    for (const GroupNeeds &group : needs)
        groups.push_back(group.group);
    const AllotmentRequest request{self_, process_, std::move(needs)};
    if (vm == self_) {
        takeAnswer(vm, handleRequest(request), std::move(groups), done);
        return;
    }
    channel_.requestAllotments(others_.at(vm), request, allotmentTimeout,
                               [this, alive = alive_, vm, groups,
                                done](const std::variant<AllotmentAnswer, Error> &outcome) {
                                   if (!*alive)
                                       return;
                                   if (const auto *answer =
                                           std::get_if<AllotmentAnswer>(&outcome)) {
                                       takeAnswer(vm, *answer, groups, done);
                                       return;
                                   }
                                   noteFailure(vm);
                                   done({}, groups);
                               });
}

void AllotmentExchange::takeAnswer(const VmId &vm, const AllotmentAnswer &answer,
                                   std::vector<unsigned> groups, const Done &done)
{
    choice_.recordAnswer(vm);
    updateRoles();
    std::vector<GroupGrants> answered;
    for (const GroupGrants &grants : answer.groups) {
        if (std::erase(groups, grants.group) == 0)
            continue;
        if (grants.kind == GrantKind::Resigned)
            choice_.recordResignation(grants.group, vm);
        else
            choice_.recordGroupAnswer(grants.group, vm);
        answered.push_back(grants);
    }
    done(std::move(answered), std::move(groups));
}

void AllotmentExchange::noteFailure(const VmId &vm)
{
    if (choice_.recordFailure(vm, clock_.now())) {
        logEvent(Event::AllotmentCoordinatorLost, {{"vm", vm.value()}});
        updateRoles();
    }
}

void AllotmentExchange::tick()
{
    if (!limited_)
        return;
    for (const VmId &vm : choice_.takeProbes(clock_.now())) {
        const auto found = others_.find(vm);
        if (found == others_.end())
            continue;
        channel_.requestAllotments(
            found->second, {self_, process_, {}}, allotmentTimeout,
            [this, alive = alive_, vm](const std::variant<AllotmentAnswer, Error> &outcome) {
                if (!*alive || std::holds_alternative<Error>(outcome))
                    return;
                choice_.recordAnswer(vm);
                updateRoles();
            });
    }
}

} // namespace pistachiowood
