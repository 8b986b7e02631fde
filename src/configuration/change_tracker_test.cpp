#include "configuration/change_tracker.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

const Error answerLost{ErrorCode::OutcomeUnknown, "answer lost"};
const Error platformUnreachable{ErrorCode::Unavailable, "connection refused"};

StoredObject object(std::uint64_t version, const std::string &operationId)
{
    return {ObjectKind::Team, "a", ResourceVersion(version), operationId, "{}"};
}

ChangeRequest change(std::uint64_t expected, bool remove = false)
{
    return {ObjectKind::Team, "a", ResourceVersion(expected), remove, "{}"};
}

} // namespace

TEST_GROUP(ChangeTracker)
{
    SeededRandom random{3};
    TimePoint now{std::chrono::hours(1)};

    /// Ticks until the tracker returns a command of type T. Returns false if it settles first.
    template <typename T>
    bool advanceTo(ChangeTracker & tracker, ChangeCommands commands)
    {
        while (!tracker.result()) {
            for (const ChangeCommand &command : commands) {
                if (std::holds_alternative<T>(command))
                    return true;
            }
            now = std::get<ScheduleChangeTick>(commands.back()).at;
            commands = tracker.tick(now);
        }
        return false;
    }
};

// Guards against a change that is reported as failed although it took effect.
TEST(ChangeTracker, changeWithALostAnswerIsFoundByOperationId)
{
    ChangeTracker tracker(change(5), random);
    tracker.start(now);
    CHECK_TRUE(advanceTo<ReadObject>(tracker, tracker.handlePut(now, answerLost)));
    tracker.handleRead(now, object(6, tracker.operationId()));
    CHECK_EQUAL(6U, std::get<ChangeAccepted>(*tracker.result()).version.value());
}

// Guards against an undetermined result although the operation id of the object proves that another
// change replaced the expected version.
TEST(ChangeTracker, changeThatReplacedTheSameVersionProvesTheConflict)
{
    ChangeTracker tracker(change(5), random);
    tracker.start(now);
    CHECK_TRUE(advanceTo<ReadObject>(tracker, tracker.handlePut(now, answerLost)));
    tracker.handleRead(now, object(6, makeOperationId(ResourceVersion(5), random)));
    CHECK_EQUAL(6U, std::get<ChangeConflict>(*tracker.result()).current->value());
}

// Guards against a reported conflict if the change may have taken effect and been overwritten.
TEST(ChangeTracker, laterChangeLeavesTheResultUndeterminedUnlessObserved)
{
    for (const bool observed : {false, true}) {
        ChangeTracker tracker(change(5), random);
        tracker.start(now);
        CHECK_TRUE(advanceTo<ReadObject>(tracker, tracker.handlePut(now, answerLost)));
        const auto commands =
            tracker.handleRead(now, object(8, makeOperationId(ResourceVersion(6), random)));
        if (observed)
            tracker.handleWatchEvent({false, object(6, tracker.operationId())});
        CHECK_FALSE(advanceTo<PutObject>(tracker, commands));
        CHECK_EQUAL(observed, std::holds_alternative<ChangeAccepted>(*tracker.result()));
        CHECK_EQUAL(!observed, std::holds_alternative<ChangeUndetermined>(*tracker.result()));
    }
}

// Guards against a repeated creation that restores an object deleted in between.
TEST(ChangeTracker, creationIsNotSentAgainAfterALostAnswer)
{
    ChangeTracker tracker(change(0), random);
    tracker.start(now);
    auto commands = tracker.handlePut(now, answerLost);
    while (advanceTo<ReadObject>(tracker, commands))
        commands = tracker.handleRead(now, std::optional<StoredObject>{});
    CHECK_TRUE(std::holds_alternative<ChangeUndetermined>(*tracker.result()));
}

// Guards against an update that is given up although it can safely be sent again.
TEST(ChangeTracker, updateIsSentAgainIfTheObjectHasTheExpectedVersion)
{
    ChangeTracker tracker(change(5), random);
    tracker.start(now);
    CHECK_TRUE(advanceTo<ReadObject>(tracker, tracker.handlePut(now, answerLost)));
    CHECK_TRUE(advanceTo<PutObject>(tracker, tracker.handleRead(now, object(5, "4.x"))));
    // The first request took effect after the read, so the second one gets a conflict.
    CHECK_TRUE(advanceTo<ReadObject>(
        tracker, tracker.handlePut(now, Error{ErrorCode::Conflict, "conflict"})));
    tracker.handleRead(now, object(6, tracker.operationId()));
    CHECK_TRUE(std::holds_alternative<ChangeAccepted>(*tracker.result()));
}

// Guards against an undetermined result if the platform was never reached, and a result of refused
// if the change may have reached it.
TEST(ChangeTracker, outageIsRefusedOrUndetermined)
{
    for (const Error &error : {platformUnreachable, answerLost}) {
        ChangeTracker tracker(change(5), random);
        tracker.start(now);
        auto commands = tracker.handlePut(now, error);
        while (advanceTo<ReadObject>(tracker, commands))
            commands = tracker.handleRead(now, platformUnreachable);
        CHECK_EQUAL(error.code == ErrorCode::Unavailable,
                    std::holds_alternative<ChangeRefused>(*tracker.result()));
        CHECK_EQUAL(error.code == ErrorCode::OutcomeUnknown,
                    std::holds_alternative<ChangeUndetermined>(*tracker.result()));
    }
}

// Guards against an unconditional removal.
TEST(ChangeTracker, removalNeedsAVersion)
{
    ChangeTracker tracker(change(0, true), random);
    CHECK_TRUE(tracker.start(now).empty());
    CHECK_TRUE(std::holds_alternative<ChangeRefused>(*tracker.result()));
}
