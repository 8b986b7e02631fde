#include "allotments/allotment_coordinator.h"
#include "allotments/coordinator_choice.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const CustomerName customer("c");
constexpr Milliseconds longFollowed{60000};

std::shared_ptr<const CustomerDirectory> makeDirectory(double rate)
{
    return CustomerDirectory::build({{customer, {}, 0, OperationLimit{rate, rate}}}).value();
}

} // namespace

TEST_GROUP(AllotmentCoordinator)
{
    ManualClock clock;
    unsigned group = allotmentGroupOf(customer);
    std::uint64_t sequence = 0;
    AllotmentCoordinator coordinator{AllotmentSettings{}};

    void setup() override
    {
        coordinator.setCustomers(makeDirectory(100), clock.now());
        coordinator.setActive(group, true);
        coordinator.setMemberCount(4);
    }

    GroupGrants ask(unsigned daemon, AllotmentNeed need, Milliseconds followedFor = longFollowed,
                    std::uint64_t process = 1)
    {
        need.customer = customer;
        return coordinator
            .handle({VmId("vm-" + std::to_string(daemon)),
                     process,
                     {{group, ++sequence, followedFor, {need}}}},
                    clock.now())
            .groups.front();
    }

    // All four daemons hold nothing.
    void hearAll()
    {
        for (unsigned daemon = 0; daemon < 4; ++daemon)
            ask(daemon, {});
    }
};

// Guards against leases that together exceed the rate of the customer.
TEST(AllotmentCoordinator, sumOfLeasesExceedsTheLimit)
{
    hearAll();
    for (unsigned round = 0; round < 20; ++round) {
        for (unsigned daemon = 0; daemon < 4; ++daemon)
            ask(daemon, {.demand = 500, .waiting = 100});
        clock.advance(500ms);
    }
    CHECK_TRUE(coordinator.leasedRate(customer) > 50);
    CHECK_TRUE(coordinator.leasedRate(customer) <= 100);
}

// Guards against a pool that gives out more than the capacity at one time.
TEST(AllotmentCoordinator, tokensExceedTheCapacity)
{
    for (unsigned i = 0; i < 20; ++i) {
        hearAll();
        clock.advance(1s);
    }
    double tokens = 0;
    for (unsigned i = 0; i < 40; ++i)
        tokens += ask(i % 4, {.waiting = 50}).grants.front().tokens;
    CHECK_TRUE(tokens > 100);
    CHECK_TRUE(tokens <= AllotmentSettings{}.capacity({100, 100}));
}

// Guards against a coordinator that gives the part of a silent daemon to others before its lease
// has ended.
TEST(AllotmentCoordinator, leaseOfSilentDaemonIsGivenAway)
{
    hearAll();
    const AllotmentGrant grant = ask(0, {.demand = 30}).grants.front();
    CHECK_TRUE(grant.rate > 20);
    clock.advance(11s);
    for (unsigned daemon = 1; daemon < 4; ++daemon)
        ask(daemon, {});
    DOUBLES_EQUAL(grant.rate, coordinator.leasedRate(customer), 0.01);
    clock.advance(2s);
    ask(1, {});
    DOUBLES_EQUAL(0, coordinator.leasedRate(customer), 0.01);
}

// Guards against a daemon that restarts and is kept from its former part for 12 s.
TEST(AllotmentCoordinator, restartedDaemonKeepsItsFormerPartBound)
{
    hearAll();
    ask(0, {.demand = 30});
    ask(0, {}, longFollowed, 2);
    DOUBLES_EQUAL(0, coordinator.leasedRate(customer), 0.01);
    // A late message of the former process must not bind it again.
    ask(0, {.rate = 20, .capacity = 20}, longFollowed, 1);
    DOUBLES_EQUAL(0, coordinator.leasedRate(customer), 0.01);
}

// Guards against a daemon that is ignored for good because the first message of its process was
// overtaken by the last one of its former process.
TEST(AllotmentCoordinator, restartedDaemonIsIgnored)
{
    ask(0, {}, longFollowed, 2);
    ask(0, {}, longFollowed, 1);
    hearAll();
    clock.advance(6s);
    for (unsigned daemon = 1; daemon < 4; ++daemon)
        ask(daemon, {});
    CHECK_TRUE(ask(0, {.demand = 30}, longFollowed, 2).grants.size() == 1);
}

// Guards against a message that a later one has overtaken and that frees what is held.
TEST(AllotmentCoordinator, overtakenMessageFreesALease)
{
    hearAll();
    sequence += 2;
    ask(0, {.demand = 30});
    const double leased = coordinator.leasedRate(customer);
    sequence -= 2;
    ask(0, {});
    DOUBLES_EQUAL(leased, coordinator.leasedRate(customer), 0.01);
}

