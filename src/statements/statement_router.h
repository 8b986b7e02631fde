#ifndef PISTACHIOWOOD_STATEMENTS_STATEMENT_ROUTER_H
#define PISTACHIOWOOD_STATEMENTS_STATEMENT_ROUTER_H

#include "base/random.h"
#include "endpoints/attempt.h"
#include "routing/read_router.h"
#include "routing/routing_table.h"
#include "writes/retry_policy.h"

#include <pistachiowood/statement.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace pistachiowood {

/// Sends attempts to the daemon that owns an endpoint, and starts timers.
class AttemptTransport
{
public:
    virtual ~AttemptTransport() = default;
    virtual void execute(const EndpointRoute &route, const AttemptRequest &request,
                         AttemptCallback callback) = 0;
    /// Executes on the daemon that holds the request's transaction.
    virtual void executeInTransaction(const AttemptRequest &request, AttemptCallback callback) = 0;
    virtual void startTimer(Milliseconds delay, std::function<void()> task) = 0;
    /// Asks the control thread to fetch the current status of the service.
    virtual void requestStatus(const ServiceName &service) = 0;
};

/// Executes statements for the callers of this daemon: chooses endpoints, retries within the
/// deadline and the retry budget, and determines the outcome. Runs in the traffic thread.
class StatementRouter
{
public:
    using Callback = std::function<void(StatementAnswer)>;

    struct Settings
    {
        ReadRouter::Settings reads;
        RetryLimits retries;
        /// Writes are refused immediately once the primary has been unreachable for this long.
        Milliseconds primaryFailureTimeout{3000};
        /// While writes are refused, one per interval is sent to detect that the primary is back.
        Milliseconds failFastProbeInterval{250};
        /// For reads that state no maximum age and match no read policy.
        Milliseconds defaultMaxAge{10000};
    };

    StatementRouter(Settings settings, Locality locality, AttemptTransport &transport,
                    const Clock &clock, RandomSource &random);
    ~StatementRouter();

    void setRoutingTable(std::shared_ptr<const RoutingTable> table);
    /// Records a report that came with a probe or another statement.
    void observe(const EndpointId &endpoint, const EndpointReport &report);

    /// Calls back exactly once, at the latest at the request's deadline.
    void handleStatement(const StatementRequest &request, Callback callback);
    void
    beginTransaction(const StatementRequest &request,
                     std::function<void(StatementAnswer, std::optional<TransactionId>)> callback);
    void finishTransaction(const StatementRequest &request, bool commit, Callback callback);
    /// Determines the outcome of an earlier request: either it was committed, or its id is recorded
    /// as refused, so that it is never executed.
    void resolveRequest(const StatementRequest &request, Callback callback);

    std::size_t runningStatements() const { return runningStatements_; }

private:
    friend class ReadExecution;
    friend class WriteExecution;

    /// Reachability of a service's primary from this daemon.
    struct PrimaryHealth
    {
        std::optional<TimePoint> failingSince;
        TimePoint lastProbe;
    };

    std::shared_ptr<const ServiceRoutes> findRoutes(const ServiceName &service) const;
    void recordPrimaryResult(const ServiceName &service, bool reached);
    bool shouldFailFast(const ServiceName &service);
    RetryBudget &findOrCreateRetryBudget(const ServiceName &service);
    RequestId generateRequestId();

    Settings settings_;
    Locality locality_;
    AttemptTransport &transport_;
    const Clock &clock_;
    RandomSource &random_;
    std::shared_ptr<const RoutingTable> table_;
    ReadRouter readRouter_;
    std::unordered_map<ServiceName, PrimaryHealth> primaryHealth_;
    std::unordered_map<ServiceName, std::unique_ptr<RetryBudget>> retryBudgets_;
    std::size_t runningStatements_ = 0;
};

} // namespace pistachiowood

#endif
