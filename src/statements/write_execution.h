#ifndef PISTACHIOWOOD_STATEMENTS_WRITE_EXECUTION_H
#define PISTACHIOWOOD_STATEMENTS_WRITE_EXECUTION_H

#include "statements/statement_router.h"

#include <memory>

namespace pistachiowood {

/// Executes one write, transaction operation or resolve on the primary. Retries only when that is
/// safe. If an attempt may have been executed, resolves the outcome through the request id.
class WriteExecution : public std::enable_shared_from_this<WriteExecution>
{
public:
    WriteExecution(StatementRouter &router, AttemptOperation operation, StatementRequest request,
                   StatementRouter::Callback callback);
    void setCallback(StatementRouter::Callback callback) { callback_ = std::move(callback); }
    /// Id of the transaction that Begin opened; set before the callback is called.
    std::shared_ptr<std::optional<TransactionId>> begunTransaction() const
    {
        return begunTransaction_;
    }
    void start();

private:
    void continueExecution();
    void sendAttempt(const ServiceRoutes &routes);
    Milliseconds computeAttemptTimeout() const;
    AttemptRequest buildAttempt(const ServiceRoutes &routes) const;
    void handleAnswer(AttemptAnswer answer);
    void handleFailure(const AttemptAnswer &answer);
    void handleExecuted(const AttemptAnswer &answer);
    bool canResolve() const;
    void startResolving(Error reason);
    void scheduleRetry(Milliseconds backoff);
    void finishAtDeadline();
    void finish(Outcome outcome, std::optional<Error> error, const AttemptAnswer *answer = nullptr);
    Milliseconds remaining() const;

    StatementRouter &router_;
    AttemptOperation operation_;
    StatementRequest request_;
    StatementRouter::Callback callback_;
    std::shared_ptr<std::optional<TransactionId>> begunTransaction_;
    TimePoint deadline_;
    unsigned retries_ = 0;
    bool resolving_ = false; ///< further attempts only ask for the outcome of the request id
    bool attemptPending_ = false; ///< an attempt was sent and not answered yet
    bool mayHaveExecuted_ = false; ///< an earlier attempt may have been executed
    std::optional<Error> lastError_;
    bool done_ = false;
};

} // namespace pistachiowood

#endif
