#ifndef PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_HOLDER_H
#define PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_HOLDER_H

#include "allotments/allotment_messages.h"
#include "base/random.h"

#include <array>
#include <map>
#include <memory>
#include <optional>

namespace pistachiowood {

enum class AdmissionVerdict { Admit, Refuse, Wait };

/// Counts of one customer at this daemon since the start.
struct AdmissionCounts
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

/// Leases of this daemon: decides on each operation and states what to ask for. Performs no I/O.
///
/// Load patterns: a few operations per second that move between daemons (unused tokens go back with
/// the next message), demand far above the limit (refused without a message until a named time),
/// operations before the first lease (wait for one answer), lowered limits, and a coordinator that
/// does not answer (leases continue until they end, then a small allowance for each window).
class AllotmentHolder
{
public:
    AllotmentHolder(AllotmentSettings settings, RandomSource &random);

    /// Replaces limits and scales leases of limits that are lowered.
    void setCustomers(std::shared_ptr<const CustomerDirectory> customers, std::size_t daemonCount,
                      TimePoint now);
    /// Whether any customer is limited; otherwise nothing is sent.
    bool hasLimits() const { return hasLimits_; }

    /// Decides on a new operation. One that waits counts until takeToken() or stopWaiting().
    AdmissionVerdict admit(const CustomerName &customer, TimePoint now);
    /// Decides again on an operation that waits.
    AdmissionVerdict resume(const CustomerName &customer, TimePoint now);
    void stopWaiting(const CustomerName &customer);

    /// Returns the messages that are due, without the coordinators' part: of all groups at regular
    /// intervals, and of a group whose leases do not suffice at once. One message of a group is in
    /// flight at a time. Tokens that it returns are taken out of the buckets.
    std::vector<GroupNeeds> takeRequests(TimePoint now);
    void handleGrants(const GroupGrants &grants, TimePoint now);
    void handleFailure(unsigned group, TimePoint now);

    const std::map<CustomerName, AdmissionCounts> &counts() const { return counts_; }
    std::uint64_t requests() const { return sequence_; }
    /// Rate that this daemon has leased.
    double leasedRate(const CustomerName &customer) const;

private:
    struct Lease
    {
        OperationLimit limit; ///< of which it is a part
        double rate = 0;
        double capacity = 0;
        double level = 0;
        TimePoint refilledAt;
        TimePoint end;
    };
    struct State
    {
        Lease lease;
        double arrivals = 0; ///< decays over demandSeconds
        double recentArrivals = 0; ///< decays over recentSeconds
        TimePoint countedAt;
        unsigned waiting = 0;
        bool low = false; ///< the bucket runs low
        TimePoint refuseUntil{};
        double tail = 0; ///< tokens of the allowance without a lease
        TimePoint tailRefilledAt;
    };
    struct Group
    {
        std::map<CustomerName, State> states;
        bool inFlight = false;
        TimePoint sentAt{};
        TimePoint nextRegular{}; ///< next message that is due without a need
        TimePoint nextRequest{};
        TimePoint nextReview{}; ///< next search for leases that are too small or too large
        Milliseconds voteDelay{0}; ///< until the next message to a coordinator that may not lease
        bool leases = true; ///< the last message was answered by a coordinator that may lease
    };

    static bool needsRequest(Group &group, TimePoint now);
    GroupNeeds makeNeeds(unsigned index, TimePoint now);
    const OperationLimit *limitOf(const CustomerName &customer) const;
    State &stateOf(const CustomerName &customer, const OperationLimit &limit, TimePoint now);
    double tailCapacity(const OperationLimit &limit) const;
    bool takeTail(State &state, const OperationLimit &limit, TimePoint now) const;
    static bool takeToken(State &state, TimePoint now);
    static void refill(Lease &lease, TimePoint now);
    /// Returns the operations per second that arrive.
    static double updateDemand(State &state, TimePoint now);
    static bool hasSurplus(State &state, TimePoint now);
    void rescale(Lease &lease, const OperationLimit &limit) const;

    AllotmentSettings settings_;
    RandomSource &random_;
    std::shared_ptr<const CustomerDirectory> customers_;
    std::size_t daemonCount_ = 1;
    bool hasLimits_ = false;
    std::uint64_t sequence_ = 0;
    std::array<Group, allotmentGroupCount> groups_;
    std::map<CustomerName, AdmissionCounts> counts_;
};

} // namespace pistachiowood

#endif
