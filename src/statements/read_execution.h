#ifndef PISTACHIOWOOD_STATEMENTS_READ_EXECUTION_H
#define PISTACHIOWOOD_STATEMENTS_READ_EXECUTION_H

#include "statements/statement_router.h"

#include <memory>
#include <set>

namespace pistachiowood {

/// Executes one read: tries endpoints in the order of ReadRouter until an answer meets the read's
/// requirement.
class ReadExecution : public std::enable_shared_from_this<ReadExecution>
{
public:
    ReadExecution(StatementRouter &router, StatementRequest request,
                  StatementRouter::Callback callback);
    void start();

private:
    void tryNextEndpoint();
    void scheduleRetry();
    bool buildRequirement(const ServiceRoutes &routes);
    std::optional<EndpointId> chooseEndpoint(const ServiceRoutes &routes) const;
    void sendAttempt(const ServiceRoutes &routes, const EndpointId &endpoint);
    void handleAnswer(const EndpointId &endpoint, bool fromPrimary, AttemptAnswer answer);
    void deliver(const EndpointId &endpoint, const AttemptAnswer &answer);
    void finishNotRun(Error error);
    void finish(StatementAnswer answer);
    Milliseconds remaining() const;

    StatementRouter &router_;
    StatementRequest request_;
    StatementRouter::Callback callback_;
    TimePoint deadline_;
    ReadRequirement requirement_;
    std::set<EndpointId> tried_;
    unsigned retries_ = 0;
    std::optional<Error> lastError_;
    bool done_ = false;
};

} // namespace pistachiowood

#endif
