#include "membership/owner_table.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace pistachiowood {

namespace {

/// Seeds keep the choice per zone and the order of the zones independent of each other.
constexpr std::uint64_t ownerSeed = 1;
constexpr std::uint64_t responsibleSeed = 2;
constexpr std::uint64_t rankSeed = 3;

template <typename Name>
std::uint64_t score(const std::string &key, const Name &member, std::uint64_t seed)
{
    const std::uint64_t keyHash = XXH64(key.data(), key.size(), seed);
    return XXH64(member.value().data(), member.value().size(), keyHash);
}

} // namespace

void OwnerTable::update(const std::vector<MemberRecord> &members)
{
    std::vector<Candidate> candidates;
    for (const MemberRecord &record : members) {
        if (record.state == MemberState::Alive || record.state == MemberState::Suspect)
            candidates.push_back({record.id, record.zone, record.region});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.id < b.id; });
    if (candidates == candidates_)
        return;
    candidates_ = std::move(candidates);
    owners_.clear();
    responsible_.clear();
}

std::optional<VmId> OwnerTable::endpointOwner(const EndpointSpec &endpoint)
{
    if (candidates_.empty())
        return std::nullopt;
    const std::tuple key{endpoint.id, endpoint.zone, endpoint.region};
    const auto cached = owners_.find(key);
    if (cached != owners_.end())
        return cached->second;

    const auto rate = [&endpoint](const Candidate &candidate) {
        const int nearness = candidate.zone == endpoint.zone       ? 2
                             : candidate.region == endpoint.region ? 1
                                                                   : 0;
        return std::pair(nearness, score(endpoint.id.value(), candidate.id, ownerSeed));
    };
    const auto best = std::max_element(
        candidates_.begin(), candidates_.end(),
        [&rate](const Candidate &a, const Candidate &b) { return rate(a) < rate(b); });
    return owners_.emplace(key, best->id).first->second;
}

const std::vector<VmId> &OwnerTable::responsibleDaemons(const ServiceName &service)
{
    const auto cached = responsible_.find(service);
    if (cached != responsible_.end())
        return cached->second;

    std::map<ZoneName, std::pair<std::uint64_t, const Candidate *>> best;
    for (const Candidate &candidate : candidates_) {
        std::pair rated{score(service.value(), candidate.id, responsibleSeed), &candidate};
        auto &current = best[candidate.zone];
        current = std::max(current, rated);
    }
    // Zones are ranked, not daemons, so that the loss of a daemon that is not responsible changes
    // nothing.
    std::vector<std::pair<std::uint64_t, const Candidate *>> ranked;
    ranked.reserve(best.size());
    for (const auto &[zone, rated] : best)
        ranked.emplace_back(score(service.value(), zone, rankSeed), rated.second);
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<const Candidate *> chosen;
    std::set<RegionName> regions;
    for (const bool isNewRegion : {true, false}) {
        for (const auto &[rank, candidate] : ranked) {
            const bool isChosen = std::ranges::find(chosen, candidate) != chosen.end();
            if (chosen.size() < maxResponsible && !isChosen
                && (!isNewRegion || regions.insert(candidate->region).second))
                chosen.push_back(candidate);
        }
    }
    std::vector<VmId> &result = responsible_[service];
    for (const Candidate *candidate : chosen)
        result.push_back(candidate->id);
    return result;
}

} // namespace pistachiowood
