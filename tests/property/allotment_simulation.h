#ifndef PISTACHIOWOOD_ALLOTMENT_SIMULATION_H
#define PISTACHIOWOOD_ALLOTMENT_SIMULATION_H

// Replays random arrivals, partitions, lost messages, restarts and changes of limit in virtual time
// on the real objects of several daemons.
#include "allotments/allotment_exchange.h"
#include "allotments/allotment_holder.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <rapidcheck.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

constexpr Milliseconds configurationDelay{5000}; // bound of the platform
constexpr Milliseconds longestWait{75}; // a quarter of a target latency of 300 ms

double largestUse = 0; // of the tolerance, in all runs

std::shared_ptr<const CustomerDirectory> makeDirectory(const std::vector<OperationLimit> &limits)
{
    std::vector<Customer> customers;
    for (std::size_t i = 0; i < limits.size(); ++i)
        customers.push_back({CustomerName("c" + std::to_string(i)), {}, 0, limits[i]});
    return CustomerDirectory::build(std::move(customers)).value();
}

class Simulation
{
public:
    struct Waiting
    {
        std::size_t customer;
        TimePoint deadline;
    };
    struct Daemon final : public AllotmentChannel
    {
        Daemon(Simulation &owner, std::size_t number)
            : simulation(owner)
            , index(number)
            , holder({}, owner.random)
            , exchange(owner.nameOf(number), owner.random.next() | 1, {}, owner.clock, *this)
        {
        }
        void requestAllotments(const SocketAddress &peer, const AllotmentRequest &request,
                               Milliseconds, Callback callback) override
        {
            simulation.transmit(index, peer.port, request, std::move(callback));
        }

        Simulation &simulation;
        std::size_t index;
        AllotmentHolder holder;
        AllotmentExchange exchange;
        std::deque<Waiting> waiting;
    };

    Simulation(std::uint64_t seed, bool withFaults)
        : random(seed)
        , faults(withFaults)
        , daemons(3 + random.below(10))
        , side(daemons.size(), 0)
    {
        const auto customers = 1 + random.below(4);
        for (std::uint64_t i = 0; i < customers; ++i) {
            const double rate = 3 + static_cast<double>(random.below(i == 0 ? 250 : 40));
            limits.push_back({rate, rate});
        }
        history.emplace_back(clock.now(), limits);
        admitted.resize(customers);
        demand.resize(customers, 1);
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            present.insert(i);
            at(Milliseconds(random.below(200)), [this, i] { start(i); });
        }
        for (std::size_t i = 0; i < customers; ++i) {
            moveDemand(i);
            scheduleArrival(i);
        }
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = clock.now() + duration;
        while (!events.empty() && events.begin()->first <= end) {
            const auto event = events.extract(events.begin());
            clock.advance(std::chrono::duration_cast<Milliseconds>(event.key() - clock.now()));
            event.mapped()();
        }
    }

    void startFaults()
    {
        at(Milliseconds(random.below(4000)), [this] {
            if (!faults)
                return;
            fault();
            startFaults();
        });
    }

    /// Ends the daemon that coordinates the first customer; it does not come back.
    void loseCoordinator()
    {
        const unsigned group = allotmentGroupOf(customerName(0));
        for (auto &daemon : daemons) {
            if (daemon && daemon->exchange.coordinator().mayLease(group, clock.now())) {
                daemon.reset();
                return;
            }
        }
    }

    void endFaults()
    {
        faults = false;
        lossPercent = 0;
        longestDelay = 10ms;
        std::fill(side.begin(), side.end(), 0U);
        std::fill(demand.begin(), demand.end(), 1.0);
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (!daemons[i])
                start(i);
        }
    }

    // Largest excess over rate x window + burst in any window, relative to the tolerance.
    double computeUse(std::size_t customer) const
    {
        const AllotmentSettings settings;
        const auto &times = admitted[customer];
        double use = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > settings.window)
                ++first;
            OperationLimit most{0, 0};
            double allowed = 0;
            for (std::size_t i = 0; i < history.size(); ++i) {
                const bool ended = i + 1 < history.size()
                                   && history[i + 1].first + configurationDelay < times[first];
                const OperationLimit &limit = history[i].second[customer];
                const double sum = limit.ratePerSecond * 5 + limit.burst;
                if (!ended && history[i].first <= times[last] && sum > allowed) {
                    allowed = sum;
                    most = limit;
                }
            }
            const auto count = static_cast<double>(last - first + 1);
            use = std::max(use, (count - allowed) / settings.tolerance(most));
        }
        return use;
    }

    VmId nameOf(std::size_t index) const { return VmId("vm-" + std::to_string(index)); }

    ManualClock clock;
    SeededRandom random;
    bool faults;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<unsigned> side; // daemons of different sides do not reach each other
    std::set<std::size_t> present; // in the member records
    std::vector<OperationLimit> limits;
    std::vector<std::pair<TimePoint, std::vector<OperationLimit>>> history;
    std::vector<std::vector<TimePoint>> admitted; // by customer
    std::vector<double> demand; // factor of the usual demand
    std::uint64_t refused = 0;
    std::uint64_t arrivals = 0;
    std::uint64_t messages = 0;

