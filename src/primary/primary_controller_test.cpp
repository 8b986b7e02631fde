#include "primary/primary_controller.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

ServiceStatus makeServiceStatus(std::uint64_t term, const char *primary)
{
    return {ServiceName("s"), Term(term), EndpointId(primary), {}};
}

EndpointStatus makeStatus(EndpointRole role, std::uint64_t term, int contactMs = 0)
{
    EndpointStatus status;
    status.report.role = role;
    status.report.term = Term(term);
    status.primaryContact = Milliseconds(contactMs);
    return status;
}

} // namespace

TEST_GROUP(PrimaryController)
{
    ManualClock clock;
    SeededRandom random{1};
    std::unique_ptr<PrimaryController> controller;
    std::vector<PrimaryCommand> commands;

    void setup() override
    {
        start(0);
    }
    void teardown() override
    {
        controller.reset();
        commands = {};
    }
    void start(unsigned rank)
    {
        controller = std::make_unique<PrimaryController>(ServiceName("s"), VmId("vm"),
                                                         ZoneName("z0"), clock, random);
        controller->setGroup({{EndpointId("e0"), ZoneName("z0")},
                              {EndpointId("e1"), ZoneName("z1")},
                              {EndpointId("e2"), ZoneName("z2")}});
        controller->setRank(rank);
    }
    void tick(Milliseconds step = Milliseconds(100))
    {
        clock.advance(step);
        controller->tick();
        for (PrimaryCommand &command : controller->takeCommands())
            commands.push_back(std::move(command));
    }
    // Ticks every 100 ms; every 500 ms each member gives its answer to a probe.
    void run(int milliseconds, const ProbeResult &e0, const ProbeResult &e1, const ProbeResult &e2)
    {
        for (int spent = 0; spent < milliseconds; spent += 100) {
            if (spent % 500 == 0) {
                controller->handleStatus(EndpointId("e0"), e0, Milliseconds(5));
                controller->handleStatus(EndpointId("e1"), e1, Milliseconds(5));
                controller->handleStatus(EndpointId("e2"), e2, Milliseconds(5));
            }
            tick();
        }
    }
    template <typename Command>
    int count() const
    {
        int found = 0;
        for (const PrimaryCommand &command : commands)
            found += std::holds_alternative<Command>(command) ? 1 : 0;
        return found;
    }
    const EndpointStatus primary = makeStatus(EndpointRole::Primary, 1);
    const EndpointStatus replica = makeStatus(EndpointRole::Replica, 1);
    const EndpointStatus replicaWithoutContact = makeStatus(EndpointRole::Replica, 1, 5000);
};

// Guards against a new group, whose members have no term, that stays without a primary.
TEST(PrimaryController, bootstrapsAGroupWithoutAnyTerm)
{
    const EndpointStatus replicaWithoutTerm = makeStatus(EndpointRole::Replica, 0, 100);
    run(2300, replicaWithoutTerm, replicaWithoutTerm, replicaWithoutTerm);
    CHECK_EQUAL(3, count<RaiseTerm>());
}

// Guards against a promotion by a new daemon that has not yet learned the status.
TEST(PrimaryController, unknownStatusWithFollowingReplicasStartsNoPromotion)
{
    run(10000, ProbeFailure::Timeout, replica, replica);
    CHECK_EQUAL(0, count<RaiseTerm>());
}

// Guards against concurrent promotions by all responsible daemons.
TEST(PrimaryController, rankOneWaitsAndAcceptsANewerStatus)
{
    start(1);
    controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
    run(3500, ProbeFailure::Timeout, replicaWithoutContact, replicaWithoutContact);
    CHECK_FALSE(controller->isPromoting());
    controller->handleServiceStatus(makeServiceStatus(2, "e1"), StatusSource::Gossip);
    const EndpointStatus next = makeStatus(EndpointRole::Primary, 2);
    run(6000, ProbeFailure::Timeout, next, makeStatus(EndpointRole::Replica, 2));
    CHECK_EQUAL(0, count<RaiseTerm>());
    CHECK_FALSE(controller->isPromoting());
}

// Guards against an old status that replaces a newer one.
TEST(PrimaryController, olderStatusIsIgnored)
{
    controller->handleServiceStatus(makeServiceStatus(5, "e1"), StatusSource::Gossip);
    controller->handleServiceStatus(makeServiceStatus(4, "e0"), StatusSource::Platform);
    CHECK_TRUE(controller->status()->term == Term(5));
    CHECK_TRUE(controller->status()->primary == EndpointId("e1"));
}

// Guards against a needless promotion after a promoter died before it published.
TEST(PrimaryController, adoptsAPromotedPrimaryAndPublishesIt)
{
    controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
    run(500, ProbeFailure::Timeout, makeStatus(EndpointRole::Primary, 2),
        makeStatus(EndpointRole::Replica, 2));
    CHECK_TRUE(controller->status()->primary == EndpointId("e1"));
    CHECK_EQUAL(1, count<AnnounceStatus>());
    CHECK_EQUAL(1, count<PublishStatus>());
    CHECK_EQUAL(0, count<RaiseTerm>());
}

