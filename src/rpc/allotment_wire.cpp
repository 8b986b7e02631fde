#include "rpc/allotment_wire.h"

#include "rpc/control_wire.h"

#include <algorithm>
#include <cmath>

namespace pistachiowood {

namespace {

// A value from the wire that is no finite number, or is negative, counts as 0.
double decodeAmount(float value)
{
    return std::isfinite(value) && value > 0 ? value : 0;
}

// Rounds down, so that the sum of what is sent does not exceed what the sender counts.
float encodeAmount(double value)
{
    const auto rounded = static_cast<float>(value);
    return rounded > value ? std::nextafter(rounded, 0.0F) : rounded;
}

} // namespace

void encodeAllotmentRequest(const AllotmentRequest &request,
                            wire::Peer::AllotParams::Builder builder)
{
    builder.setVm(encodeText(request.vm.value()));
    builder.setProcess(request.process);
    auto groups = builder.initGroups(static_cast<unsigned>(request.groups.size()));
    for (unsigned i = 0; i < groups.size(); ++i) {
        const GroupNeeds &group = request.groups.at(i);
        groups[i].setGroup(static_cast<std::uint8_t>(group.group));
        groups[i].setSequence(group.sequence);
        groups[i].setFollowedMs(static_cast<std::uint32_t>(group.followedFor.count()));
        auto needs = groups[i].initNeeds(static_cast<unsigned>(group.needs.size()));
        for (unsigned j = 0; j < needs.size(); ++j) {
            const AllotmentNeed &need = group.needs.at(j);
            needs[j].setCustomer(encodeText(need.customer.value()));
            needs[j].setRate(static_cast<float>(need.rate));
            needs[j].setCapacity(static_cast<float>(need.capacity));
            needs[j].setLevel(static_cast<float>(need.level));
            needs[j].setReturned(encodeAmount(need.returned));
            needs[j].setDemand(static_cast<float>(need.demand));
            needs[j].setWaiting(need.waiting);
        }
    }
}

AllotmentRequest decodeAllotmentRequest(wire::Peer::AllotParams::Reader reader)
{
    AllotmentRequest request{VmId(decodeText(reader.getVm())), reader.getProcess(), {}};
    for (const auto group : reader.getGroups()) {
        GroupNeeds &needs = request.groups.emplace_back();
        needs.group = group.getGroup();
        needs.sequence = group.getSequence();
        needs.followedFor = Milliseconds(group.getFollowedMs());
        for (const auto need : group.getNeeds())
            needs.needs.push_back({CustomerName(decodeText(need.getCustomer())),
                                   decodeAmount(need.getRate()), decodeAmount(need.getCapacity()),
                                   decodeAmount(need.getLevel()), decodeAmount(need.getReturned()),
                                   decodeAmount(need.getDemand()), need.getWaiting()});
    }
    return request;
}

void encodeAllotmentAnswer(const AllotmentAnswer &answer, wire::Peer::AllotResults::Builder builder)
{
    auto groups = builder.initGroups(static_cast<unsigned>(answer.groups.size()));
    for (unsigned i = 0; i < groups.size(); ++i) {
        const GroupGrants &group = answer.groups.at(i);
        groups[i].setGroup(static_cast<std::uint8_t>(group.group));
        groups[i].setKind(static_cast<std::uint8_t>(group.kind));
        auto grants = groups[i].initGrants(static_cast<unsigned>(group.grants.size()));
        for (unsigned j = 0; j < grants.size(); ++j) {
            const AllotmentGrant &grant = group.grants.at(j);
            grants[j].setCustomer(encodeText(grant.customer.value()));
            grants[j].setLimitRate(static_cast<float>(grant.limit.ratePerSecond));
            grants[j].setLimitBurst(static_cast<float>(grant.limit.burst));
            grants[j].setRate(encodeAmount(grant.rate));
            grants[j].setCapacity(encodeAmount(grant.capacity));
            grants[j].setTokens(encodeAmount(grant.tokens));
            grants[j].setRefuseMs(static_cast<std::uint32_t>(grant.refuseFor.count()));
        }
    }
}

AllotmentAnswer decodeAllotmentAnswer(wire::Peer::AllotResults::Reader reader)
{
    AllotmentAnswer answer;
    for (const auto group : reader.getGroups()) {
        GroupGrants &grants = answer.groups.emplace_back();
        grants.group = group.getGroup();
        grants.kind = static_cast<GrantKind>(
            std::min(group.getKind(), static_cast<std::uint8_t>(GrantKind::Resigned)));
        for (const auto grant : group.getGrants())
            grants.grants.push_back(
                {CustomerName(decodeText(grant.getCustomer())),
                 {decodeAmount(grant.getLimitRate()), decodeAmount(grant.getLimitBurst())},
                 decodeAmount(grant.getRate()),
                 decodeAmount(grant.getCapacity()),
                 decodeAmount(grant.getTokens()),
                 Milliseconds(grant.getRefuseMs())});
    }
    return answer;
}

} // namespace pistachiowood
