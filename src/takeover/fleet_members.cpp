#include "takeover/fleet_members.h"

#include "takeover/primary_permission.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

constexpr std::size_t daemonsPerConfirmer = 16; // each asks twice a second: 32 requests a second
constexpr std::size_t smallFleetMaxPeers = 12; // without this daemon

std::uint64_t weightOf(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

void updateTable(FleetMembers::Table &table, const std::map<VmId, DaemonRecord> &records,
                 TimePoint now)
{
    FleetMembers::Table updated;
    for (const auto &[vm, record] : records) {
        const auto known = table.find(vm);
        updated.emplace(
            vm, FleetMembers::Member{record, known == table.end() ? now : known->second.since});
    }
    table = std::move(updated);
}

bool isKnownLongEnough(const std::optional<TimePoint> &since, TimePoint now)
{
    return since && now - *since >= PrimaryPermission::longestLifetime;
}

} // namespace

FleetMembers::FleetMembers(const FleetSettings &settings)
    : settings_(settings)
{
}

void FleetMembers::update(const std::map<VmId, DaemonRecord> &present,
                          const std::map<VmId, DaemonRecord> &removed, bool registered,
                          TimePoint now)
{
    if (!knownSince_)
        knownSince_ = now;
    if (!registered)
        registeredSince_.reset();
    else if (!registeredSince_)
        registeredSince_ = now;
    updateTable(others_, present, now);
    updateTable(removed_, removed, now);
    ranks_.clear();
    chooseConfirmers();
}

// Every daemon computes the same confirmers from the member records. The confirmers of a region are
// spread over as many zones as possible, so that most requests to them stay within a zone.
void FleetMembers::chooseConfirmers()
{
    struct Candidate
    {
        std::size_t zoneRank = 0; ///< among the daemons of the zone, by weight
        std::uint64_t weight = 0;
        const VmId *vm = nullptr;
        const ZoneName *zone = nullptr;
    };
    std::map<RegionName, std::vector<Candidate>> regions;
    const auto add = [&](const VmId &vm, const RegionName &region, const ZoneName &zone) {
        regions[region].push_back({0, weightOf(vm.value()), &vm, &zone});
    };
    add(settings_.vm, settings_.region, settings_.zone);
    for (const auto &[vm, member] : others_)
        add(vm, member.record.region, member.record.zone);
    allConfirmers_.clear();
    for (auto &[region, candidates] : regions) {
        std::sort(candidates.begin(), candidates.end(),
                  [](const Candidate &left, const Candidate &right) {
                      return left.weight < right.weight;
                  });
        std::map<ZoneName, std::size_t> counts;
        for (Candidate &candidate : candidates)
            candidate.zoneRank = counts[*candidate.zone]++;
        std::stable_sort(candidates.begin(), candidates.end(),
                         [](const Candidate &left, const Candidate &right) {
                             return left.zoneRank < right.zoneRank;
                         });
        const std::size_t count =
            (candidates.size() + daemonsPerConfirmer - 1) / daemonsPerConfirmer;
        for (std::size_t i = 0; i < count; ++i)
            allConfirmers_.insert(*candidates[i].vm);
        if (region != settings_.region)
            continue;
        regionMembers_.clear();
        for (const Candidate &candidate : candidates)
            regionMembers_.push_back(*candidate.vm);
        confirmers_.assign(regionMembers_.begin(),
                           regionMembers_.begin() + static_cast<std::ptrdiff_t>(count));
        const auto own = static_cast<std::size_t>(
            std::find(regionMembers_.begin(), regionMembers_.end(), settings_.vm)
            - regionMembers_.begin());
        isConfirmer_ = own < count;
        nearestConfirmer_ = own % count;
        for (std::size_t i = 0; i < count; ++i) {
            if (*candidates[i].zone == settings_.zone)
                nearestConfirmer_ = i;
        }
    }
}

bool FleetMembers::isAmongFirst(std::size_t count) const
{
    const auto end = regionMembers_.begin()
                     + static_cast<std::ptrdiff_t>(std::min(regionMembers_.size(), count));
    return std::find(regionMembers_.begin(), end, settings_.vm) != end;
}

bool FleetMembers::isLarge() const
{
    return others_.size() > smallFleetMaxPeers;
}

bool FleetMembers::established(TimePoint now) const
{
    return isKnownLongEnough(knownSince_, now);
}

unsigned FleetMembers::rankFor(const ServiceName &service)
{
    if (const auto known = ranks_.find(service); known != ranks_.end())
        return known->second;
    // In a large fleet the confirmers act first, because they have the newest copies.
    const auto weight = [&](const VmId &vm) {
        const bool later = isLarge() && allConfirmers_.count(vm) == 0;
        return std::pair(later, weightOf(service.value() + "/" + vm.value()));
    };
    const auto own = weight(settings_.vm);
    const auto rank = static_cast<unsigned>(
        std::count_if(others_.begin(), others_.end(),
                      [&](const auto &member) { return weight(member.first) < own; }));
    return ranks_[service] = rank;
}

bool FleetMembers::allMeet(const Predicate &condition) const
{
    // A removed daemon may be cut off and still have a permission in force.
    return removed_.empty() && std::all_of(others_.begin(), others_.end(), [&](const auto &member) {
               return condition(member.first);
           });
}

// The daemons that do not meet the condition must not form a majority by their own count of the
// members, which may still hold removed daemons and lack new ones. Removed daemons therefore count
// as not meeting it, and so do members that have not been known long enough for all to count them.
bool FleetMembers::halfMeet(bool selfMeets, const Predicate &condition, TimePoint now) const
{
    if (!established(now))
        return false;
    std::size_t meeting = selfMeets && isKnownLongEnough(registeredSince_, now) ? 1 : 0;
    for (const auto &[vm, member] : others_)
        meeting += isKnownLongEnough(member.since, now) && condition(vm) ? 1 : 0;
    return 2 * meeting >= others_.size() + removed_.size() + 1;
}

std::vector<VmId> FleetMembers::takeExpired(TimePoint now)
{
    std::vector<VmId> expired;
    for (auto &[vm, member] : removed_) {
        if (isKnownLongEnough(member.since, now)) {
            member.since = now;
            expired.push_back(vm);
        }
    }
    return expired;
}

} // namespace pistachiowood
