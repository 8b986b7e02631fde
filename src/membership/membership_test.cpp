#include "membership/membership.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

MemberRecord record(const std::string &name, std::uint16_t port, std::uint64_t incarnation = 100)
{
    MemberRecord result;
    result.id = VmId(name);
    result.zone = ZoneName("z");
    result.region = RegionName("r");
    result.control = {"127.0.0.1", port};
    result.incarnation = Incarnation(incarnation);
    return result;
}

Ping pingFrom(const MemberRecord &sender, std::vector<MemberRecord> updates = {})
{
    return {1, {sender, std::move(updates), {}}};
}

MemberRecord withState(MemberRecord changed, MemberState state)
{
    changed.state = state;
    return changed;
}

} // namespace

TEST_GROUP(Membership)
{
    SeededRandom random{11};
    TimePoint now{std::chrono::hours(1)};
    Membership membership{record("a", 1), random, now};

    MembershipCommands advance(Milliseconds time)
    {
        MembershipCommands sent;
        for (const TimePoint end = now + time; now < end; now += Milliseconds(100)) {
            for (Send &command : membership.tick(now))
                sent.push_back(std::move(command));
        }
        return sent;
    }
    MemberState stateOf(const char *name) const
    {
        return membership.find(VmId(name))->state;
    }
};

// Guards against a failed member that is never declared dead and so keeps its endpoints, and
// against one that is declared dead without a suspicion first.
TEST(Membership, unresponsiveMemberBecomesSuspectAndThenDead)
{
    membership.handlePing(now, pingFrom(record("b", 2)));
    advance(Milliseconds(3000));
    CHECK_TRUE(stateOf("b") == MemberState::Suspect);
    advance(Milliseconds(3000));
    CHECK_TRUE(stateOf("b") == MemberState::Dead);
    CHECK_EQUAL(1U, membership.liveCount());
}

// Guards against suspecting a member that another member still reaches.
TEST(Membership, indirectAnswerPreventsSuspicion)
{
    membership.handlePing(now, pingFrom(record("c", 3)));
    membership.handlePing(now, pingFrom(record("b", 2)));
    bool indirectProbeSent = false;
    for (int step = 0; step < 60; ++step) {
        for (const Send &command : advance(Milliseconds(100))) {
            const auto *ping = std::get_if<Ping>(&command.message);
            const auto *request = std::get_if<PingRequest>(&command.message);
            indirectProbeSent = indirectProbeSent || request;
            if (ping && command.to.port == 3)
                membership.handleAck(now, {ping->sequence, VmId("c"), {record("c", 3), {}, {}}});
            if (request && command.to.port == 3)
                membership.handleAck(now, {request->sequence, VmId("b"), {record("c", 3), {}, {}}});
        }
    }
    CHECK_TRUE(indirectProbeSent);
    CHECK_TRUE(stateOf("b") == MemberState::Alive);
}

// Guards against a relay that forwards an answer to the wrong member, or one that the target has
// not sent.
TEST(Membership, pingRequestIsRelayedBothWays)
{
    const PingRequest request{7, VmId("t"), {"127.0.0.1", 9}, {record("b", 2), {}, {}}};
    const auto probes = membership.handlePingRequest(now, request);
    CHECK_EQUAL(9, probes.at(0).to.port);
    const auto sequence = std::get<Ping>(probes[0].message).sequence;
    CHECK_TRUE(membership.handleAck(now, {sequence, VmId("x"), {record("x", 8), {}, {}}}).empty());
    const auto answers = membership.handleAck(now, {sequence, VmId("t"), {record("t", 9), {}, {}}});
    CHECK_EQUAL(2, answers.at(0).to.port);
    CHECK_EQUAL(7U, std::get<Ack>(answers[0].message).sequence);
    CHECK_TRUE(std::get<Ack>(answers[0].message).responder == VmId("t"));
}

// Guards against a daemon that accepts a report of its own failure.
TEST(Membership, reportOfOwnFailureIsRefuted)
{
    const auto failureReport = withState(record("a", 1, 100), MemberState::Dead);
    const auto answers = membership.handlePing(now, pingFrom(record("b", 2), {failureReport}));
    CHECK_EQUAL(101U, membership.self().incarnation.value());
    CHECK_EQUAL(101U, std::get<Ack>(answers.at(0).message).body.sender.incarnation.value());
}

// Guards against a live member that stays dead because it never learns that others consider it
// dead.
TEST(Membership, deadMemberThatSendsIsToldOfItsState)
{
    const auto dead = withState(record("b", 2), MemberState::Dead);
    membership.handlePing(now, pingFrom(record("b", 2)));
    membership.handlePing(now, pingFrom(record("c", 3), {dead}));
    CHECK_TRUE(stateOf("b") == MemberState::Dead);
    const auto answers = membership.handlePing(now, pingFrom(record("b", 2)));
    CHECK_TRUE(std::get<Ack>(answers.at(0).message).body.updates.at(0) == dead);
    membership.handlePing(now, pingFrom(record("b", 2, 101)));
    CHECK_TRUE(stateOf("b") == MemberState::Alive);
}

