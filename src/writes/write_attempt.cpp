#include "writes/write_attempt.h"

#include <array>
#include <string_view>
#include <utility>

namespace pistachiowood {

namespace {

std::string_view refusalName(RefusalCode code)
{
    static constexpr std::array<std::string_view, 6> names{
        "stale_term",           "newer_term_required", "not_primary",
        "too_many_connections", "refused_request",     "transaction_lost"};
    return names.at(static_cast<std::size_t>(code));
}

} // namespace

WriteAttempt::WriteAttempt(bool idempotent)
    : idempotent_(idempotent)
{
}

bool WriteAttempt::mayBeExecuted() const
{
    return earlierUnknown_ || state_ == WriteState::Sent || state_ == WriteState::Executed;
}

void WriteAttempt::handleSending(std::uint32_t attempt)
{
    if (isCurrent(attempt) && state_ == WriteState::Queued)
        state_ = WriteState::Sent;
}

void WriteAttempt::handleNotSent(std::uint32_t attempt, const Error &error)
{
    // After handleSending a byte may be on its way, whatever the sender believes.
    if (isCurrent(attempt) && state_ != WriteState::Executed)
        fail(state_ == WriteState::Sent, error);
}

void WriteAttempt::handleRefused(std::uint32_t attempt, RefusalCode code, const Error &error)
{
    if (isCurrent(attempt) && state_ != WriteState::Executed)
        fail(false, {error.code,
                     "endpoint answered " + std::string(refusalName(code)) + ": " + error.message});
}

void WriteAttempt::handleLost(std::uint32_t attempt, const Error &error)
{
    if (isCurrent(attempt) && state_ != WriteState::Executed)
        fail(state_ == WriteState::Sent, error);
}

void WriteAttempt::handleExecuted(std::uint32_t attempt, Term term, LogPosition position,
                                  std::string result)
{
    if (!isCurrent(attempt) || state_ != WriteState::Sent)
        return;
    state_ = WriteState::Executed;
    term_ = term;
    position_ = position;
    answer_ = std::move(result);
}

void WriteAttempt::handleDurability(const DurabilityResult &result)
{
    if (state_ != WriteState::Executed || result.term != term_)
        return;
    switch (result.durability) {
    case Durability::Durable:
        if (result.durable < position_)
            return;
        state_ = WriteState::Done;
        result_ =
            WriteResult{Outcome::Committed, std::nullopt, term_, position_, std::move(answer_)};
        break;
    case Durability::TermChanged:
        fail(true, {ErrorCode::OutcomeUnknown,
                    "primary was replaced before a majority was known to hold the write"});
        break;
    case Durability::Expired:
        handleDeadline();
        break;
    }
}

void WriteAttempt::handleDeadline()
{
    switch (state_) {
    case WriteState::Queued:
        return fail(false,
                    {ErrorCode::DeadlineExceeded, "deadline passed before the write was sent"});
    case WriteState::Sent:
        return fail(true, {ErrorCode::OutcomeUnknown, "deadline passed without an answer"});
    case WriteState::Executed:
        return fail(true, {ErrorCode::OutcomeUnknown,
                           "deadline passed before a majority was known to hold the write"});
    case WriteState::Done:
        return;
    }
}

bool WriteAttempt::beginRetry(bool refusedBefore)
{
    if (state_ == WriteState::Executed || state_ == WriteState::Done)
        return false;
    if (state_ == WriteState::Sent) {
        // A refusal is not enough to send a non-idempotent write again: it is never sent twice.
        if (!idempotent_)
            return false;
        earlierUnknown_ = earlierUnknown_ || !refusedBefore;
    }
    state_ = WriteState::Queued;
    ++attempt_;
    return true;
}

bool WriteAttempt::isCurrent(std::uint32_t attempt) const
{
    return attempt == attempt_ && state_ != WriteState::Done;
}

void WriteAttempt::fail(bool unknown, const Error &error)
{
    const bool mayHaveRun = unknown || earlierUnknown_;
    state_ = WriteState::Done;
    // The code follows the outcome, so that a caller who looks at either draws the same conclusion.
    ErrorCode code = error.code;
    if (mayHaveRun)
        code = ErrorCode::OutcomeUnknown;
    else if (code == ErrorCode::OutcomeUnknown)
        code = ErrorCode::Unavailable;
    result_ = WriteResult{mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                          Error{code, error.message},
                          term_,
                          position_,
                          {}};
}

} // namespace pistachiowood