// Guards against a status that never reaches the platform after an outage.
TEST(PrimaryController, publishesAgainUntilThePlatformAnswers)
{
    controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
    const EndpointStatus next = makeStatus(EndpointRole::Primary, 2);
    const EndpointStatus follower = makeStatus(EndpointRole::Replica, 2);
    for (int i = 0; i < 40; ++i) {
        run(500, follower, next, follower);
        controller->handlePublishResult(Term(2), PublishResult::Unavailable);
    }
    const int attempts = count<PublishStatus>();
    CHECK_TRUE(attempts >= 4 && attempts <= 12);
    run(6000, follower, next, follower);
    controller->handlePublishResult(Term(2), PublishResult::Ok);
    const int before = count<PublishStatus>();
    run(20000, follower, next, follower);
    CHECK_EQUAL(before, count<PublishStatus>());
}

// Guards against a returning former primary that keeps its role.
TEST(PrimaryController, returningMembersAreToldToFollow)
{
    controller->handleServiceStatus(makeServiceStatus(2, "e1"), StatusSource::Platform);
    run(500, primary, makeStatus(EndpointRole::Primary, 2),
        makeStatus(EndpointRole::Replica, 2, 9000));
    CHECK_EQUAL(2, count<FollowPrimary>());
}

// Guards against a daemon that acts on evidence from before it was paused.
TEST(PrimaryController, pauseDiscardsEvidence)
{
    controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
    run(1500, ProbeFailure::Timeout, replicaWithoutContact, replicaWithoutContact);
    tick(Milliseconds(60000));
    CHECK_FALSE(controller->answerConfirmation(EndpointId("e0")).has_value());
    CHECK_EQUAL(0, count<RaiseTerm>());
    run(3000, primary, replica, replica);
    CHECK_EQUAL(0, count<RaiseTerm>());
    CHECK_TRUE(controller->assessment().verdict == Verdict::Healthy);
}

// Guards against flapping: repeated changes of primary must slow down.
TEST(PrimaryController, holdDownDelaysTheNextPromotionAndDoubles)
{
    controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
    Milliseconds previous{0};
    for (std::uint64_t term = 2; term < 9; ++term) {
        controller->handleServiceStatus(makeServiceStatus(term, "e0"), StatusSource::Platform);
        const TimePoint start = clock.now();
        commands.clear();
        while (!controller->isPromoting() && clock.now() - start < Milliseconds(120000))
            run(500, ProbeFailure::Timeout, makeStatus(EndpointRole::Replica, term, 9000),
                makeStatus(EndpointRole::Replica, term, 9000));
        const auto waited = std::chrono::duration_cast<Milliseconds>(clock.now() - start);
        CHECK_TRUE(waited >= previous);
        CHECK_TRUE(waited <= Milliseconds(61000));
        previous = waited;
    }
    CHECK_TRUE(previous >= Milliseconds(60000));
}

// Guards against admission that stays stopped when no replica catches up.
TEST(PrimaryController, switchoverTimesOutAndResumesAdmission)
{
    controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
    EndpointStatus ahead = primary;
    ahead.report.position = LogPosition(100);
    run(1000, ahead, replica, replica);
    CHECK_TRUE(controller->requestSwitchover("test"));
    run(4000, ahead, replica, replica);
    CHECK_EQUAL(1, count<StopAdmission>());
    CHECK_EQUAL(0, count<ResumeAdmission>());
    run(2000, ahead, replica, replica);
    CHECK_EQUAL(1, count<ResumeAdmission>());
    CHECK_EQUAL(0, count<RaiseTerm>());
}

// Guards against probes and promotions by a daemon that is not responsible.
TEST(PrimaryController, doesNothingWithoutRank)
{
    controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
    controller->setRank(std::nullopt);
    run(10000, ProbeFailure::Timeout, replicaWithoutContact, replicaWithoutContact);
    CHECK_TRUE(commands.empty());
    CHECK_FALSE(controller->requestSwitchover("test"));
}

// Guards against probes of healthy groups at the full rate, which costs too much with 1,900
// services, and against a reduced rate that continues after a fault.
TEST(PrimaryController, healthyGroupsAreProbedAtTheReducedRate)
{
    const auto countProbes = [this](unsigned rank, const EndpointStatus &second) {
        start(rank);
        controller->handleServiceStatus(makeServiceStatus(1, "e0"), StatusSource::Platform);
        run(1000, primary, replica, second);
        commands.clear();
        run(10000, primary, replica, second);
        return count<ProbeEndpoint>();
    };
    CHECK_EQUAL(20 + 2 * 4, countProbes(0, replica));
    CHECK_EQUAL(10 + 2 * 4, countProbes(1, replica));
    CHECK_EQUAL(10 + 2 * 4, countProbes(2, replica));
    CHECK_EQUAL(60, countProbes(0, makeStatus(EndpointRole::Replica, 1, 600)));
    CHECK_EQUAL(60, countProbes(2, makeStatus(EndpointRole::Replica, 2)));
}
