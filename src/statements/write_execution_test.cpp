#include "statements/statement_router.h"

#include <optional>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

/// Stores attempts and timers; the test completes them.
struct DeferredTransport : public AttemptTransport
{
    void execute(const EndpointRoute &, const AttemptRequest &, AttemptCallback callback) override
    {
        attempts.push_back(std::move(callback));
    }
    void executeInTransaction(const AttemptRequest &, AttemptCallback callback) override
    {
        attempts.push_back(std::move(callback));
    }
    void startTimer(Milliseconds delay, std::function<void()> task) override
    {
        timers.emplace_back(delay, std::move(task));
    }
    void requestStatus(const ServiceName &) override {}

    std::vector<AttemptCallback> attempts;
    std::vector<std::pair<Milliseconds, std::function<void()>>> timers;
};

} // namespace

TEST_GROUP(WriteExecution)
{
    ManualClock clock;
    SeededRandom random{1};
    DeferredTransport transport;
    StatementRouter router{{}, {}, transport, clock, random};
    std::optional<StatementAnswer> answer;

    void setup() override
    {
        auto routes = std::make_shared<ServiceRoutes>();
        routes->spec.name = ServiceName("s");
        routes->term = Term(1);
        routes->primary = EndpointId("e0");
        routes->endpoints.resize(1);
        routes->endpoints.front().spec.id = EndpointId("e0");
        auto table = std::make_shared<RoutingTable>();
        table->services.emplace(ServiceName("s"), routes);
        router.setRoutingTable(table);
    }

    void write()
    {
        answer.reset();
        StatementRequest request;
        request.service = ServiceName("s");
        request.kind = StatementKind::Write;
        request.remaining = Milliseconds(1000);
        router.handleStatement(request,
                               [this](StatementAnswer result) { answer = std::move(result); });
    }
};

// Guards against writes that all wait until their deadline while the primary is unreachable. An
// attempt that is answered after the deadline must count as a failure of the primary too.
TEST(WriteExecution, silentPrimaryMakesWritesFailFast)
{
    AttemptAnswer lost;
    lost.state = AttemptState::Uncertain;
    lost.error = {ErrorCode::OutcomeUnknown, "no answer"};
    for (int i = 0; i < 4; ++i) {
        write();
        clock.advance(Milliseconds(1000));
        const auto timers = std::exchange(transport.timers, {});
        for (const auto &[delay, task] : timers)
            task();
        CHECK_TRUE(answer && answer->outcome == Outcome::Unknown);
        transport.attempts.back()(lost);
    }
    write(); // sent as a probe, to detect that the primary is reachable again
    write();
    CHECK_TRUE(answer && answer->outcome == Outcome::NotRun);
    CHECK_EQUAL(5, transport.attempts.size());
}
