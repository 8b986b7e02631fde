#include "statements/attempt_executor.h"

#include "net/http.h"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

const std::string reportInTerm =
    R"("term":2,"position":300,"last_entry_term":2,"role":"replica","age_ms":0)";
const std::string reportOfFormerPrimary =
    R"("term":2,"position":257,"last_entry_term":1,"role":"replica","age_ms":0)";

} // namespace

TEST_GROUP(AttemptExecutor)
{
    EventLoop loop;
    SteadyClock clock;
    SeededRandom random{1};
    std::string readReport;
    std::size_t polls = 0;
    // Serves as all endpoints of the group; position polls report a majority in term 2.
    HttpServer endpoint{
        loop, {}, [this](const HttpRequest &request, const HttpServer::Responder &respond) {
            const bool isPoll = request.target.starts_with("/v1/position");
            polls += isPoll ? 1 : 0;
            respond({200, isPoll ? "{" + reportInTerm + "}"
                                 : R"({"result":[1],"entry_position":257,)" + readReport + "}"});
        }};
    AttemptExecutor executor{loop, clock, random, {.self = VmId("vm")}};

    void setup() override
    {
        CHECK_TRUE(!!endpoint.listen({"127.0.0.1", 0}));
        auto routes = std::make_shared<ServiceRoutes>();
        routes->spec.name = ServiceName("s");
        routes->term = Term(2);
        routes->primary = EndpointId("e0");
        for (const char *id : {"e0", "e1", "e2"}) {
            EndpointRoute route;
            route.spec.id = EndpointId(id);
            route.spec.service = ServiceName("s");
            route.spec.address = {"127.0.0.1", endpoint.port()};
            route.owner = VmId("vm");
            routes->endpoints.push_back(route);
        }
        auto table = std::make_shared<RoutingTable>();
        table->services.emplace(ServiceName("s"), routes);
        executor.setRoutingTable(table);
    }

    AttemptAnswer read(const std::string &report)
    {
        readReport = report;
        AttemptRequest request;
        request.service = ServiceName("s");
        request.endpoint = EndpointId("e1");
        request.term = Term(2);
        request.statement = R"({"op":"get","key":"k"})";
        request.remaining = Milliseconds(1000);
        request.maxAge = Milliseconds(1000);
        AttemptAnswer result;
        executor.execute(request, [&](AttemptAnswer answer) {
            result = std::move(answer);
            loop.stop();
        });
        EventLoop &running = loop;
        running.run();
        return result;
    }
};

// Guards against reading entries that a former primary did not replicate. It is already in the new
// term, and the new primary has written other entries at the same positions.
TEST(AttemptExecutor, formerPrimaryServesNoReadBeforeItFollows)
{
    const AttemptAnswer followed = read(reportInTerm);
    CHECK_TRUE(followed.state == AttemptState::Executed && followed.durable);
    const AttemptAnswer answer = read(reportOfFormerPrimary);
    CHECK_TRUE(answer.state == AttemptState::NotExecuted);
    CHECK_FALSE(answer.durable);
}
