#ifndef PISTACHIOWOOD_POOLS_FAIR_QUEUE_H
#define PISTACHIOWOOD_POOLS_FAIR_QUEUE_H

#include "base/ticket.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachiowood {

/// Limits the entries served in one turn of a team, and so how long the other teams wait.
inline constexpr std::uint32_t maxTeamWeight = 100;

/// Work that needs a connection and a slot of an endpoint.
struct PoolRequest
{
    Ticket ticket;
    TeamName team;
    std::uint32_t teamWeight = 1; ///< clamped to 1..maxTeamWeight
    std::string sessionKey;
    TimePoint deadline;
    bool forTransaction = false; ///< opens a transaction, which pins the connection
};

/// Inputs for estimating how long a new request would wait.
struct QueueLoad
{
    TimePoint now;
    std::chrono::nanoseconds waitPerEntry{0}; ///< mean service time / slots; 0 if unknown
    std::size_t requestsAhead = 0; ///< requests outside this queue that are served first
};

/// Why the queue did not admit a request.
enum class AdmissionRefusal {
    None,
    Expired, ///< the deadline has passed
    WouldExpire, ///< the expected wait exceeds the remaining time
    Full,
};

/// Result of adding a request.
struct Admission
{
    AdmissionRefusal refusal = AdmissionRefusal::None;
    std::optional<Ticket> evicted; ///< entry removed to make room; it was not run
};

/// Bounded queue with deadlines. Deficit round robin shares service between teams by weight and
/// then between the session keys of a team; each entry costs one unit.
class FairQueue
{
public:
    explicit FairQueue(std::size_t limit);

    /// Adds an entry or refuses it. The ticket must not be in the queue.
    Admission push(const PoolRequest &request, const QueueLoad &load);
    /// Removes the next entry. If allowTransactions is false, entries for transactions are skipped
    /// and stay queued.
    std::optional<PoolRequest> pop(bool allowTransactions = true);
    /// Returns whether the ticket was in the queue.
    bool remove(Ticket ticket);
    std::vector<Ticket> takeExpired(TimePoint now);
    /// Removes the newest entries of the largest flows until the limit is met; returns them.
    std::vector<Ticket> setLimit(std::size_t limit);
    /// Empties the queue and returns what it held.
    std::vector<Ticket> takeAll();

    std::size_t size() const { return index_.size(); }
    /// Estimates how many entries would be served before this new request.
    std::size_t countAhead(const PoolRequest &arrival) const;

private:
    /// A flow: the requests of one team with the same session key.
    struct Session
    {
        std::deque<PoolRequest> entries;
        std::size_t nonTransactionCount = 0; ///< entries with forTransaction false
    };
    struct Team
    {
        std::uint32_t weight = 1;
        std::uint32_t deficit = 0; ///< entries left in the current turn
        std::size_t entryCount = 0;
        std::size_t nonTransactionCount = 0;
        std::unordered_map<std::string, Session> sessions;
        std::deque<std::string> ring; ///< session keys in round-robin order, the next one first
    };
    struct Location
    {
        TeamName team;
        std::string session;
        TimePoint deadline;
    };

    static std::pair<std::string, std::size_t> findLargestSession(const Team &team);
    /// Entry to evict from a full queue; empty if the arrival's flow has reached its share.
    std::optional<Ticket> findEntryToEvict(const PoolRequest &arrival) const;
    std::optional<TeamName> findLargestTeam(const std::optional<TeamName> &except,
                                            std::size_t minimum) const;
    Ticket findNewest(const TeamName &team) const;
    PoolRequest popFrom(const TeamName &name, bool allowTransactions);

    std::size_t limit_;
    std::map<TeamName, Team> teams_;
    std::deque<TeamName> ring_; ///< teams in round-robin order, the next one first
    std::unordered_map<Ticket, Location> index_;
    std::set<std::pair<TimePoint, Ticket>> deadlines_;
};

} // namespace pistachiowood

#endif
