#include "membership/owner_table.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace pistachiowood {

namespace {

// Different seeds make the choice of owners, the choice of a daemon per zone and the order of the
// zones independent of each other.
constexpr std::uint64_t ownerSeed = 1;
constexpr std::uint64_t zoneDaemonSeed = 2;
constexpr std::uint64_t zoneRankSeed = 3;

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
    ++version_;
    std::vector<Candidate> lost;
    std::vector<Candidate> added;
    const auto isLess = [](const Candidate &a, const Candidate &b) {
        return std::tie(a.id, a.zone, a.region) < std::tie(b.id, b.zone, b.region);
    };
    std::ranges::set_difference(candidates_, candidates, std::back_inserter(lost), isLess);
    std::ranges::set_difference(candidates, candidates_, std::back_inserter(added), isLess);
    std::set<ZoneName> knownZones;
    for (const Candidate &candidate : candidates_)
        knownZones.insert(candidate.zone);
    candidates_ = std::move(candidates);
    dropResultsOf(lost);
    for (const Candidate &candidate : added)
        applyAdded(candidate, knownZones.insert(candidate.zone).second);
}

void OwnerTable::dropResultsOf(const std::vector<Candidate> &lost)
{
    std::set<VmId> ids;
    for (const Candidate &candidate : lost)
        ids.insert(candidate.id);
    std::erase_if(owners_, [&](const auto &item) { return ids.contains(item.second.id); });
    std::erase_if(responsible_, [&](const auto &item) {
        return std::ranges::any_of(item.second, [&](const VmId &id) { return ids.contains(id); });
    });
}

void OwnerTable::applyAdded(const Candidate &candidate, bool isNewZone)
{
    for (auto &[endpoint, owner] : owners_) {
        const auto rating = computeRating(endpoint, candidate);
        if (std::tie(rating, owner.id) > std::tie(owner.rating, candidate.id))
            owner = {candidate.id, rating};
    }
    if (isNewZone) {
        responsible_.clear();
        return;
    }
    std::map<VmId, const Candidate *> zoneMembers;
    for (const Candidate &other : candidates_) {
        if (other.zone == candidate.zone)
            zoneMembers.emplace(other.id, &other);
    }
    // The order of zones depends on their names only, so among known zones only the chosen daemon
    // of the candidate's zone can change.
    std::erase_if(responsible_, [&](const auto &item) {
        const ServiceName &service = item.first;
        return std::ranges::any_of(item.second, [&](const VmId &id) {
            return zoneMembers.contains(id)
                   && score(service.value(), candidate.id, zoneDaemonSeed)
                          >= score(service.value(), id, zoneDaemonSeed);
        });
    });
}

std::pair<int, std::uint64_t> OwnerTable::computeRating(const EndpointKey &endpoint,
                                                        const Candidate &candidate)
{
    const auto &[id, zone, region] = endpoint;
    const int locality = candidate.zone == zone ? 2 : candidate.region == region ? 1 : 0;
    return {locality, score(id.value(), candidate.id, ownerSeed)};
}

std::optional<VmId> OwnerTable::endpointOwner(const EndpointSpec &endpoint)
{
    if (candidates_.empty())
        return std::nullopt;
    const EndpointKey key{endpoint.id, endpoint.zone, endpoint.region};
    const auto cached = owners_.find(key);
    if (cached != owners_.end())
        return cached->second.id;
    Owner best;
    for (const Candidate &candidate : candidates_) {
        // Ties go to the lowest id, as in applyAdded(); candidates are sorted by id.
        if (const auto rating = computeRating(key, candidate);
            best.id.value().empty() || rating > best.rating)
            best = {candidate.id, rating};
    }
    return owners_.emplace(key, best).first->second.id;
}

const std::vector<VmId> &OwnerTable::responsibleDaemons(const ServiceName &service)
{
    const auto cached = responsible_.find(service);
    if (cached != responsible_.end())
        return cached->second;

    std::map<ZoneName, std::pair<std::uint64_t, const Candidate *>> best;
    for (const Candidate &candidate : candidates_) {
        const std::pair rated{score(service.value(), candidate.id, zoneDaemonSeed), &candidate};
        auto &current = best[candidate.zone];
        current = std::max(current, rated);
    }
    // Ranks zones, not daemons, so that the loss of a daemon that is not responsible has no effect.
    std::vector<std::pair<std::uint64_t, const Candidate *>> ranked;
    ranked.reserve(best.size());
    for (const auto &[zone, rated] : best)
        ranked.emplace_back(score(service.value(), zone, zoneRankSeed), rated.second);
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<const Candidate *> chosen;
    std::set<RegionName> regions;
    for (const bool isNewRegion : {true, false}) {
        for (const auto &[rank, candidate] : ranked) {
            const bool isChosen = std::ranges::find(chosen, candidate) != chosen.end();
            if (chosen.size() < maxResponsibleDaemons && !isChosen
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
