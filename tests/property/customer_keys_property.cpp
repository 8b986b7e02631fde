#include "base/log.h"
#include "gateway/gateway_fixture.h"
#include "platform/configuration_decoder.h"
#include "platform/line_codec.h"

#include <iostream>
#include <sstream>

#include <rapidcheck.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const ServiceName service("db");

// Replaces where the log is written, for the lifetime of the object.
class LogCapture
{
public:
    LogCapture()
        : console_(std::cout.rdbuf(log_.rdbuf()))
    {
        initializeLogging(Severity::Debug);
    }
    ~LogCapture()
    {
        disableLogging();
        std::cout.rdbuf(console_);
    }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    std::string text() const { return log_.str(); }

private:
    std::ostringstream log_;
    std::streambuf *console_;
};

std::shared_ptr<const DeploymentView> makeView(std::uint64_t version, const std::string &key)
{
    auto view = std::make_shared<DeploymentView>();
    view->configurationVersion = version;
    view->routes["orders"] = {"r", "orders", service, Consistency::Primary, 20ms};
    view->services[service] = {service, 12, {{EndpointId("i-x")}}, EndpointId("i-x"), 1};
    const auto customers = capture([&] {
        return CustomerDirectory::build({{CustomerName("miny"), {key}, 0, std::nullopt}});
    });
    view->customers = std::get<std::shared_ptr<const CustomerDirectory>>(customers);
    return view;
}

// What endpoints receive in these sessions.
std::string runSessions(const std::string &key)
{
    EventLoop loop;
    EventLoop &running = loop;
    ManualClock clock;
    ScriptedEndpoints endpoints(loop);
    SeededRandom random(1);
    RecordingChannel channel;
    Gateway gateway(loop, clock, random, endpoints);
    gateway.setView(makeView(1, key));
    gateway.permitPrimaries(clock.now() + 2s);
    for (const SessionRequest &request :
         {SessionRequest{key, ""}, {"orders", key + "x"}, {"orders", ""}})
        RC_ASSERT(std::holds_alternative<SessionRefusal>(gateway.openSession(request, channel)));
    const auto session = openSession(gateway, "orders", channel, key);
    for (const Verb verb : {Verb::Begin, Verb::Write, Verb::Malformed})
        gateway.handleStatement(session, {.id = "q", .verb = verb, .text = "WRITE a b"});
    loop.startTimer(2ms, [&] { loop.stop(); });
    running.run();
    gateway.setView(makeView(2, "other"));
    std::string sent;
    for (const std::string &customer : endpoints.customers)
        sent += encodeStart(service, CustomerName(customer), EndpointId("i-x"));
    for (const auto &entry : endpoints.sent)
        sent += encodeStatement(entry.statement);
    return sent;
}

// Guards against a key that is sent to an endpoint, or is part of a log line or an error, also if
// its caller sends it in place of the database.
bool keysStaySecret()
{
    return rc::check("keys stay secret", [] {
        const auto key = "K" + *rc::gen::container<std::string>(12, rc::gen::inRange('A', 'Z'));
        const LogCapture log;
        const std::string sent = runSessions(key);
        const auto refused = capture([&] {
            return decodeConfigurationObject({"main",
                                              {},
                                              R"({"version":1,"tenants":[{"name":"a","api_keys":[")"
                                                  + key + R"("]},{"name":"b","api_keys":[")" + key
                                                  + R"("]}]})"});
        });
        RC_ASSERT(std::get<Error>(refused).message.find(key) == std::string::npos);
        RC_ASSERT(sent.find("WRITE") != std::string::npos);
        RC_ASSERT(sent.find(key) == std::string::npos);
        RC_ASSERT(log.text().find("PW1205") != std::string::npos);
        RC_ASSERT(log.text().find(key) == std::string::npos);
    });
}

} // namespace

int main()
{
    return keysStaySecret() ? 0 : 1;
}
