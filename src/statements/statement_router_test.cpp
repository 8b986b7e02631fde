#include "statements/statement_router.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

/// Answers every attempt immediately with the prepared answer; timers never fire.
class PreparedTransport final : public AttemptTransport
{
public:
    AttemptAnswer prepared;

    void execute(const EndpointRoute &, const AttemptRequest &, AttemptCallback callback) override
    {
        callback(prepared);
    }
    void executeInTransaction(const AttemptRequest &, AttemptCallback callback) override
    {
        callback(prepared);
    }
    void startTimer(Milliseconds, std::function<void()>) override {}
    void requestStatus(const ServiceName &) override {}
};

} // namespace

TEST_GROUP(StatementRouter)
{
    ManualClock clock;
    SeededRandom random{1};
    PreparedTransport transport;
    StatementRouter router{{}, {}, transport, clock, random};

    void setup() override
    {
        auto routes = std::make_shared<ServiceRoutes>();
        routes->spec.name = ServiceName("orders");
        routes->term = Term(1);
        routes->primary = EndpointId("e1");
        routes->endpoints.resize(1);
        routes->endpoints.front().spec.id = routes->primary;
        auto table = std::make_shared<RoutingTable>();
        table->services.emplace(routes->spec.name, routes);
        router.setRoutingTable(table);
    }

    StatementAnswer resolve(bool committed)
    {
        transport.prepared.state = AttemptState::Executed;
        transport.prepared.durable = true;
        transport.prepared.resolvedCommitted = committed;
        StatementRequest request;
        request.service = ServiceName("orders");
        request.requestId = RequestId("r1");
        request.remaining = Milliseconds(1000);
        StatementAnswer result;
        router.resolveRequest(request,
                              [&result](const StatementAnswer &answer) { result = answer; });
        return result;
    }
};

// Guards against reporting an error for a successful resolve, which callers would then retry.
TEST(StatementRouter, settledResolveHasNoError)
{
    const StatementAnswer refused = resolve(false);
    CHECK_TRUE(refused.outcome == Outcome::NotRun);
    CHECK_FALSE(refused.error.has_value());
    const StatementAnswer committed = resolve(true);
    CHECK_TRUE(committed.outcome == Outcome::Committed);
    CHECK_FALSE(committed.error.has_value());
}
