#include "configuration/platform_client.h"

#include "net/http.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

// Objects that another system may have stored: unreadable, of an unknown kind, without a name.
const std::string oddObjects =
    R"({"kind":"Service","name":7},{"kind":"other","name":"x","object":{}},7,)"
    "{\"kind\":\"\xff\"},"
    + std::string(100000, '[') + std::string(100000, ']') + ",";
const std::string deepObject = R"({"kind":"endpoints","name":"e","version":4,"object":)"
                               + std::string(40, '[') + std::string(40, ']') + "}";

} // namespace

TEST_GROUP(PlatformClient)
{
    EventLoop loop;
    HttpResponse response;
    HttpServer server{loop, {}, [this](const HttpRequest &, const HttpServer::Responder &respond) {
                          respond(response);
                      }};
    std::unique_ptr<PlatformClient> client;

    void setup() override
    {
        CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
        client = std::make_unique<PlatformClient>(loop, SocketAddress{"127.0.0.1", server.port()});
    }

    void waitForResult()
    {
        EventLoop &running = loop;
        running.run();
    }
};

// Guards against one odd object that hides all others of a list, and against an unreadable version
// of an object that counts as its removal.
TEST(PlatformClient, oddObjectHidesTheOthersOfAList)
{
    const std::string good = R"({"kind":")" + std::string(objectKindName(ObjectKind::Endpoint))
                             + R"(","name":"g","version":3,"object":{"a":1}})";
    std::string deep = deepObject;
    deep.replace(deep.find("endpoints"), 9, objectKindName(ObjectKind::Endpoint));
    response = {200, R"({"version":9,"items":[)" + oddObjects + good + "," + deep + "]}"};
    ConfigurationFeed::ListOutcome result;
    client->list(1s, [&](ConfigurationFeed::ListOutcome outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    waitForResult();
    const auto &snapshot = std::get<ConfigurationSnapshot>(result);
    LONGS_EQUAL(2, snapshot.items.size());
    STRCMP_EQUAL("{\"a\":1}", snapshot.items.front().json.c_str());
    STRCMP_EQUAL("e", snapshot.items.back().name.c_str());
    const auto decoded = capture(
        [&] { return decodeObject(ObjectKind::Endpoint, "e", snapshot.items.back().json); });
    CHECK_TRUE(std::holds_alternative<Error>(decoded));
}

// Guards against one odd entry that hides all other VMs.
TEST(PlatformClient, oddVmHidesTheOthers)
{
    response = {200, R"({"vms":[{"vm":7},[],{"vm":"v","zone":"z","region":"r","state":"live",)"
                     R"("address":"127.0.0.1:70000"},)"
                     R"({"vm":"v","zone":"z","region":"r","state":"live"}]})"};
    std::size_t count = 0;
    client->listVms(1s, [&](const auto &outcome) {
        const auto *vms = std::get_if<std::vector<PlatformVm>>(&outcome);
        count = vms ? vms->size() : 0;
        loop.stop();
    });
    waitForResult();
    LONGS_EQUAL(1, count);
}