private:
    void at(Milliseconds delay, std::function<void()> task)
    {
        events.emplace(clock.now() + delay, std::move(task));
    }

    void configure(std::size_t index)
    {
        Daemon &daemon = *daemons[index];
        std::map<VmId, SocketAddress> others;
        for (const std::size_t other : present) {
            if (other != index)
                others[nameOf(other)] = {"", static_cast<std::uint16_t>(other)};
        }
        daemon.exchange.setMembers(others);
        const auto directory = makeDirectory(limits);
        daemon.exchange.setCustomers(directory);
        daemon.holder.setCustomers(directory, present.size(), clock.now());
    }

    void configureAll(Milliseconds longest)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            at(Milliseconds(random.below(static_cast<std::uint64_t>(longest.count()))), [this, i] {
                if (daemons[i])
                    configure(i);
            });
        }
    }

    void start(std::size_t index)
    {
        daemons[index] = std::make_unique<Daemon>(*this, index);
        if (present.insert(index).second)
            configureAll(1s);
        configure(index);
        tick(index, daemons[index].get());
    }

    void tick(std::size_t index, const Daemon *run)
    {
        if (daemons[index].get() != run)
            return;
        daemons[index]->exchange.tick();
        serveWaiting(index);
        send(index);
        at(10ms, [this, index, run] { tick(index, run); });
    }

    void send(std::size_t index)
    {
        Daemon &daemon = *daemons[index];
        auto needs = daemon.holder.takeRequests(clock.now());
        if (needs.empty())
            return;
        daemon.exchange.send(std::move(needs),
                             [this, index, run = &daemon](const std::vector<GroupGrants> &answered,
                                                          const std::vector<unsigned> &failed) {
                                 if (daemons[index].get() != run)
                                     return;
                                 for (const GroupGrants &grants : answered)
                                     run->holder.handleGrants(grants, clock.now());
                                 for (const unsigned group : failed)
                                     run->holder.handleFailure(group, clock.now());
                                 serveWaiting(index);
                             });
    }

    void serveWaiting(std::size_t index)
    {
        Daemon &daemon = *daemons[index];
        for (auto item = daemon.waiting.begin(); item != daemon.waiting.end();) {
            const auto verdict = daemon.holder.resume(customerName(item->customer), clock.now());
            const bool late = clock.now() >= item->deadline;
            if (verdict == AdmissionVerdict::Wait && late)
                daemon.holder.stopWaiting(customerName(item->customer));
            if (verdict == AdmissionVerdict::Admit)
                admitted[item->customer].push_back(clock.now());
            else if (verdict == AdmissionVerdict::Refuse || late)
                ++refused;
            item = verdict == AdmissionVerdict::Wait && !late ? std::next(item)
                                                              : daemon.waiting.erase(item);
        }
    }

    static CustomerName customerName(std::size_t customer)
    {
        return CustomerName("c" + std::to_string(customer));
    }

    void transmit(std::size_t from, std::size_t to, const AllotmentRequest &request,
                  AllotmentChannel::Callback callback)
    {
        ++messages;
        const auto lost = [this, from, to] {
            return side[from] != side[to] || random.below(100) < lossPercent;
        };
        const auto answered = std::make_shared<bool>(false);
        at(allotmentTimeout, [this, from, run = daemons[from].get(), answered, callback] {
            if (!std::exchange(*answered, true) && daemons[from].get() == run)
                callback(Error{ErrorCode::Unavailable, "timeout"});
        });
        if (lost())
            return;
        if (!daemons[to] && random.below(2) == 0) { // the connection is refused
            at(1ms, [this, from, run = daemons[from].get(), answered, callback] {
                if (!std::exchange(*answered, true) && daemons[from].get() == run)
                    callback(Error{ErrorCode::Unavailable, "refused"});
            });
            return;
        }
        at(delay(), [this, from, to, run = daemons[from].get(), request, answered, callback, lost] {
            if (!daemons[to])
                return;
            const AllotmentAnswer answer = daemons[to]->exchange.handleRequest(request);
            if (lost())
                return;
            at(delay(), [this, from, run, answer, answered, callback] {
                if (!std::exchange(*answered, true) && daemons[from].get() == run)
                    callback(answer);
            });
        });
    }

    Milliseconds delay() { return 1ms + random.delayUpTo(longestDelay); }

    void moveDemand(std::size_t customer)
    {
        auto &weights = weights_[customer];
        if (weights.empty())
            weights.resize(1 + random.below(daemons.size()));
        // With faults all callers may move at once, for instance away from a daemon that is lost.
        const bool all = weights.size() == 1 || faults;
        const std::size_t first = all ? 0 : random.below(weights.size());
        for (std::size_t i = first; i < (all ? weights.size() : first + 1); ++i)
            weights[i] = random.below(daemons.size());
        at(1s + random.delayUpTo(4s), [this, customer] { moveDemand(customer); });
    }

    void scheduleArrival(std::size_t customer)
    {
        const double rate = limits[customer].ratePerSecond / 1.6 * demand[customer];
        const double part = static_cast<double>(1 + random.below(1000000)) / 1000000;
        at(Milliseconds(static_cast<std::int64_t>(std::lround(-std::log(part) / rate * 1000))),
           [this, customer] {
               arrive(customer);
               scheduleArrival(customer);
           });
    }

    void arrive(std::size_t customer)
    {
        const auto &weights = weights_[customer];
        std::size_t index = weights[random.below(weights.size())];
        // Callers of a lost daemon turn to another one.
        for (std::size_t i = 0; !daemons[index] && i < daemons.size(); ++i)
            index = (index + 1) % daemons.size();
        if (!daemons[index])
            return;
        ++arrivals;
        Daemon &daemon = *daemons[index];
        switch (daemon.holder.admit(customerName(customer), clock.now())) {
        case AdmissionVerdict::Admit:
            admitted[customer].push_back(clock.now());
            break;
        case AdmissionVerdict::Refuse:
            ++refused;
            break;
        case AdmissionVerdict::Wait:
            daemon.waiting.push_back({customer, clock.now() + longestWait});
            break;
        }
        send(index);
    }

    void fault()
    {
        const std::size_t index = random.below(daemons.size());
        switch (random.below(8)) {
        case 0: // partition
            for (unsigned &value : side)
                value = static_cast<unsigned>(random.below(3) / 2);
            break;
        case 1: // the partition ends
            std::fill(side.begin(), side.end(), 0U);
            break;
        case 2: // one daemon is cut off
            side[index] = 2 + static_cast<unsigned>(index);
            break;
        case 3: // a daemon crashes; its record is removed after a while
            daemons[index].reset();
            at(11s, [this, index] {
                if (!daemons[index] && present.erase(index) > 0)
                    configureAll(1s);
            });
            break;
        case 4: // daemons start
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                if (!daemons[i])
                    start(i);
            }
            break;
        case 5:
            lossPercent = random.below(3) == 0 ? 20 : 0;
            longestDelay = random.below(3) == 0 ? 400ms : 10ms;
            break;
        case 6: // changed limits
            for (OperationLimit &limit : limits) {
                const double rate = 3 + static_cast<double>(random.below(100));
                limit = {rate, rate};
            }
            history.emplace_back(clock.now(), limits);
            configureAll(configurationDelay);
            break;
        default:
            demand[random.below(demand.size())] = random.below(2) == 0 ? 1.0 : 7.5;
            break;
        }
    }

    std::multimap<TimePoint, std::function<void()>> events;
    std::map<std::size_t, std::vector<std::size_t>> weights_; // daemons that serve a customer
    unsigned lossPercent = 0;
    Milliseconds longestDelay{10};
};

bool checkProperty(const std::string &name, const std::function<void()> &property)
{
    const bool passed = rc::check(name, property);
    std::cout << "largest use of the tolerance so far: " << largestUse << '\n';
    return passed;
}

[[maybe_unused]] void checkWindows(const Simulation &simulation)
{
    for (std::size_t i = 0; i < simulation.admitted.size(); ++i) {
        const double use = simulation.computeUse(i);
        largestUse = std::max(largestUse, use);
        RC_ASSERT(use <= 1.0);
    }
}

// Operations of a stretch of calm, all below the limit, and how many of them were refused.
struct CalmCounts
{
    std::uint64_t arrivals = 0;
    std::uint64_t refused = 0;
};

[[maybe_unused]] CalmCounts runCalm(Simulation &simulation, Milliseconds duration)
{
    simulation.arrivals = 0;
    simulation.refused = 0;
    simulation.run(duration);
    return {simulation.arrivals, simulation.refused};
}

} // namespace

#endif
