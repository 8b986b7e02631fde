#include "primary/promotion.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

EndpointStatus makeStatus(std::uint64_t term, std::uint64_t lastEntryTerm, std::uint64_t position)
{
    EndpointStatus status;
    status.report.term = Term(term);
    status.report.lastEntryTerm = Term(lastEntryTerm);
    status.report.position = LogPosition(position);
    status.history = {{Term(1), LogPosition(0)}};
    return status;
}

template <typename Command>
std::vector<Command> commandsOf(const std::vector<PromotionCommand> &commands)
{
    std::vector<Command> found;
    for (const PromotionCommand &command : commands)
        if (const auto *match = std::get_if<Command>(&command))
            found.push_back(*match);
    return found;
}

} // namespace

TEST_GROUP(Promotion)
{
    ManualClock clock;
    std::optional<Promotion> promotion;
    PromotionRequest request;

    void setup() override
    {
        request.service = ServiceName("s");
        for (const char *id : {"e0", "e1", "e2"})
            request.members.push_back({EndpointId(id), ZoneName(std::string("z") + id[1])});
        request.promoter = "vm/1";
        request.minimumTerm = Term(4);
    }
    // Runs the status step; every member answers with term 4.
    void start()
    {
        promotion.emplace(clock, PromotionSettings{}, request);
        promotion->takeCommands();
        for (const GroupMember &member : request.members)
            promotion->handleStatus(member.id, makeStatus(4, 4, 9));
    }
    void grant(const char *id, std::uint64_t lastEntryTerm, std::uint64_t position)
    {
        promotion->handleRaiseResult(EndpointId(id), Term(5),
                                     MemberAnswer{true, makeStatus(5, lastEntryTerm, position)});
    }
    // Returns the member that is asked to become primary, or nothing.
    std::string promotedMember()
    {
        const auto commands = commandsOf<PromoteEndpoint>(promotion->takeCommands());
        return commands.empty() ? "" : commands.front().endpoint.value();
    }
    void wait(Milliseconds time)
    {
        for (Milliseconds spent{0}; spent < time; spent += Milliseconds(100)) {
            clock.advance(Milliseconds(100));
            promotion->tick();
        }
    }
};

// Guards against a promotion without a majority of grants: only a majority always includes a member
// that holds each acknowledged entry.
TEST(Promotion, oneGrantOfThreeIsNotEnough)
{
    start();
    grant("e1", 4, 9);
    wait(Milliseconds(1000));
    CHECK_TRUE(promotion->step() == PromotionStep::Failed);
    CHECK_TRUE(promotion->failedStep() == PromotionStep::RaiseTerm);
    STRCMP_EQUAL("", promotedMember().c_str());
}

// Guards against raising the term of reachable members, which then reject their primary, when no
// majority can grant it.
TEST(Promotion, failsBeforeRaisingWithoutMajority)
{
    promotion.emplace(clock, PromotionSettings{}, request);
    promotion->handleStatus(EndpointId("e0"), makeStatus(4, 4, 9));
    wait(Milliseconds(500));
    CHECK_TRUE(promotion->failedStep() == PromotionStep::Status);
    CHECK_TRUE(commandsOf<RaiseTerm>(promotion->takeCommands()).empty());
}

// Guards against choosing a long log whose tail was never acknowledged.
TEST(Promotion, lastEntryTermOutweighsPosition)
{
    start();
    grant("e0", 3, 500);
    grant("e1", 4, 9);
    grant("e2", 4, 8);
    STRCMP_EQUAL("e1", promotedMember().c_str());
}

// Guards against promoting an isolated primary again and again: the entries that only it has make
// its log the highest.
TEST(Promotion, avoidsIsolatedPrimaryWhenOthersAreAMajority)
{
    request.avoidedMember = EndpointId("e0");
    start();
    grant("e0", 4, 500);
    grant("e1", 4, 9);
    grant("e2", 4, 8);
    STRCMP_EQUAL("e1", promotedMember().c_str());
}

// Guards against losing acknowledged entries: without the isolated primary there is no majority.
TEST(Promotion, choosesIsolatedPrimaryWhenMajorityNeedsIt)
{
    request.avoidedMember = EndpointId("e0");
    start();
    grant("e0", 4, 500);
    grant("e1", 4, 9);
    wait(Milliseconds(1000));
    STRCMP_EQUAL("e0", promotedMember().c_str());
}

// Guards against a choice by the status from before the grant, which misses later entries.
TEST(Promotion, usesTheReportOfTheGrant)
{
    promotion.emplace(clock, PromotionSettings{}, request);
    promotion->handleStatus(EndpointId("e0"), makeStatus(4, 4, 50));
    promotion->handleStatus(EndpointId("e1"), makeStatus(4, 4, 10));
    promotion->handleStatus(EndpointId("e2"), makeStatus(4, 4, 10));
    grant("e0", 4, 50);
    grant("e1", 4, 51);
    grant("e2", 4, 10);
    STRCMP_EQUAL("e1", promotedMember().c_str());
}

