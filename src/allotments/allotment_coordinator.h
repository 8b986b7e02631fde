#ifndef PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_COORDINATOR_H
#define PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_COORDINATOR_H

#include "allotments/allotment_messages.h"

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace pistachiowood {

/// Divides the limits of customers among the daemons that ask for them. Performs no I/O.
///
/// Load patterns: demand that moves between daemons, customers far above their limit, limits that
/// are lowered below the use, and daemons that are silent, restarted, or cut off.
///
/// For each customer, the leased rates sum up to at most its rate; tokens of the pool and leased
/// bucket capacities sum up to at most AllotmentSettings::capacity(). The pool is refilled with the
/// rate that is not leased. A daemon that may not have got an answer counts with the larger of what
/// it reported and what it was sent. Only a coordinator that a majority of the members follows
/// leases. What members may hold from another coordinator counts as leased until they report, or
/// their leases must have ended.
class AllotmentCoordinator
{
public:
    explicit AllotmentCoordinator(AllotmentSettings settings);

    /// Replaces limits. Leases of a customer whose limit is lowered count in proportion from now
    /// on, because their holders reduce them in the same way.
    void setCustomers(std::shared_ptr<const CustomerDirectory> customers, TimePoint now);
    void setMemberCount(std::size_t count) { memberCount_ = count; }
    /// Sets whether this daemon should coordinate the group. One that resigns forgets what it
    /// granted.
    void setActive(unsigned group, bool active);

    AllotmentAnswer handle(const AllotmentRequest &request, TimePoint now);

    /// Whether a majority follows this coordinator.
    bool mayLease(unsigned group, TimePoint now) const;
    /// Sum of the rates that count as leased to members that reported.
    double leasedRate(const CustomerName &customer) const;

private:
    struct Holder
    {
        double rate = 0;
        double capacity = 0;
        double demand = 0;
        TimePoint until; ///< when the lease has ended
    };
    struct Account
    {
        OperationLimit limit;
        double pool = 0;
        TimePoint refilledAt;
        double freeRate = 0; ///< rate that was not leased since then
        std::map<VmId, Holder> holders;
    };
    struct Member
    {
        std::uint64_t process = 0;
        std::uint64_t formerProcess = 0; ///< whose late messages are ignored for a while
        TimePoint startedAt; ///< first message of the process
        std::uint64_t sequence = 0;
        TimePoint heardAt;
        bool votes = false;
    };
    struct Group
    {
        bool active = false;
        std::map<VmId, Member> members;
        std::optional<TimePoint> leadsSince;
        std::map<CustomerName, Account> accounts;
    };
    struct Free
    {
        double rate = 0;
        double capacity = 0;
    };

    bool hasMajority(const Group &group, TimePoint now) const;
    std::size_t countUnheard(const Group &group, TimePoint now) const;
    Free computeFree(const Group &group, const Account &account, TimePoint now) const;
    void refill(const Group &group, Account &account, TimePoint now) const;
    void dropEnded(Group &group, TimePoint now) const;
    void takeHeld(Group &group, const VmId &vm, const GroupNeeds &needs, TimePoint now);
    AllotmentGrant lease(Group &group, Account &account, const VmId &vm, const AllotmentNeed &need,
                         TimePoint now);

    AllotmentSettings settings_;
    std::size_t memberCount_ = 1;
    std::shared_ptr<const CustomerDirectory> customers_;
    std::array<Group, allotmentGroupCount> groups_;
};

} // namespace pistachiowood

#endif
