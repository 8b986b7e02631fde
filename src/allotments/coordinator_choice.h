#ifndef PISTACHIOWOOD_ALLOTMENTS_COORDINATOR_CHOICE_H
#define PISTACHIOWOOD_ALLOTMENTS_COORDINATOR_CHOICE_H

#include "allotments/allotment_messages.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace pistachiowood {

/// Group of a customer; the same on all daemons.
unsigned allotmentGroupOf(const CustomerName &customer);

/// Chooses the coordinator of each group by rendezvous hashing over the members. Load patterns:
/// lost and cut-off coordinators, members that are added one after the other at a start, and
/// members whose lists differ for a while. A daemon stays with its coordinator until that one
/// resigns, does not answer, or is no member, so that a changed list alone does not divide the
/// daemons. Performs no I/O.
class CoordinatorChoice
{
public:
    explicit CoordinatorChoice(VmId self);

    /// Sets the members, this daemon included.
    void setMembers(std::vector<VmId> members);
    std::size_t memberCount() const { return members_.size(); }

    /// Coordinator to which the daemon sends the needs of the group now.
    const VmId &follow(unsigned group, TimePoint now);
    /// Time for which the daemon has followed it; the longest time if no former coordinator may
    /// still count its vote, and 0 before the first answer. A daemon gives its vote to a
    /// coordinator only after an answer, so that one that was not there, for instance at a start,
    /// delays nothing.
    Milliseconds followedFor(unsigned group, TimePoint now) const;
    /// Whether this daemon should coordinate the group.
    bool isPreferred(unsigned group) const { return preferred(group) == self_; }

    void recordAnswer(const VmId &vm);
    /// The coordinator answered for the group and did not resign.
    void recordGroupAnswer(unsigned group, const VmId &vm);
    /// Returns whether the member is avoided from now on.
    bool recordFailure(const VmId &vm, TimePoint now);
    void recordResignation(unsigned group, const VmId &vm);
    /// Avoided members that would be preferred and are to be asked for an answer now.
    std::vector<VmId> takeProbes(TimePoint now);
    std::uint64_t changes() const { return changes_; }

private:
    struct Followed
    {
        std::optional<VmId> vm;
        std::optional<TimePoint> since; ///< unset: has followed no other that may still grant
        bool answered = false;
        bool resigned = false;
    };
    struct Failures
    {
        unsigned count = 0;
        TimePoint nextProbe{};
        Milliseconds probeDelay{0};
    };

    bool isAvoided(const VmId &vm) const;
    const VmId &preferred(unsigned group) const;

    VmId self_;
    std::vector<VmId> members_;
    std::array<std::vector<VmId>, allotmentGroupCount> order_; ///< best first
    std::array<Followed, allotmentGroupCount> followed_;
    std::map<VmId, Failures> failures_;
    std::uint64_t changes_ = 0;
};

} // namespace pistachiowood

#endif
