#include "takeover/fleet_members.h"

#include "takeover/primary_permission.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

constexpr std::size_t daemonsPerConfirmer = 16; // each asks twice a second: 32 requests a second
constexpr std::size_t smallFleet = 12; // without this daemon

std::uint64_t weightOf(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

void replaceTable(FleetMembers::Table &table, const std::map<VmId, DaemonRecord> &records,
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

bool isOld(const std::optional<TimePoint> &since, TimePoint now)
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
    replaceTable(others_, present, now);
    replaceTable(removed_, removed, now);
    ranks_.clear();
    chooseConfirmers();
}

// Every daemon computes the same confirmers from the member records. The confirmers of a region are
// spread over as many zones as possible, so that most requests to them stay within a zone.
void FleetMembers::chooseConfirmers()
{
    struct Place
    {
        std::size_t ordinal = 0; ///< among the daemons of the zone, by weight
        std::uint64_t weight = 0;
        const VmId *vm = nullptr;
        const ZoneName *zone = nullptr;
    };
    std::map<RegionName, std::vector<Place>> regions;
    const auto add = [&](const VmId &vm, const RegionName &region, const ZoneName &zone) {
        regions[region].push_back({0, weightOf(vm.value()), &vm, &zone});
    };
    add(settings_.vm, settings_.region, settings_.zone);
    for (const auto &[vm, member] : others_)
        add(vm, member.record.region, member.record.zone);
    allConfirmers_.clear();
    for (auto &[region, places] : regions) {
        std::sort(places.begin(), places.end(),
                  [](const Place &left, const Place &right) { return left.weight < right.weight; });
        std::map<ZoneName, std::size_t> counts;
        for (Place &place : places)
            place.ordinal = counts[*place.zone]++;
        std::stable_sort(places.begin(), places.end(), [](const Place &left, const Place &right) {
            return left.ordinal < right.ordinal;
        });
        const std::size_t count = (places.size() + daemonsPerConfirmer - 1) / daemonsPerConfirmer;
        for (std::size_t i = 0; i < count; ++i)
            allConfirmers_.insert(*places[i].vm);
        if (region != settings_.region)
            continue;
        region_.clear();
        for (const Place &place : places)
            region_.push_back(*place.vm);
        confirmers_.assign(region_.begin(), region_.begin() + static_cast<std::ptrdiff_t>(count));
        const auto own = static_cast<std::size_t>(
            std::find(region_.begin(), region_.end(), settings_.vm) - region_.begin());
        confirms_ = own < count;
        nearestConfirmer_ = own % count;
        for (std::size_t i = 0; i < count; ++i) {
            if (*places[i].zone == settings_.zone)
                nearestConfirmer_ = i;
        }
    }
}

bool FleetMembers::amongFirst(std::size_t count) const
{
    const auto end = region_.begin() + static_cast<std::ptrdiff_t>(std::min(region_.size(), count));
    return std::find(region_.begin(), end, settings_.vm) != end;
}

bool FleetMembers::large() const
{
    return others_.size() > smallFleet;
}

bool FleetMembers::established(TimePoint now) const
{
    return isOld(knownSince_, now);
}

unsigned FleetMembers::rankFor(const ServiceName &service)
{
    if (const auto known = ranks_.find(service); known != ranks_.end())
        return known->second;
    // In a large fleet the confirmers act first, because they have the newest copies.
    const auto weight = [&](const VmId &vm) {
        const bool later = large() && allConfirmers_.count(vm) == 0;
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
    std::size_t meeting = selfMeets && isOld(registeredSince_, now) ? 1 : 0;
    for (const auto &[vm, member] : others_)
        meeting += isOld(member.since, now) && condition(vm) ? 1 : 0;
    return 2 * meeting >= others_.size() + removed_.size() + 1;
}

std::vector<VmId> FleetMembers::takeExpired(TimePoint now)
{
    std::vector<VmId> expired;
    for (auto &[vm, member] : removed_) {
        if (isOld(member.since, now)) {
            member.since = now;
            expired.push_back(vm);
        }
    }
    return expired;
}

} // namespace pistachiowood
