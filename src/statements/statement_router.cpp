#include "statements/statement_router.h"

#include "statements/read_execution.h"
#include "statements/write_execution.h"

#include <array>
#include <cstdio>

namespace pistachiowood {

StatementRouter::StatementRouter(Settings settings, Locality locality, AttemptTransport &transport,
                                 const Clock &clock, RandomSource &random)
    : settings_(settings)
    , locality_(std::move(locality))
    , transport_(transport)
    , clock_(clock)
    , random_(random)
    , table_(std::make_shared<const RoutingTable>())
    , readRouter_(settings.reads, clock)
{
}

StatementRouter::~StatementRouter() = default;

void StatementRouter::setRoutingTable(std::shared_ptr<const RoutingTable> table)
{
    table_ = std::move(table);
}

void StatementRouter::observe(const EndpointId &endpoint, const EndpointReport &report)
{
    readRouter_.recordReport(endpoint, report);
}

void StatementRouter::handleStatement(const StatementRequest &request, Callback callback)
{
    if (request.kind == StatementKind::Read && !request.transaction) {
        std::make_shared<ReadExecution>(*this, request, std::move(callback))->start();
        return;
    }
    const auto operation = AttemptOperation::Statement;
    std::make_shared<WriteExecution>(*this, operation, request, std::move(callback))->start();
}

void StatementRouter::beginTransaction(
    const StatementRequest &request,
    std::function<void(StatementAnswer, std::optional<TransactionId>)> callback)
{
    auto execution =
        std::make_shared<WriteExecution>(*this, AttemptOperation::Begin, request, nullptr);
    execution->setCallback([callback = std::move(callback), begun = execution->begunTransaction()](
                               StatementAnswer answer) { callback(std::move(answer), *begun); });
    execution->start();
}

void StatementRouter::finishTransaction(const StatementRequest &request, bool commit,
                                        Callback callback)
{
    const auto operation = commit ? AttemptOperation::Commit : AttemptOperation::Rollback;
    std::make_shared<WriteExecution>(*this, operation, request, std::move(callback))->start();
}

void StatementRouter::resolveRequest(const StatementRequest &request, Callback callback)
{
    std::make_shared<WriteExecution>(*this, AttemptOperation::Resolve, request, std::move(callback))
        ->start();
}

std::shared_ptr<const ServiceRoutes> StatementRouter::findRoutes(const ServiceName &service) const
{
    return table_->findService(service);
}

void StatementRouter::recordPrimaryResult(const ServiceName &service, bool reached)
{
    PrimaryHealth &health = primaryHealth_[service];
    if (reached)
        health.failingSince.reset();
    else if (!health.failingSince)
        health.failingSince = clock_.now();
}

bool StatementRouter::shouldFailFast(const ServiceName &service)
{
    PrimaryHealth &health = primaryHealth_[service];
    const TimePoint now = clock_.now();
    if (!health.failingSince || now - *health.failingSince < settings_.primaryFailureTimeout)
        return false;
    if (now - health.lastProbe >= settings_.failFastProbeInterval) {
        health.lastProbe = now;
        return false;
    }
    return true;
}

RetryBudget &StatementRouter::findOrCreateRetryBudget(const ServiceName &service)
{
    auto &budget = retryBudgets_[service];
    if (!budget)
        budget = std::make_unique<RetryBudget>(settings_.retries, clock_);
    return *budget;
}

RequestId StatementRouter::generateRequestId()
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(random_.next()),
                  static_cast<unsigned long long>(random_.next()));
    return RequestId(text.data());
}

} // namespace pistachiowood