// Guards against an arbitrary choice between equal logs.
TEST(Promotion, tiesGoToCandidatesThenPreferredZoneThenId)
{
    request.members[0].candidate = false;
    request.preferredZone = ZoneName("z2");
    start();
    grant("e0", 4, 9);
    grant("e1", 4, 9);
    grant("e2", 4, 9);
    STRCMP_EQUAL("e2", promotedMember().c_str());
}

// Guards against a primary that needs an answer from another region for every write.
TEST(Promotion, tiesGoToTheRegionWithMostMembers)
{
    request.members[1].regionMembers = 2;
    request.members[2].regionMembers = 2;
    start();
    grant("e0", 4, 9);
    grant("e1", 4, 9);
    grant("e2", 4, 9);
    STRCMP_EQUAL("e1", promotedMember().c_str());
}

// Guards against losing entries by passing over a leaving member that has the highest log.
TEST(Promotion, promotesHighestLogEvenIfNotAllowed)
{
    request.members[0].leaving = true;
    start();
    grant("e0", 4, 10);
    grant("e1", 4, 9);
    grant("e2", 4, 9);
    STRCMP_EQUAL("e0", promotedMember().c_str());
    CHECK_TRUE(promotion->isSwitchoverDue());
}

// Guards against promoting a second member in the same term after a lost answer to promote.
TEST(Promotion, lostPromoteAnswerNeverChangesTheChoice)
{
    start();
    grant("e0", 4, 9);
    grant("e1", 4, 9);
    wait(Milliseconds(1000));
    STRCMP_EQUAL("e0", promotedMember().c_str());
    wait(Milliseconds(1400));
    for (const auto &command : commandsOf<PromoteEndpoint>(promotion->takeCommands()))
        STRCMP_EQUAL("e0", command.endpoint.value().c_str());
    wait(Milliseconds(100));
    CHECK_TRUE(promotion->failedStep() == PromotionStep::Promote);
    CHECK_FALSE(promotion->status().has_value());
}

// Guards against a history that lacks the new term or starts it at a wrong position.
TEST(Promotion, appendsTheTermToTheChosenHistory)
{
    start();
    grant("e0", 4, 9);
    grant("e1", 4, 12);
    grant("e2", 4, 9);
    promotion->handlePromoteResult(EndpointId("e1"), Term(5),
                                   MemberAnswer{true, makeStatus(5, 5, 13)});
    CHECK_TRUE(promotion->status().has_value());
    const std::vector<TermStart> expected{{Term(1), LogPosition(0)}, {Term(5), LogPosition(12)}};
    CHECK_TRUE(promotion->status()->history == expected);
    CHECK_EQUAL(2, commandsOf<FollowPrimary>(promotion->takeCommands()).size());
    promotion->handleFollowResult(EndpointId("e0"), Term(5),
                                  MemberAnswer{true, makeStatus(5, 4, 9)});
    CHECK_EQUAL(1, commandsOf<PublishStatus>(promotion->takeCommands()).size());
    promotion->handlePublishResult(PublishResult::Ok);
    CHECK_TRUE(promotion->step() == PromotionStep::Done);
    CHECK_TRUE(promotion->isPublished());
}

// Guards against accepting tokens of a term of which the promoted log holds no entry.
TEST(Promotion, dropsTermsThatBeganAboveThePromotedLog)
{
    start();
    MemberAnswer answer{true, makeStatus(5, 2, 9)};
    answer.status.history = {
        {Term(1), LogPosition(0)}, {Term(2), LogPosition(9)}, {Term(3), LogPosition(10)}};
    promotion->handleRaiseResult(EndpointId("e1"), Term(5), answer);
    grant("e2", 1, 3);
    wait(Milliseconds(1000));
    promotion->handlePromoteResult(EndpointId("e1"), Term(5),
                                   MemberAnswer{true, makeStatus(5, 5, 10)});
    CHECK_TRUE(promotion->status().has_value());
    const std::vector<TermStart> expected{
        {Term(1), LogPosition(0)}, {Term(2), LogPosition(9)}, {Term(5), LogPosition(9)}};
    CHECK_TRUE(promotion->status()->history == expected);
}

// Guards against a wait for the full timeout once a majority has refused.
TEST(Promotion, refusalsEndTheAttemptAndShowTheNewerTerm)
{
    start();
    const MemberAnswer refusal{false, makeStatus(8, 4, 9)};
    promotion->handleRaiseResult(EndpointId("e0"), Term(5), refusal);
    promotion->handleRaiseResult(EndpointId("e1"), Term(5), refusal);
    CHECK_TRUE(promotion->step() == PromotionStep::Failed);
    CHECK_TRUE(promotion->highestTerm() == Term(8));
}
