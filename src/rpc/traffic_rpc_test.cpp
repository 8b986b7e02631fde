#include "rpc/traffic_rpc.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(TrafficRpcCalls)
{
    EventLoop loop;

    AttemptAnswer call(TrafficRpc & rpc, const SocketAddress &peer, const AttemptRequest &request)
    {
        AttemptAnswer result;
        rpc.execute(peer, request, [&](AttemptAnswer answer) {
            result = std::move(answer);
            loop.stop();
        });
        EventLoop &running = loop;
        running.run();
        return result;
    }
};

// Guards against fields of an attempt or its answer that are lost between daemons.
TEST(TrafficRpcCalls, attemptAndAnswerCrossUnchanged)
{
    std::optional<AttemptRequest> seen;
    TrafficRpc rpc(loop, [&](const AttemptRequest &request, const AttemptCallback &respond) {
        seen = request;
        AttemptAnswer answer;
        answer.state = AttemptState::Executed;
        answer.result = "[1]";
        answer.report = {Term(4), LogPosition(9), Term(3), EndpointRole::Primary, Milliseconds(12)};
        answer.durable = true;
        respond(answer);
    });
    CHECK_TRUE(!!rpc.listen({"127.0.0.1", 0}));
    AttemptRequest request;
    request.service = ServiceName("s");
    request.endpoint = EndpointId("e");
    request.kind = StatementKind::Write;
    request.statement = "{}";
    request.remaining = Milliseconds(1000);
    request.transaction = TransactionId("t");
    const AttemptAnswer answer = call(rpc, {"127.0.0.1", rpc.port()}, request);
    CHECK_TRUE(answer.state == AttemptState::Executed);
    CHECK_TRUE(answer.durable && answer.report.term == Term(4) && answer.result == "[1]");
    CHECK_TRUE(seen->endpoint == request.endpoint && seen->transaction == request.transaction);
}

// Guards against reporting a statement as not executed after it was sent to an owner that does not
// answer and may have executed it.
TEST(TrafficRpcCalls, silentOwnerIsUncertainAndUnreachableOwnerIsNot)
{
    std::vector<AttemptCallback> pending;
    TrafficRpc rpc(loop, [&](const AttemptRequest &, AttemptCallback respond) {
        pending.push_back(std::move(respond));
    });
    CHECK_TRUE(!!rpc.listen({"127.0.0.1", 0}));
    AttemptRequest request;
    request.remaining = Milliseconds(20);
    CHECK_TRUE(call(rpc, {"127.0.0.1", rpc.port()}, request).state == AttemptState::Uncertain);
    CHECK_TRUE(call(rpc, {"127.0.0.1", 1}, request).state == AttemptState::NotExecuted);
}
