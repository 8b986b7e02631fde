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

/// The daemons of the fleet, as the member records name them: who is one, who was one lately, for
/// how long this daemon has known it, and which of them ask the store for the others. Free of I/O.
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

    /// Takes the records of the other daemons, and whether this one has a record itself.
    void update(const std::map<VmId, DaemonRecord> &present,
                const std::map<VmId, DaemonRecord> &removed, bool registered, TimePoint now);

    /// Without this daemon.
    const Table &others() const { return others_; }
    bool contains(const VmId &vm) const { return others_.count(vm) > 0; }
    std::size_t otherCount() const { return others_.size(); }
    bool registered() const { return registeredSince_.has_value(); }
    /// Too many for each daemon to ask all others.
    bool large() const;
    /// Whether this daemon has seen the members for as long as a permission can last.
    bool established(TimePoint now) const;

    /// Daemons of the region that ask the store for the others.
    const std::vector<VmId> &confirmers() const { return confirmers_; }
    bool confirms() const { return confirms_; }
    /// Index of the confirmer that this daemon asks first: that of its zone, if there is one.
    std::size_t nearestConfirmer() const { return nearestConfirmer_; }
    /// Daemons of the region with this one, the confirmers first.
    const std::vector<VmId> &region() const { return region_; }
    /// Whether this daemon is among the first of its region.
    bool amongFirst(std::size_t count) const;
    /// Order in which the daemons act for the service.
    unsigned rankFor(const ServiceName &service);

    /// Whether all daemons that may use a primary meet the condition, this one set aside.
    bool allMeet(const Predicate &condition) const;
    /// Whether at least half of all daemons meet it, whichever of the lately known members the
    /// others count. Says whether this daemon does, too.
    bool halfMeet(bool selfMeets, const Predicate &condition, TimePoint now) const;
    /// Removed daemons none of whose permissions is in force; each is named again much later.
    std::vector<VmId> takeExpired(TimePoint now);

private:
    void chooseConfirmers();

    const FleetSettings &settings_;
    Table others_;
    Table removed_; ///< daemons whose permissions may still be in force
    std::vector<VmId> region_;
    std::vector<VmId> confirmers_;
    std::set<VmId> allConfirmers_; ///< of all regions
    bool confirms_ = true;
    std::size_t nearestConfirmer_ = 0;
    std::map<ServiceName, unsigned> ranks_; ///< until the members change
    std::optional<TimePoint> knownSince_;
    std::optional<TimePoint> registeredSince_;
};

} // namespace pistachiowood

#endif
