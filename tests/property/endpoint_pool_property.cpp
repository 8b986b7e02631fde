#include "pools/endpoint_pool.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace pistachiowood;

namespace {

/// Draws from the whole range [0, bound). Without resize, inRange scales the range with the size of
/// the test case.
int draw(int bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

/// Model of the pool's owner: carries out the pool's commands and checks each of them.
struct Driver
{
    ManualClock clock;
    PoolLimits limits;
    EndpointPool pool{limits, clock};
    std::uint64_t lastTicket = 0;
    std::set<Ticket> waiting;
    /// Connecting or connected, with the running ticket.
    std::map<ConnectionId, std::optional<Ticket>> open;
    std::set<ConnectionId> connecting, transactions;
    std::map<Ticket, bool> forTransaction;
    std::set<ConnectionId> seen;

    explicit Driver(const PoolLimits &poolLimits)
        : limits(poolLimits)
    {
    }

    void handle(const OpenConnection &command)
    {
        RC_ASSERT(seen.insert(command.id).second);
        open[command.id] = std::nullopt;
        connecting.insert(command.id);
        RC_ASSERT(open.size() <= limits.maxConnections);
    }
    void handle(const CloseConnection &command)
    {
        RC_ASSERT(open.contains(command.id));
        forget(command.id);
    }
    void handle(const StartStatement &command)
    {
        RC_ASSERT(waiting.erase(command.ticket) == 1);
        RC_ASSERT(open.contains(command.id) && !connecting.contains(command.id));
        RC_ASSERT(!open[command.id]);
        open[command.id] = command.ticket;
        if (forTransaction[command.ticket])
            transactions.insert(command.id);
        RC_ASSERT(running().size() <= limits.slots);
        RC_ASSERT(transactions.size() <= std::max(1U, limits.maxConnections / 2));
    }
    void handle(const RejectStatement &command) { RC_ASSERT(waiting.erase(command.ticket) == 1); }
    void handle(const TransactionExpired &command)
    {
        RC_ASSERT(transactions.contains(command.id) && !open[command.id]);
    }
    void forget(ConnectionId id)
    {
        open.erase(id);
        connecting.erase(id);
        transactions.erase(id);
    }
    void pump()
    {
        for (const PoolCommand &command : pool.takeCommands())
            std::visit([this](const auto &value) { handle(value); }, command);
    }
    std::vector<ConnectionId> running() const
    {
        std::vector<ConnectionId> ids;
        for (const auto &[id, ticket] : open) {
            if (ticket)
                ids.push_back(id);
        }
        return ids;
    }
    Ticket submit(const char *team, std::uint32_t weight, int session, Milliseconds remaining,
                  bool transaction)
    {
        const Ticket ticket(++lastTicket);
        waiting.insert(ticket);
        forTransaction[ticket] = transaction;
        pool.submit({ticket, TeamName(team), weight, std::to_string(session),
                     clock.now() + remaining, transaction});
        return ticket;
    }
    void finish(ConnectionId id, ConnectionDisposition disposition)
    {
        if (disposition == ConnectionDisposition::KeepPinned && !transactions.contains(id))
            disposition = ConnectionDisposition::Reuse;
        if (disposition == ConnectionDisposition::Reuse)
            transactions.erase(id);
        open[id].reset();
        pool.finish(id, disposition);
    }
    void step();
};

template <typename T>
ConnectionId pick(const T &ids)
{
    return *std::next(ids.begin(), draw(static_cast<int>(ids.size())));
}

void Driver::step()
{
    const auto active = running();
    switch (draw(12)) {
    case 0:
    case 1:
    case 2:
        submit(draw(2) ? "a" : "b", draw(4), draw(3), Milliseconds(draw(400)), draw(3) == 0);
        break;
    case 3:
        if (!transactions.empty()) {
            const Ticket ticket(++lastTicket);
            waiting.insert(ticket);
            forTransaction[ticket] = true;
            pool.submitPinned(pick(transactions), ticket, clock.now() + Milliseconds(draw(300)));
        }
        break;
    case 4:
        if (lastTicket > 0) {
            const Ticket ticket(lastTicket - draw(static_cast<int>(std::min(lastTicket, 9UL))));
            pool.cancel(ticket);
            waiting.erase(ticket);
        }
        break;
    case 5:
    case 6:
        if (!connecting.empty()) {
            const ConnectionId id = pick(connecting);
            connecting.erase(id);
            if (draw(3) > 0) {
                pool.handleConnected(id);
            } else {
                forget(id);
                pool.handleConnectFailed(id, "refused");
            }
        }
        break;
    case 7:
    case 8:
        if (!active.empty())
            finish(pick(active), static_cast<ConnectionDisposition>(draw(3)));
        break;
    case 9:
        if (!open.empty() && draw(3) == 0) {
            ConnectionId id = open.begin()->first;
            forget(id);
            pool.handleConnectionClosed(id);
            id.generation = Generation(id.generation.value() - 1);
            // The pool must ignore an event with an old generation.
            pool.finish(id, ConnectionDisposition::Reuse);
        }
        break;
    case 10:
        clock.advance(Milliseconds(draw(10) == 0 ? 11000 : draw(200)));
        pool.tick();
        break;
    default:
        if (draw(4) == 0)
            pool.setDraining(draw(3) == 0);
        break;
    }
    pump();
}

} // namespace

int main()
{
    bool ok = true;

    // Guards against lost or duplicate tickets, exceeded slots, and use of closed connections.
    ok &= rc::check("each ticket starts or is rejected once on a valid connection", [] {
        Driver driver(
            {.slots = 1U + draw(3), .maxConnections = 1U + draw(7), .queueLimit = 0U + draw(8)});
        const int steps = draw(150);
        for (int i = 0; i < steps; ++i)
            driver.step();
        for (const ConnectionId id : driver.running())
            driver.finish(id, ConnectionDisposition::Reuse);
        driver.clock.advance(Milliseconds(1000));
        driver.pool.tick();
        driver.pump();
        RC_ASSERT(driver.waiting.empty());
        RC_ASSERT(driver.pool.stats().running == driver.running().size());
    });

    // Guards against starvation of a flow by others that submit more requests.
    ok &= rc::check("a light flow starts within a bounded number of starts", [] {
        const auto limit = 4U + draw(36);
        const auto weight = 1U + draw(5);
        Driver driver({.slots = 1, .maxConnections = 2, .queueLimit = limit});
        const auto flood = [&] {
            for (std::uint32_t i = 0; i < limit; ++i)
                driver.submit("heavy", weight, draw(3), Milliseconds(100000), false);
        };
        flood();
        driver.pump();
        for (const ConnectionId id : std::set(driver.connecting)) {
            driver.connecting.erase(id);
            driver.pool.handleConnected(id);
        }
        driver.pump();
        const Ticket light = driver.submit("light", 1, 0, Milliseconds(100000), false);
        std::uint32_t starts = 0;
        while (driver.waiting.contains(light)) {
            RC_ASSERT(starts++ <= 2 * weight + 1);
            flood();
            driver.clock.advance(Milliseconds(10));
            driver.finish(driver.running().at(0), ConnectionDisposition::Reuse);
            driver.pump();
        }
        const auto active = driver.running();
        RC_ASSERT(driver.open[active.at(0)] == light);
    });
    return ok ? 0 : 1;
}
