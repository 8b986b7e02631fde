#ifndef PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_MESSAGES_H
#define PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_MESSAGES_H

#include "customers/customer_directory.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Bounds on the operations of a customer in any window of time, over all daemons.
struct AllotmentSettings
{
    Milliseconds window{5000}; ///< the platform's window for limits
    double overshoot = 0.1; ///< share by which a window may exceed the limit
    double slack = 20; ///< operations by which a window may exceed it in addition

    /// Operations by which a window may exceed rate x window + burst.
    double tolerance(const OperationLimit &limit) const
    {
        const double seconds = std::chrono::duration<double>(window).count();
        return (limit.ratePerSecond * seconds + limit.burst) * overshoot + slack;
    }
    /// Most tokens that may exist at one time: half of the tolerance lets daemons hold stocks, a
    /// quarter is for changes of coordinator, and a quarter for daemons without a lease.
    double capacity(const OperationLimit &limit) const
    {
        return limit.burst + tolerance(limit) / 2;
    }
    double takeoverTokens(const OperationLimit &limit) const { return tolerance(limit) / 4; }
    double tailTokens(const OperationLimit &limit) const { return tolerance(limit) / 4; }
};

/// Factor by which a quantity shrinks with its limit; 1 if the limit grows.
inline double scaleFor(double limit, double former)
{
    return limit < former ? limit / former : 1;
}

/// Groups of customers, each with its own coordinator. With 84 daemons that send every 2 s, four
/// groups cause 168 messages per second in the fleet.
inline constexpr unsigned allotmentGroupCount = 4;
/// Duration of a lease; covers a partition of 7 s and the take-over by a successor.
inline constexpr Milliseconds leaseDuration{12000};
/// Interval of a daemon's messages to each coordinator while its leases suffice.
inline constexpr Milliseconds allotmentInterval{2000};
/// Operations per second below which a daemon gets tokens but no rate, so that little is bound.
inline constexpr double smallDemand = 0.5;
/// Rate to lease for a demand. Random arrivals leave a part of a small lease unused, and what a
/// full bucket does not take is lost to the others, so small leases stay below the demand.
inline double rateFor(double demand)
{
    return std::max(0.0, 1.1 * demand - 0.3 * std::sqrt(demand));
}
/// Operations that a bucket holds for a demand: this many seconds of it and a reserve for random
/// arrivals.
inline constexpr double bucketSeconds = 0.75;
inline constexpr double bucketReserve = 2;
/// Time without an answer after which a message has failed; later answers are ignored.
inline constexpr Milliseconds allotmentTimeout{500};

/// What a daemon holds and needs of one customer.
struct AllotmentNeed
{
    CustomerName customer;
    double rate = 0; ///< of the lease in force at the sender
    double capacity = 0; ///< of its bucket
    double level = 0; ///< tokens in the bucket
    double returned = 0; ///< tokens that the sender has taken out of its bucket
    double demand = 0; ///< operations per second that arrive at the sender, refused ones included
    unsigned waiting = 0; ///< operations that wait for tokens
};

/// All that a daemon holds in one group. Customers that are not listed are not held.
struct GroupNeeds
{
    unsigned group = 0;
    std::uint64_t sequence = 0; ///< increases with each message of the process
    Milliseconds followedFor{0}; ///< time since the sender turned to this coordinator
    std::vector<AllotmentNeed> needs;
};

struct AllotmentRequest
{
    VmId vm;
    std::uint64_t process = 0; ///< differs between runs of the daemon; not 0
    std::vector<GroupNeeds> groups; ///< empty in a message that only asks for an answer
};

/// Lease for one customer that replaces the receiver's.
struct AllotmentGrant
{
    CustomerName customer;
    OperationLimit limit; ///< of which rate and capacity are a part
    double rate = 0;
    double capacity = 0;
    double tokens = 0; ///< to add to the bucket
    Milliseconds refuseFor{0}; ///< ask no more for this time; the customer is at its limit
};

enum class GrantKind : std::uint8_t {
    Leases, ///< the grants replace the leases
    TokensOnly, ///< the coordinator may not lease; leases stay, and tokens are added
    Resigned, ///< the receiver shall turn to another coordinator
};

struct GroupGrants
{
    unsigned group = 0;
    GrantKind kind = GrantKind::Resigned;
    std::vector<AllotmentGrant> grants;
};

struct AllotmentAnswer
{
    std::vector<GroupGrants> groups;
};

/// Sends requests to coordinators; callbacks run in the control thread.
class AllotmentChannel
{
public:
    using Callback = std::function<void(std::variant<AllotmentAnswer, Error>)>;

    virtual ~AllotmentChannel() = default;
    virtual void requestAllotments(const SocketAddress &peer, const AllotmentRequest &request,
                                   Milliseconds timeout, Callback callback) = 0;
};

} // namespace pistachiowood

#endif
