#ifndef PISTACHIOWOOD_WRITES_WRITE_ATTEMPT_H
#define PISTACHIOWOOD_WRITES_WRITE_ATTEMPT_H

#include "writes/durability_tracker.h"
#include "writes/retry_policy.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>
#include <pistachiowood/statement.h>

#include <cstdint>
#include <optional>
#include <string>

namespace pistachiowood {

enum class WriteState {
    Queued, ///< no byte of the current attempt was sent
    Sent, ///< a byte may have reached an endpoint
    Executed, ///< executed by the primary; waits for a majority
    Done,
};

struct WriteResult
{
    Outcome outcome = Outcome::NotRun;
    std::optional<Error> error; ///< set unless committed
    Term term; ///< of the execution, if any
    LogPosition position;
    std::string result; ///< JSON text of the endpoint's result; set when committed
};

/// One write from submission to its outcome. Events that do not fit the state, such as answers
/// after the deadline or of an earlier attempt, are ignored.
class WriteAttempt
{
public:
    explicit WriteAttempt(bool idempotent);

    /// Number to pass with the events of the current attempt; grows with each retry.
    std::uint32_t attempt() const { return attempt_; }
    WriteState state() const { return state_; }
    /// Set once the write is Done; does not change afterwards.
    const std::optional<WriteResult> &result() const { return result_; }
    /// An attempt may have been executed without an answer.
    bool mayBeExecuted() const;

    /// Call before the first byte is handed to the network.
    void handleSending(std::uint32_t attempt);
    /// The pool refused the statement, or no connection could be used.
    void handleNotSent(std::uint32_t attempt, const Error &error);
    /// The endpoint said that it did not execute the statement.
    void handleRefused(std::uint32_t attempt, RefusalCode code, const Error &error);
    /// The connection broke or the answer was unusable.
    void handleLost(std::uint32_t attempt, const Error &error);
    /// The primary executed the statement; the position must now become durable in this term.
    void handleExecuted(std::uint32_t attempt, Term term, LogPosition position, std::string result);
    /// The tracker's result for the wait that followed handleExecuted.
    void handleDurability(const DurabilityResult &result);
    void handleDeadline();

    /// Starts another attempt instead of reporting a failure of the current one; refusedBefore
    /// says that the endpoint refused it. Returns false when the write must not be sent again.
    bool beginRetry(bool refusedBefore);

private:
    bool isCurrent(std::uint32_t attempt) const;
    void fail(bool unknown, const Error &error);

    bool idempotent_;
    WriteState state_ = WriteState::Queued;
    std::uint32_t attempt_ = 0;
    bool earlierUnknown_ = false;
    Term term_;
    LogPosition position_;
    std::string answer_;
    std::optional<WriteResult> result_;
};

} // namespace pistachiowood

#endif