// Guards against a daemon that can send but not receive and declares everyone else dead.
TEST(Membership, failureReportsBySuspectsAreIgnored)
{
    membership.handlePing(now, pingFrom(record("b", 2)));
    membership.handlePing(
        now, pingFrom(record("c", 3), {withState(record("b", 2), MemberState::Suspect)}));
    membership.handlePing(now,
                          pingFrom(record("b", 2), {withState(record("c", 3), MemberState::Dead)}));
    CHECK_TRUE(stateOf("c") == MemberState::Alive);
}

// Guards against suspecting other members after this daemon's own process was paused.
TEST(Membership, ownPauseCausesNoSuspicion)
{
    membership.handlePing(now, pingFrom(record("b", 2)));
    advance(Milliseconds(800));
    now += Milliseconds(60000);
    membership.tick(now);
    CHECK_TRUE(stateOf("b") == MemberState::Alive);
}

// Guards against a suspicion that replaces the leaving state, after which the member would get new
// endpoints.
TEST(Membership, leavingIsAnnouncedAndNotReplacedBySuspicion)
{
    membership.handlePing(now, pingFrom(record("b", 2)));
    const auto sent = membership.leave(now);
    CHECK_TRUE(std::get<Ping>(sent.at(0).message).body.sender.state == MemberState::Leaving);
    const auto leaving = withState(record("b", 2), MemberState::Leaving);
    membership.handlePing(now, pingFrom(leaving));
    const auto suspect = withState(record("b", 2), MemberState::Suspect);
    membership.handlePing(now, pingFrom(record("c", 3), {suspect}));
    CHECK_TRUE(stateOf("b") == MemberState::Leaving);
    advance(Milliseconds(9000));
    CHECK_TRUE(stateOf("b") == MemberState::Dead);
}

// Guards against dead members that are never removed or that old gossip adds again.
TEST(Membership, deadMemberIsRemovedAndNotAddedAgain)
{
    membership.handleVmList(now, {{VmId("c"), {"127.0.0.1", 3}}});
    const auto dead = withState(record("b", 2), MemberState::Dead);
    membership.handlePing(now, pingFrom(record("b", 2)));
    membership.handlePing(now, pingFrom(record("c", 3), {dead}));
    membership.handlePing(now, pingFrom(record("c", 3), {record("b", 2)}));
    CHECK_TRUE(stateOf("b") == MemberState::Dead);
    advance(Milliseconds(62000));
    CHECK_TRUE(membership.find(VmId("b")) == nullptr);
    membership.handlePing(now, pingFrom(record("c", 3), {dead}));
    CHECK_TRUE(membership.find(VmId("b")) == nullptr);
}

// Guards against using the address or applied version of a daemon's previous run after its restart.
TEST(Membership, restartReplacesTheRecordOfThePreviousRun)
{
    auto previous = record("b", 2, 100);
    previous.appliedVersion = ResourceVersion(50);
    membership.handlePing(now, pingFrom(previous));
    membership.handlePing(now, pingFrom(record("b", 22, 200)));
    membership.handlePing(now, pingFrom(record("c", 3), {previous}));
    CHECK_EQUAL(22, membership.find(VmId("b"))->control.port);
    CHECK_EQUAL(0U, membership.find(VmId("b"))->appliedVersion.value());
}

// Guards against messages that grow with the number of members.
TEST(Membership, updatesPerMessageAreBounded)
{
    for (int index = 0; index < 50; ++index)
        membership.handlePing(now, pingFrom(record("m" + std::to_string(index), 5)));
    for (int index = 0; index < 200; ++index) {
        const auto answers = membership.handlePing(now, pingFrom(record("b", 2)));
        const auto &body = std::get<Ack>(answers.at(0).message).body;
        CHECK_TRUE(body.updates.size() <= maxGossipUpdates);
        if (index == 199)
            CHECK_TRUE(body.updates.empty());
    }
    const auto tooMany = std::vector<MemberRecord>(maxGossipUpdates + 1, record("n", 6));
    CHECK_TRUE(membership.handlePing(now, pingFrom(record("b", 2), tooMany)).empty());
}

// Guards against counting a version as in force from summary bits that refer to another roster.
TEST(Membership, versionsOfAnotherRosterAreIgnored)
{
    Membership other{record("b", 2), random, now};
    other.setAppliedConfiguration(ResourceVersion(9), 0);
    membership.setAppliedConfiguration(ResourceVersion(9), 0);
    Ping ping{1, {record("b", 2), {}, {ResourceVersion(9), 123, {0xff}}}};
    membership.handlePing(now, ping);
    CHECK_EQUAL(0U, membership.lowestAppliedVersion().value());
    ping.body.sender = other.self();
    membership.handlePing(now, ping);
    CHECK_EQUAL(9U, membership.lowestAppliedVersion().value());
}
