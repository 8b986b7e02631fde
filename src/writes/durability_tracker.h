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
    LogPosition durable; ///< highest durable position of that term as far as known
};

/// Replica to long-poll for positions above the given one.
struct Observer
{
    EndpointId endpoint;
    LogPosition above;

    friend bool operator==(const Observer &, const Observer &) = default;
};

/// Knows which log position of one service a majority of its group holds in the current term.
class DurabilityTracker
{
public:
    explicit DurabilityTracker(const Clock &clock);

    /// Sets the group as of a term; older terms are ignored. A newer term fails the waits of older
    /// ones.
    void setGroup(Term term, const EndpointId &primary, const std::vector<EndpointId> &members);
    /// Takes note of any answer of an endpoint. It counts only if the endpoint is in the current
    /// term and its last entry was written in that term. Otherwise its tail may be an entry of an
    /// older term that the primary does not have or that a later primary may still replace.
    void report(const EndpointId &endpoint, const EndpointReport &report);
    /// Waits until a majority holds the position in the term. A wait for a term newer than the
    /// group's is kept until setGroup reaches that term.
    void wait(Ticket ticket, Term term, LogPosition position, TimePoint deadline);
    /// Removes a wait without a result.
    void cancel(Ticket ticket);

    /// Returns the waits that ended, each once.
    std::vector<DurabilityResult> takeResults();

    Term term() const { return term_; }
    LogPosition durablePosition() const { return durable_; }
    /// Replicas behind the highest awaited position; empty while nothing waits in this term.
    std::vector<Observer> neededObservers() const;

private:
    struct Wait
    {
        Ticket ticket;
        TimePoint deadline;
    };
    using Key = std::pair<Term, LogPosition>;

    void updateDurable();
    void settleWaits();
    void end(const Wait &wait, Term term, Durability durability);

    const Clock &clock_;
    Term term_;
    EndpointId primary_;
    std::map<EndpointId, LogPosition> held_; ///< members and what each is known to hold
    LogPosition durable_;
    std::multimap<Key, Wait> waits_;
    std::vector<DurabilityResult> results_;
};

} // namespace pistachiowood

#endif
