#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_MEMBERS_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_MEMBERS_H

#include "takeover/fleet_context.h"
#include "takeover/records.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pistachiowood {

/// Membership of the fleet according to the member records: present and recently removed daemons,
/// how long this daemon has known them, and the confirmers. A confirmer asks the store about
/// changes of the records, and the other daemons of its region get their confirmations from it.
/// Performs no I/O.
class FleetMembers
{
public:
    struct Member
    {
        DaemonRecord record;
        TimePoint since; ///< when this daemon first saw the record in this state
    };
    using Table = std::map<VmId, Member>;
    using Predicate = std::function<bool(const VmId &vm)>;

    explicit FleetMembers(const FleetSettings &settings);

    /// Sets the records of the other daemons, and whether this daemon has a valid one itself.
    void update(const std::map<VmId, DaemonRecord> &present,
                const std::map<VmId, DaemonRecord> &removed, bool registered, TimePoint now);

    /// Present members without this daemon.
    const Table &others() const { return others_; }
    bool contains(const VmId &vm) const { return others_.count(vm) > 0; }
    std::size_t otherCount() const { return others_.size(); }
    /// Present and removed members, this daemon included.
    std::size_t totalCount() const { return others_.size() + removed_.size() + 1; }
    bool registered() const { return registeredSince_.has_value(); }
    std::optional<TimePoint> registeredSince() const { return registeredSince_; }
    /// Whether there are too many members for each to exchange reports with all others.
    bool isLarge() const;
    /// Whether this daemon has known the member records for the longest lifetime of a permission,
    /// so that no daemon removed earlier still has one.
    bool established(TimePoint now) const;

    /// Confirmers of the region.
    const std::vector<VmId> &confirmers() const { return confirmers_; }
    bool isConfirmer() const { return isConfirmer_; }
    /// Index of the confirmer that this daemon asks first: one of its own zone, if there is one.
    std::size_t nearestConfirmer() const { return nearestConfirmer_; }
    /// All daemons of the region, this one included, confirmers first.
    const std::vector<VmId> &regionMembers() const { return regionMembers_; }
    /// Whether this daemon is among the first `count` daemons of its region.
    bool isAmongFirst(std::size_t count) const;
    /// Position of this daemon in the order in which daemons act for the service; 0 acts first.
    unsigned rankFor(const ServiceName &service);

    /// Whether all other daemons that may use a primary meet the condition. False while a removed
    /// daemon may have a permission.
    bool allMeet(const Predicate &condition) const;
    /// Whether at least half of all daemons meet the condition, even if the other daemons still
    /// count removed members or don't count new ones yet. `selfMeets` is the result for this
    /// daemon.
    bool halfMeet(bool selfMeets, const Predicate &condition, TimePoint now) const;
    /// Returns the removed daemons whose permissions have all expired. Each is returned again after
    /// another PrimaryPermission::longestLifetime if its record still exists then.
    std::vector<VmId> takeExpired(TimePoint now);

private:
    void chooseConfirmers();

    const FleetSettings &settings_;
    Table others_;
    Table removed_; ///< daemons whose permissions may still be in force
    std::vector<VmId> regionMembers_;
    std::vector<VmId> confirmers_; ///< of this daemon's region
    std::set<VmId> allConfirmers_; ///< of all regions
    bool isConfirmer_ = true;
    std::size_t nearestConfirmer_ = 0;
    std::map<ServiceName, unsigned> ranks_; ///< cache, cleared when the members change
    std::optional<TimePoint> knownSince_; ///< time of the first update
    std::optional<TimePoint> registeredSince_;
};

} // namespace pistachiowood

#endif
