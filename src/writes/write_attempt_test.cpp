#include "writes/write_attempt.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(WriteAttempt)
{
    const Error fault{ErrorCode::Unavailable, "fault"};
    WriteAttempt write{true};

    void execute(std::uint32_t attempt = 0)
    {
        write.handleSending(attempt);
        write.handleExecuted(attempt, Term(3), LogPosition(7), "{}");
    }
    void settle(Durability durability, std::uint64_t term = 3, std::uint64_t position = 7)
    {
        write.handleDurability({Ticket(1), durability, Term(term), LogPosition(position)});
    }
    void expect(Outcome outcome, ErrorCode code)
    {
        CHECK_TRUE(write.result().has_value());
        CHECK_TRUE(write.result()->outcome == outcome);
        CHECK_TRUE(write.result()->error->code == code);
    }
};

// Guards against an acknowledgement without a majority in the term of the write.
TEST(WriteAttempt, commitsOnlyWhenDurable)
{
    settle(Durability::Durable);
    execute();
    settle(Durability::Durable, 2);
    settle(Durability::Durable, 3, 6);
    CHECK_FALSE(write.result().has_value());
    settle(Durability::Durable);
    CHECK_TRUE(write.result()->outcome == Outcome::Committed);
    STRCMP_EQUAL("{}", write.result()->result.c_str());
    write.handleDeadline();
    CHECK_TRUE(write.result()->outcome == Outcome::Committed);
}

// Guards against an executed write that is reported as not run or as committed.
TEST(WriteAttempt, executedButNotDurableIsUnknown)
{
    execute();
    write.handleLost(0, fault);
    write.handleRefused(0, RefusalCode::StaleTerm, fault);
    CHECK_FALSE(write.result().has_value());
    settle(Durability::TermChanged);
    expect(Outcome::Unknown, ErrorCode::OutcomeUnknown);
    write = WriteAttempt(true);
    execute();
    settle(Durability::Expired);
    expect(Outcome::Unknown, ErrorCode::OutcomeUnknown);
    write = WriteAttempt(true);
    execute();
    write.handleDeadline();
    settle(Durability::Durable);
    expect(Outcome::Unknown, ErrorCode::OutcomeUnknown);
}

// Guards against outcomes that do not follow from whether a byte was sent.
TEST(WriteAttempt, failureBeforeAndAfterSending)
{
    write.handleDeadline();
    expect(Outcome::NotRun, ErrorCode::DeadlineExceeded);
    write = WriteAttempt(true);
    write.handleNotSent(0, fault);
    expect(Outcome::NotRun, ErrorCode::Unavailable);
    write = WriteAttempt(true);
    write.handleSending(0);
    write.handleNotSent(0, fault);
    expect(Outcome::Unknown, ErrorCode::OutcomeUnknown);
    write = WriteAttempt(true);
    write.handleSending(0);
    write.handleRefused(0, RefusalCode::StaleTerm, fault);
    expect(Outcome::NotRun, ErrorCode::Unavailable);
}

// Guards against a retry that forgets an attempt that may have run, or takes its late answer.
TEST(WriteAttempt, retryKeepsUnknownAndIgnoresOldAttempt)
{
    write.handleSending(0);
    CHECK_TRUE(write.beginRetry(false));
    write.handleLost(0, fault);
    CHECK_FALSE(write.result().has_value());
    write.handleRefused(1, RefusalCode::NotPrimary, fault);
    expect(Outcome::Unknown, ErrorCode::OutcomeUnknown);
    CHECK_FALSE(write.beginRetry(true));
    write = WriteAttempt(true);
    write.handleSending(0);
    CHECK_TRUE(write.beginRetry(true));
    write.handleDeadline();
    expect(Outcome::NotRun, ErrorCode::DeadlineExceeded);
}

// Guards against a non-idempotent write that is sent twice.
TEST(WriteAttempt, nonIdempotentWriteIsNotRetriedOnceSent)
{
    write = WriteAttempt(false);
    CHECK_TRUE(write.beginRetry(false));
    write.handleSending(1);
    CHECK_FALSE(write.beginRetry(true));
    CHECK_TRUE(write.state() == WriteState::Sent);
}