// Guards against two coordinators that lease at the same time: a daemon that has just turned to
// this one may still count at the former.
TEST(AllotmentCoordinator, leasesWithoutAMajority)
{
    for (unsigned daemon = 0; daemon < 4; ++daemon) {
        const auto grants =
            ask(daemon, {.rate = 10, .capacity = 5, .demand = 10, .waiting = 100}, 1000ms);
        CHECK_TRUE(grants.kind == GrantKind::TokensOnly);
    }
    CHECK_FALSE(coordinator.mayLease(group, clock.now()));
}

// Guards against a successor that gives out what daemons hold from its predecessor before they have
// reported.
TEST(AllotmentCoordinator, successorGivesAwayWhatOthersHold)
{
    for (unsigned daemon = 0; daemon < 3; ++daemon)
        ask(daemon, {.rate = 20, .capacity = 10, .demand = 200});
    for (unsigned daemon = 0; daemon < 3; ++daemon)
        ask(daemon, {.rate = 20, .capacity = 10, .demand = 200});
    // A quarter may be with the fourth daemon.
    CHECK_TRUE(coordinator.leasedRate(customer) <= 75.01);
    clock.advance(3s);
    ask(3, {});
    for (unsigned daemon = 0; daemon < 4; ++daemon)
        ask(daemon, {.rate = 20, .capacity = 10, .demand = 200});
    CHECK_TRUE(coordinator.leasedRate(customer) > 75);
}

// Guards against leases of the former limit after it is lowered.
TEST(AllotmentCoordinator, loweredLimitIsNotApplied)
{
    hearAll();
    for (unsigned daemon = 0; daemon < 4; ++daemon)
        ask(daemon, {.demand = 40});
    coordinator.setCustomers(makeDirectory(10), clock.now());
    CHECK_TRUE(coordinator.leasedRate(customer) <= 10);
    CHECK_TRUE(ask(0, {.demand = 40}).grants.front().rate <= 10);
}

TEST_GROUP(CoordinatorChoice)
{
    ManualClock clock;
    std::vector<VmId> members{VmId("a"), VmId("b"), VmId("c"), VmId("d")};
    CoordinatorChoice choice{VmId("a")};

    void setup() override
    {
        choice.setMembers(members);
    }
};

// Guards against daemons that do not agree on a coordinator.
TEST(CoordinatorChoice, daemonsDisagree)
{
    CoordinatorChoice other(VmId("b"));
    other.setMembers({members.rbegin(), members.rend()});
    for (unsigned group = 0; group < allotmentGroupCount; ++group)
        CHECK_TRUE(choice.follow(group, clock.now()) == other.follow(group, clock.now()));
}

// Guards against a daemon that keeps asking a lost coordinator, and against one whose vote counts
// at once for the successor although it may still count for the former coordinator.
TEST(CoordinatorChoice, lostCoordinatorIsKept)
{
    const VmId first = choice.follow(0, clock.now());
    choice.recordGroupAnswer(0, first);
    CHECK_TRUE(choice.followedFor(0, clock.now()) > 1min);
    choice.recordFailure(first, clock.now());
    CHECK_TRUE(choice.follow(0, clock.now()) == first);
    choice.recordFailure(first, clock.now());
    const VmId next = choice.follow(0, clock.now());
    CHECK_FALSE(next == first);
    choice.recordGroupAnswer(0, next);
    CHECK_TRUE(choice.followedFor(0, clock.now()) == 0ms);
    clock.advance(300ms);
    CHECK_TRUE(choice.takeProbes(clock.now()) == std::vector<VmId>{first});
}

// Guards against a fleet divided between coordinators while members are added: a daemon follows
// until its coordinator resigns, and its vote then counts at once.
TEST(CoordinatorChoice, addedMemberDividesTheDaemons)
{
    CoordinatorChoice small(VmId("a"));
    for (unsigned group = 0; group < allotmentGroupCount; ++group) {
        small.follow(group, clock.now());
        small.recordGroupAnswer(group, VmId("a"));
    }
    small.setMembers(members);
    bool moved = false;
    for (unsigned group = 0; group < allotmentGroupCount; ++group) {
        CHECK_TRUE(small.follow(group, clock.now()) == VmId("a"));
        small.recordResignation(group, VmId("a"));
        const VmId next = small.follow(group, clock.now());
        CHECK_TRUE(next == choice.follow(group, clock.now()));
        small.recordGroupAnswer(group, next);
        CHECK_TRUE(small.followedFor(group, clock.now()) > 1min);
        moved = moved || next != VmId("a");
    }
    CHECK_TRUE(moved);
}
