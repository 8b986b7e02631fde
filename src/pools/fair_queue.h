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

/// A team's turn takes at most this many entries, which bounds how long the other teams wait.
inline constexpr std::uint32_t maxTeamWeight = 100;

/// Work that needs a connection and a slot of an endpoint.
struct PoolRequest
{
    Ticket ticket;
    TeamName team;
    std::uint32_t teamWeight = 1; ///< clamped to 1..maxTeamWeight
    std::string sessionKey;
    TimePoint deadline;
    bool forTransaction = false; ///< keeps its connection after the first statement
};

/// What the queue needs to know to estimate the wait of an arrival.
struct QueueLoad
{
    TimePoint now;
    std::chrono::nanoseconds waitPerEntry{0}; ///< mean service time / slots; 0 when not measured
    std::size_t othersAhead = 0; ///< work outside the queue that runs first
};

enum class AdmissionRefusal {
    None,
    Expired, ///< the deadline has passed
    WouldExpire, ///< the expected wait exceeds the remaining time
    Full,
};

struct Admission
{
    AdmissionRefusal refusal = AdmissionRefusal::None;
    std::optional<Ticket> evicted; ///< entry that gave up its place; it was not run
};

/// Bounded queue with deadlines. Deficit round robin shares service between teams by weight and
/// then between the session keys of a team; each entry costs one unit.
class FairQueue
{
public:
    explicit FairQueue(std::size_t limit);

    /// Adds an entry or refuses it. The ticket must not be in the queue.
    Admission push(const PoolRequest &request, const QueueLoad &load);
    /// Removes the next entry; without allowTransactions those for transactions keep waiting.
    std::optional<PoolRequest> pop(bool allowTransactions = true);
    /// Returns whether the ticket was in the queue.
    bool remove(Ticket ticket);
    std::vector<Ticket> takeExpired(TimePoint now);
    /// Returns the entries that no longer fit.
    std::vector<Ticket> setLimit(std::size_t limit);
    /// Empties the queue and returns what it held.
    std::vector<Ticket> takeAll();

    std::size_t size() const { return index_.size(); }
    /// Estimates how many entries are served before an arrival of this flow.
    std::size_t countAhead(const PoolRequest &arrival) const;

private:
    struct Session
    {
        std::deque<PoolRequest> entries;
        std::size_t plain = 0; ///< entries that are not for transactions
    };
    struct Team
    {
        std::uint32_t weight = 1;
        std::uint32_t deficit = 0; ///< entries left in the current turn
        std::size_t held = 0;
        std::size_t plain = 0;
        std::unordered_map<std::string, Session> sessions;
        std::deque<std::string> ring; ///< sessions in the order of their turns
    };
    struct Place
    {
        TeamName team;
        std::string session;
        TimePoint deadline;
    };

    static std::pair<std::string, std::size_t> findLargestSession(const Team &team);
    std::optional<Ticket> findVictim(const PoolRequest &arrival) const;
    std::optional<TeamName> findLargestTeam(const std::optional<TeamName> &except,
                                            std::size_t minimum) const;
    Ticket findNewest(const TeamName &team) const;
    PoolRequest popFrom(const TeamName &name, bool allowTransactions);

    std::size_t limit_;
    std::map<TeamName, Team> teams_;
    std::deque<TeamName> ring_; ///< teams in the order of their turns
    std::unordered_map<Ticket, Place> index_;
    std::set<std::pair<TimePoint, Ticket>> deadlines_;
};

} // namespace pistachiowood

#endif
