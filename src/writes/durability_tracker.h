#ifndef PISTACHIOWOOD_WRITES_DURABILITY_TRACKER_H
#define PISTACHIOWOOD_WRITES_DURABILITY_TRACKER_H

#include "base/ticket.h"
#include "endpoints/endpoint_report.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <map>
#include <utility>
#include <vector>

namespace pistachiowood {

enum class Durability {
    Durable, ///< a majority holds the position in the term of the wait
    TermChanged, ///< a newer term began first
    Expired, ///< the deadline passed first
};

struct DurabilityResult
{
    Ticket ticket;
    Durability durability = Durability::Expired;
    Term term; ///< of the wait
    LogPosition durablePosition; ///< highest position of that term that is known to be durable
};

/// Replica to long-poll until its log goes beyond a position.
struct ReplicaPoll
{
    EndpointId endpoint;
    LogPosition above;

    friend bool operator==(const ReplicaPoll &, const ReplicaPoll &) = default;
};

/// Tracks the highest log position of one service that a majority of its group holds in the current
/// term, and completes waits for it.
class DurabilityTracker
{
public:
    explicit DurabilityTracker(const Clock &clock);

    /// Sets the members of the group in a term; ignored if the term is older than the current one.
    /// A newer term ends the waits of older terms with TermChanged.
    void setGroup(Term term, const EndpointId &primary, const std::vector<EndpointId> &members);
    /// Records the report of an endpoint. It counts only if the endpoint is in the current term and
    /// its last entry was written in that term. Otherwise the end of its log may hold entries of an
    /// older term that the primary does not have or that a later primary may still replace.
    void recordReport(const EndpointId &endpoint, const EndpointReport &report);
    /// Starts a wait until a majority holds the position in the term. A wait for a term newer than
    /// the group's is kept until setGroup sets that term.
    void addWait(Ticket ticket, Term term, LogPosition position, TimePoint deadline);
    /// Removes a wait without a result.
    void cancel(Ticket ticket);

    /// Returns the results of the waits that ended since the last call.
    std::vector<DurabilityResult> takeResults();

    Term term() const { return term_; }
    LogPosition durablePosition() const { return durablePosition_; }
    /// Replicas below the highest awaited position; empty while there is no wait in this term.
    std::vector<ReplicaPoll> neededPolls() const;

private:
    struct Wait
    {
        Ticket ticket;
        TimePoint deadline;
    };
    using Key = std::pair<Term, LogPosition>;

    void updateDurablePosition();
    void completeDurableWaits();
    void addResult(const Wait &wait, Term term, Durability durability);

    const Clock &clock_;
    Term term_;
    EndpointId primary_;
    std::map<EndpointId, LogPosition> heldPositions_; ///< lower bound for each member
    LogPosition durablePosition_;
    std::multimap<Key, Wait> waits_;
    std::vector<DurabilityResult> results_;
};

} // namespace pistachiowood

#endif
