#include "allotments/coordinator_choice.h"
#include "gateway/gateway_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const ServiceName service("orders-db");
const EndpointId primary("p");
const CustomerName customer("c");

} // namespace

TEST_GROUP(GatewayAdmission)
{
    EventLoop loop;
    ManualClock clock;
    ScriptedEndpoints endpoints{loop};
    SeededRandom random{1};
    std::unique_ptr<Gateway> gateway = std::make_unique<Gateway>(loop, clock, random, endpoints);
    RecordingChannel channel;
    std::vector<GroupNeeds> sent;
    Gateway::SessionId session = 0;

    void open(std::optional<OperationLimit> limit)
    {
        gateway->admission().setSender([this](const std::vector<GroupNeeds> &needs) {
            sent.insert(sent.end(), needs.begin(), needs.end());
        });
        auto view = std::make_shared<DeploymentView>();
        view->routes["db"] = {"db", "db", service, Consistency::Primary, 400ms, 200ms, 1000ms, 1};
        view->services[service] = {service, 12, {{primary, {}, false, 0}}, primary, 1, false};
        view->customers = CustomerDirectory::build({{customer, {"key"}, 0, limit}}).value();
        gateway->setView(view);
        gateway->permitPrimaries(clock.now() + 1h);
        session = openSession(*gateway, "db", channel, "key");
    }

    void runLoopFor(Milliseconds time = 15ms)
    {
        loop.startTimer(time, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }

    void run(Verb verb)
    {
        gateway->handleStatement(session, {.id = "q", .verb = verb, .text = "text"});
        runLoopFor();
    }

    void grant(double tokens, Milliseconds refuseFor = 0ms)
    {
        const AllotmentGrant value{customer, {10, 10}, 0, 10, tokens, refuseFor};
        gateway->admission().handleAnswer(
            {{allotmentGroupOf(customer), GrantKind::Leases, {value}}}, {});
        runLoopFor();
    }

    bool lastIsBusy()
    {
        return channel.replies.back().failure == ReplyCode::Busy;
    }
};

// Guards against operations that are counted for each statement of a transaction, and against
// refused ones that reach an endpoint.
TEST(GatewayAdmission, statementsOfATransactionAreCounted)
{
    open(OperationLimit{10, 10});
    run(Verb::Read);
    CHECK_TRUE(channel.replies.empty()); // waits for the answer
    grant(2, 10s);
    LONGS_EQUAL(1, channel.replies.size());
    CHECK_TRUE(channel.replies.back().succeeded());
    for (const Verb verb : {Verb::Begin, Verb::Read, Verb::Read, Verb::Commit}) {
        run(verb);
        CHECK_TRUE(channel.replies.back().succeeded());
    }
    const std::size_t reads = endpoints.countSent(Verb::Read);
    run(Verb::Read);
    CHECK_TRUE(lastIsBusy());
    LONGS_EQUAL(reads, endpoints.countSent(Verb::Read));
}

// Guards against an operation that waits longer than a quarter of the target latency.
TEST(GatewayAdmission, operationWaitsForAnAnswerThatDoesNotCome)
{
    open(OperationLimit{10, 10});
    run(Verb::Read);
    CHECK_FALSE(sent.empty());
    clock.advance(51ms);
    runLoopFor();
    LONGS_EQUAL(1, channel.replies.size());
    CHECK_TRUE(lastIsBusy());
    LONGS_EQUAL(0, endpoints.countSent(Verb::Read));
}

// Guards against a session that ends while its operation waits, and is called back afterwards.
TEST(GatewayAdmission, closedSessionIsCalledBack)
{
    open(OperationLimit{10, 10});
    run(Verb::Read);
    gateway->closeSession(session);
    grant(5);
    LONGS_EQUAL(0, channel.replies.size());
}

// Guards against messages and waits where no limit is configured.
TEST(GatewayAdmission, unlimitedCustomerCausesMessages)
{
    open(std::nullopt);
    run(Verb::Read);
    CHECK_TRUE(channel.replies.back().succeeded());
    CHECK_TRUE(sent.empty());
}
