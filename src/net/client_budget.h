#ifndef PISTACHIOWOOD_NET_CLIENT_BUDGET_H
#define PISTACHIOWOOD_NET_CLIENT_BUDGET_H

#include <pistachiowood/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace pistachiowood {

/// Limits on what the clients of a process make it hold.
struct ClientLimits
{
    /// All clients together; the default is for processes whose memory is not known.
    std::size_t memoryBytes = std::size_t{256} * 1024 * 1024;
    /// Answers that a client may leave unread before its next statement waits.
    std::size_t unreadAnswerBytes = std::size_t{256} * 1024;
    /// Variables and prepared statements of one session: a message of 1 MiB and as much beside it.
    std::size_t sessionStateBytes = std::size_t{2} * 1024 * 1024;
    /// Connections; the default leaves descriptors of a VM's limit for endpoints.
    std::size_t connections = 3000;
};

/// Budget of memory and connections that all clients share. Decides whose input is read and who is
/// closed; performs no I/O. Handles these load patterns:
/// - many half-sent messages: above three quarters of the budget, nothing more is read from clients
///   that hold more than a small message; if that lasts, those that hold most are closed one by
///   one;
/// - a burst of small holders: above the whole budget, the one that holds most is closed at once;
/// - one client that takes all: a client that holds half of the budget is closed;
/// - silent connections: when all connections are in use, the oldest that has not started a session
///   makes room for a new one.
class ClientBudget
{
public:
    using ClientId = std::uint64_t; ///< rises with each new client

    explicit ClientBudget(const ClientLimits &limits)
        : limits_(limits)
    {
    }

    const ClientLimits &limits() const { return limits_; }
    void add(ClientId client);
    void remove(ClientId client);
    void setStarted(ClientId client) { notStarted_.erase(client); }
    void setHeld(ClientId client, std::size_t bytes);

    std::size_t heldBytes() const { return total_; }
    bool mayRead(ClientId client) const;
    /// The client to close now; the caller closes and removes it and asks again.
    std::optional<ClientId> chooseToClose(TimePoint now);

    bool hasRoom() const { return held_.size() < limits_.connections; }
    std::optional<ClientId> oldestNotStarted() const;

    /// Whether clients hold more than three quarters of the budget.
    bool isUnderPressure() const;

private:
    ClientLimits limits_;
    std::size_t total_ = 0;
    std::unordered_map<ClientId, std::size_t> held_;
    std::set<std::pair<std::size_t, ClientId>> byHeld_;
    std::set<ClientId> notStarted_;
    std::optional<TimePoint> pressureSince_;
    TimePoint nextClose_{};
};

} // namespace pistachiowood

#endif
