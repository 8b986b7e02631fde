// Replays the load patterns of ConnectionBudget in virtual time: daemons with real budgets before a
// model of one endpoint.
#include "gateway/connection_budget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t endpointLimit = 32;
constexpr Milliseconds deadConnectionTime{3000}; // for which the endpoint counts dead connections
constexpr Milliseconds step{10};

// An endpoint and the daemons that hold connections to it. Every daemon wants as many connections
// as its budget allows.
class EndpointReplay
{
public:
    EndpointReplay(unsigned daemons, std::size_t deadConnections)
        : dead_(deadConnections)
        , opened_(daemons)
    {
    }

    void addDaemon(TimePoint startedAt, unsigned knownMembers)
    {
        budgets_.emplace_back(random_, startedAt);
        budgets_.back().setShare(endpointLimit, knownMembers);
        opened_.resize(std::max(opened_.size(), budgets_.size()));
    }
    void setMembers(unsigned members)
    {
        for (ConnectionBudget &budget : budgets_)
            budget.setShare(endpointLimit, members);
    }
    void runFor(Milliseconds time)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += step)
            dialAll();
    }

    TimePoint now() const { return now_; }
    unsigned refusals() const { return refusals_; }
    std::size_t openBy(std::size_t daemon) const { return opened_.at(daemon).size(); }
    std::size_t fewestOpen() const
    {
        std::size_t fewest = endpointLimit;
        for (const auto &connections : opened_)
            fewest = std::min(fewest, connections.size());
        return fewest;
    }

private:
    // The daemons dial in an order that favours the first ones, as after an uneven start.
    void dialAll()
    {
        for (std::size_t daemon = 0; daemon < budgets_.size(); ++daemon) {
            ConnectionBudget &budget = budgets_[daemon];
            std::vector<TimePoint> &opened = opened_[daemon];
            // The uses of all connections end in each step.
            for (std::size_t i = 0; i < opened.size();) {
                if (budget.isLoanOver(opened.size(), opened[i], now_)) {
                    opened.erase(opened.begin() + static_cast<std::ptrdiff_t>(i));
                    budget.recordReturned(now_);
                } else {
                    ++i;
                }
            }
            const std::size_t limit = budget.limit(now_);
            while (opened.size() < limit && now_ >= budget.dialBlockedUntil())
                dial(opened, budget);
        }
    }

    void dial(std::vector<TimePoint> &opened, ConnectionBudget &budget)
    {
        std::size_t counted = now_ - start_ < deadConnectionTime ? dead_ : 0;
        for (const auto &connections : opened_)
            counted += connections.size();
        if (counted >= endpointLimit) {
            ++refusals_;
            budget.recordRefused(opened.size(), now_);
        } else {
            opened.push_back(now_);
            budget.recordOpened();
        }
    }

    SeededRandom random_{5};
    TimePoint start_{std::chrono::hours(1)};
    TimePoint now_{start_};
    std::size_t dead_;
    std::vector<ConnectionBudget> budgets_;
    std::vector<std::vector<TimePoint>> opened_; ///< times of opening, by daemon
    unsigned refusals_ = 0;
};

} // namespace

TEST_GROUP(ConnectionBudgetReplay){};

// Guards against a return of all daemons in which the first take all connections that the endpoint
// has left: it still counts half of its limit as dead. Daemons that do not know that they have just
// started leave others without any.
TEST(ConnectionBudgetReplay, eachReturningDaemonGetsConnections)
{
    for (const bool knowsStart : {true, false}) {
        EndpointReplay replay(6, endpointLimit / 2 - 2);
        for (unsigned daemon = 0; daemon < 6; ++daemon)
            replay.addDaemon(knowsStart ? replay.now() : replay.now() - 1min, 6);
        replay.runFor(1s);
        if (knowsStart) {
            CHECK_TRUE(replay.fewestOpen() >= 1);
            LONGS_EQUAL(0, replay.refusals());
        } else {
            LONGS_EQUAL(0, replay.fewestOpen());
        }
    }
}

// Guards against a fleet that does not settle once the endpoint has forgotten its dead connections:
// every daemon then has its share.
TEST(ConnectionBudgetReplay, sharesAreReachedAfterTheReturn)
{
    EndpointReplay replay(6, endpointLimit - 2);
    for (unsigned daemon = 0; daemon < 6; ++daemon)
        replay.addDaemon(replay.now(), 6);
    replay.runFor(5s);
    CHECK_TRUE(replay.fewestOpen() >= 4);
}

// Guards against a daemon that joins while the others don't know it yet and use the whole limit. It
// gets connections within two seconds of their learning of it, without a coordinator.
TEST(ConnectionBudgetReplay, joiningDaemonGetsConnectionsWhileMembersDisagree)
{
    EndpointReplay replay(6, 0);
    for (unsigned daemon = 0; daemon < 6; ++daemon)
        replay.addDaemon(replay.now() - 1min, 6);
    replay.runFor(2s);
    replay.addDaemon(replay.now(), 7);
    replay.runFor(1s); // the others still count six members
    replay.setMembers(7);
    replay.runFor(2s);
    CHECK_TRUE(replay.openBy(6) >= 1);
}

// Guards against daemons that keep the whole limit while their callers are many, so that daemons
// whose callers come later have no connection at all: each reaches its share.
TEST(ConnectionBudgetReplay, busyDaemonsGiveBackWhatTheyBorrow)
{
    EndpointReplay replay(6, 0);
    for (unsigned daemon = 0; daemon < 6; ++daemon)
        replay.addDaemon(replay.now() - 1min, 6);
    replay.runFor(100ms);
    LONGS_EQUAL(0, replay.fewestOpen()); // the first daemons have taken all
    replay.runFor(3s);
    CHECK_TRUE(replay.fewestOpen() >= 4);
}

// Guards against daemons that dial an endpoint without a free connection over and over: on the day
// that showed it 831 connections were refused. Each daemon asks a few times a second at most, also
// in large fleets.
TEST(ConnectionBudgetReplay, refusedDialsAreBounded)
{
    for (const unsigned daemons : {6U, 95U, 300U}) {
        EndpointReplay replay(daemons, 0);
        for (unsigned daemon = 0; daemon < daemons; ++daemon)
            replay.addDaemon(replay.now() - 1min, daemons);
        replay.runFor(10s);
        CHECK_TRUE(replay.refusals() <= daemons * 10 * 7);
    }
}
