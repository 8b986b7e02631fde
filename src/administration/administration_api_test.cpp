#include "administration/administration_api.h"
#include "daemon/routing_builder.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
namespace json = boost::json;

namespace {

StoredObject makeStored(const ObjectValue &value, std::uint64_t version)
{
    return {kindOf(value), objectName(value), ResourceVersion(version),
            "0.op" + std::to_string(version), encodeObject(value)};
}

ServiceSpec makeService(const char *name, const char *team)
{
    ServiceSpec service;
    service.name = ServiceName(name);
    service.team = TeamName(team);
    return service;
}

EndpointSpec makeEndpoint(const char *id, int port, const char *zone)
{
    EndpointSpec endpoint;
    endpoint.id = EndpointId(id);
    endpoint.service = ServiceName("orders");
    endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
    endpoint.zone = ZoneName(zone);
    endpoint.region = RegionName("north");
    endpoint.labels = {{"tier", "a"}, {"disk", "fast"}};
    return endpoint;
}

MemberRecord makeMember(const char *id, const char *zone, std::uint64_t version)
{
    MemberRecord member;
    member.id = VmId(id);
    member.zone = ZoneName(zone);
    member.region = RegionName("north");
    member.admin = {"127.0.0.1", 7003};
    member.appliedVersion = ResourceVersion(version);
    return member;
}

class FakeBackend final : public AdministrationBackend
{
public:
    FakeBackend()
    {
        store.applyList({ResourceVersion(9),
                         {makeStored(TeamSpec{TeamName("red"), 1}, 1),
                          makeStored(TeamSpec{TeamName("blue"), 1}, 2),
                          makeStored(makeService("stock", "blue"), 3),
                          makeStored(makeService("orders", "red"), 4),
                          makeStored(makeEndpoint("e1", 1, "z1"), 5),
                          makeStored(makeEndpoint("e2", 2, "z2"), 6),
                          makeStored(makeEndpoint("e3", 3, "z1"), 7),
                          makeStored(ServiceStatus{ServiceName("orders"),
                                                   Term(3),
                                                   EndpointId("e1"),
                                                   {{Term(3), LogPosition(1)}}},
                                     8)}});
        daemons = {makeMember("vm2", "z2", 9), makeMember("vm1", "z1", 9)};
    }

    std::shared_ptr<const ConfigurationView> view() const override { return store.view(); }
    std::vector<StoredObject> objects() const override { return store.snapshot().items; }
    const StoredObject *find(ObjectKind kind, const std::string &name) const override
    {
        return store.find(kind, name);
    }
    MemberRecord self() const override { return daemons.back(); }
    std::vector<MemberRecord> members() const override { return daemons; }
    ResourceVersion lowestAppliedVersion() const override
    {
        return std::min(daemons[0].appliedVersion, daemons[1].appliedVersion);
    }
    bool isPlatformReachable() const override { return true; }
    std::shared_ptr<const RoutingTable> routingTable() const override
    {
        OwnerTable owners;
        owners.update(daemons);
        return RoutingBuilder().build(store.view(), daemons, owners);
    }
    std::optional<Assessment> assessService(const ServiceName &service) const override
    {
        return service.value() == "orders" ? std::optional(Assessment()) : std::nullopt;
    }
    void submitChange(ChangeRequest change, ChangeCallback callback) override
    {
        submitted.push_back(std::move(change));
        callback(result);
    }
    void drainDaemon() override { drained = true; }

    ConfigurationStore store;
    std::vector<MemberRecord> daemons;
    std::vector<ChangeRequest> submitted;
    ChangeResult result = ChangeAccepted{ResourceVersion(10)};
    bool drained = false;
};

} // namespace

TEST_GROUP(AdministrationApi)
{
    FakeBackend backend;
    ManualClock clock;
    std::unique_ptr<AdministrationApi> api;
    std::string bearer;

    void setup() override
    {
        useCredentials("");
    }

    void useCredentials(const std::string &text)
    {
        const auto parsed = capture([&] { return CredentialList::parse(text); });
        api = std::make_unique<AdministrationApi>(backend, std::get<CredentialList>(parsed), clock,
                                                  AdministrationApi::Settings());
    }

    HttpResponse call(const std::string &method, const std::string &target,
                      const std::string &body = "")
    {
        std::optional<HttpResponse> answer;
        api->handle({.method = method, .target = "/v1/" + target, .body = body, .bearer = bearer},
                    [&](HttpResponse response) { answer = std::move(response); });
        CHECK_TRUE(answer.has_value());
        CHECK_TRUE(bearer.empty() || answer->body.find(bearer) == std::string::npos);
        return *answer;
    }

    json::object get(const std::string &target)
    {
        const auto response = call("GET", target);
        LONGS_EQUAL(200, response.status);
        return json::parse(response.body).as_object();
    }

    static std::string names(const json::value &array, const char *field)
    {
        std::string text;
        for (const auto &item : array.as_array())
            text += std::string(item.as_object().at(field).as_string()) + " ";
        return text;
    }
};

// Guards against a change that overwrites a concurrent one: without expected_version, the applied
// version is expected.
TEST(AdministrationApi, putExpectsTheAppliedVersionAndAnswersWithTheDifference)
{
    EndpointSpec endpoint = makeEndpoint("e2", 2, "z2");
    endpoint.slots = 4;
    const auto response = call("PUT", "objects/Endpoint/e2", encodeObject(endpoint));
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL(R"({"accepted":true,"version":10,"diff":["- slots: 1","+ slots: 4"]})",
                 response.body.c_str());
    CHECK_EQUAL(6, backend.submitted.at(0).expected.value());
    CHECK_TRUE(backend.submitted.at(0).json == encodeObject(endpoint));

    LONGS_EQUAL(200, call("PUT", "objects/Proxy/p1", R"({"team":"red"})").status);
    CHECK_EQUAL(0, backend.submitted.at(1).expected.value());
}

// Guards against a diff or validation against another version than the one that is replaced.
TEST(AdministrationApi, expectedVersionMustBeTheAppliedOne)
{
    const auto older = call("DELETE", "objects/Endpoint/e2?expected_version=5");
    LONGS_EQUAL(409, older.status);
    CHECK_TRUE(older.body.find("\"current_version\":6") != std::string::npos);
    LONGS_EQUAL(503, call("DELETE", "objects/Endpoint/e2?expected_version=77").status);
    LONGS_EQUAL(400, call("DELETE", "objects/Endpoint/e2?expected_version=x").status);
    CHECK_TRUE(backend.submitted.empty());
    LONGS_EQUAL(200, call("DELETE", "objects/Endpoint/e2?expected_version=6").status);
    CHECK_TRUE(backend.submitted.at(0).remove);
}

// Guards against a response that reports a change as made or not made when that is unknown.
TEST(AdministrationApi, answersEachResultOfAChange)
{
    const auto drain = [this] { return call("POST", "drain/endpoint/e2"); };
    backend.result = ChangeConflict{ResourceVersion(12)};
    CHECK_TRUE(drain().body.find("\"current_version\":12") != std::string::npos);
    LONGS_EQUAL(409, drain().status);
    backend.result = ChangeRefused{{ErrorCode::Unavailable, "no answer"}};
    LONGS_EQUAL(503, drain().status);
    CHECK_TRUE(drain().body.find("was not made") != std::string::npos);
    backend.result = ChangeRefused{{ErrorCode::InvalidArgument, "bad"}};
    LONGS_EQUAL(400, drain().status);
    backend.result = ChangeUndetermined{"answer lost"};
    LONGS_EQUAL(504, drain().status);
    CHECK_TRUE(drain().body.find("may have been made") != std::string::npos);
}

// Guards against a patch that resets fields it does not contain, and a label that cannot be
// removed.
TEST(AdministrationApi, patchLabelsAndDrainChangeOnlyWhatTheyName)
{
    EndpointSpec endpoint = makeEndpoint("e2", 2, "z2");
    endpoint.labels = {{"tier", "a"}, {"rack", "r1"}};
    LONGS_EQUAL(
        200,
        call("PATCH", "objects/Endpoint/e2", R"({"labels":{"disk":null,"rack":"r1"}})").status);
    CHECK_TRUE(backend.submitted.at(0).json == encodeObject(endpoint));
    LONGS_EQUAL(
        200,
        call("POST", "labels/Endpoint/e2", R"({"set":{"rack":"r1"},"remove":["disk"]})").status);
    CHECK_TRUE(backend.submitted.at(1).json == encodeObject(endpoint));
    endpoint = makeEndpoint("e2", 2, "z2");
    endpoint.leaving = true;
    LONGS_EQUAL(200, call("POST", "drain/endpoint/e2").status);
    CHECK_TRUE(backend.submitted.at(2).json == encodeObject(endpoint));
    LONGS_EQUAL(400, call("POST", "labels/Team/red", R"({"set":{"a":"b"}})").status);
    LONGS_EQUAL(404, call("POST", "drain/endpoint/e7").status);
}

// Guards against a dry run that submits the change or skips its validation.
TEST(AdministrationApi, dryRunChecksAndSubmitsNothing)
{
    const auto response = call("PATCH", "objects/Endpoint/e2?dry_run=1", R"({"slots":2})");
    STRCMP_EQUAL(R"({"accepted":false,"dry_run":true,"expected_version":6,)"
                 R"("diff":["- slots: 1","+ slots: 2"]})",
                 response.body.c_str());
    LONGS_EQUAL(400, call("PATCH", "objects/Endpoint/e2?dry_run=1", R"({"slots":31})").status);
    CHECK_TRUE(backend.submitted.empty());
}

// Guards against a credential that reads or changes the objects of another team.
TEST(AdministrationApi, credentialsAreBoundToTheirTeam)
{
    useCredentials("k-red:red:operator,k-view:red:viewer,k-all:*:operator");
    LONGS_EQUAL(401, call("GET", "status").status);
    bearer = "k-wrong";
    LONGS_EQUAL(401, call("GET", "status").status);
    bearer = "k-red";
    STRCMP_EQUAL("orders ", names(get("objects/DatabaseService").at("items"), "name").c_str());
    STRCMP_EQUAL("orders ", names(get("status").at("services"), "service").c_str());
    LONGS_EQUAL(404, call("GET", "objects/DatabaseService/stock").status);
    LONGS_EQUAL(404, call("GET", "history/DatabaseService/stock").status);
    LONGS_EQUAL(404, call("GET", "explain?service=stock").status);
    LONGS_EQUAL(403, call("PUT", "objects/DatabaseService/stock", R"({"team":"red"})").status);
    LONGS_EQUAL(403, call("PUT", "objects/DatabaseService/orders", R"({"team":"blue"})").status);
    LONGS_EQUAL(403, call("PUT", "objects/Team/red", R"({"weight":9})").status);
    LONGS_EQUAL(403, call("POST", "drain/daemon").status);
    LONGS_EQUAL(200, call("POST", "drain/endpoint/e2").status);
    bearer = "k-view";
    LONGS_EQUAL(403, call("POST", "drain/endpoint/e2").status);
    CHECK_EQUAL(1, backend.submitted.size());
    bearer = "k-all";
    LONGS_EQUAL(200, call("POST", "drain/daemon").status);
    CHECK_TRUE(backend.drained);
}

// Guards against reporting a version as in force before every live daemon has applied it.
TEST(AdministrationApi, inForceNamesTheDaemonsThatLag)
{
    CHECK_TRUE(get("in-force?version=9").at("in_force").as_bool());
    backend.daemons = {makeMember("vm2", "z2", 9), makeMember("vm1", "z1", 8)};
    const auto body = get("in-force?version=10");
    CHECK_FALSE(body.at("in_force").as_bool());
    STRCMP_EQUAL(R"(["vm1","vm2"])", json::serialize(body.at("waiting_for")).c_str());
    backend.daemons.back().state = MemberState::Dead;
    STRCMP_EQUAL(R"(["vm2"])",
                 json::serialize(get("in-force?version=10").at("waiting_for")).c_str());
    LONGS_EQUAL(400, call("GET", "in-force").status);
}

// Guards against a history that lacks the operation id or the diff of a change.
TEST(AdministrationApi, historyShowsAppliedVersionsWithOperationsAndDifferences)
{
    EndpointSpec endpoint = makeEndpoint("e2", 2, "z2");
    endpoint.leaving = true;
    StoredObject changed = makeStored(endpoint, 11);
    changed.operationId = "6.abc";
    backend.store.applyEvents(ResourceVersion(9), {ResourceVersion(11), {{false, changed}}});
    api->handleConfiguration();
    changed.version = ResourceVersion(12); // version of the deletion
    backend.store.applyEvents(ResourceVersion(11), {ResourceVersion(12), {{true, changed}}});
    const auto versions = get("history/Endpoint/e2").at("versions").as_array();
    CHECK_EQUAL(2, versions.size());
    CHECK_TRUE(versions[0].at("deleted").as_bool());
    STRCMP_EQUAL("6.abc", versions[1].at("operation_id").as_string().c_str());
    STRCMP_EQUAL(R"(["- leaving: false","+ leaving: true"])",
                 json::serialize(versions[1].at("diff")).c_str());
    CHECK_EQUAL(1, get("history/Endpoint/e1").at("versions").as_array().size());
    LONGS_EQUAL(404, call("GET", "history/Endpoint/e7").status);
}

// Guards against an explain response whose order or exclusions differ from those of a real read.
TEST(AdministrationApi, explainOrdersEndpointsAsAReadWould)
{
    STRCMP_EQUAL("e3 e2 e1 ",
                 names(get("explain?service=orders").at("endpoints"), "endpoint").c_str());
    const auto fromZone2 = get("explain?service=orders&zone=z2");
    STRCMP_EQUAL("e2 e3 e1 ", names(fromZone2.at("endpoints"), "endpoint").c_str());
    EndpointReport staleReport;
    staleReport.term = Term(3);
    staleReport.age = Milliseconds(60000);
    api->observeReport(EndpointId("e3"), staleReport);
    const auto body = get("explain?service=orders&labels=a%3Db&max_age_ms=1000");
    STRCMP_EQUAL("e2 e1 e3 ", names(body.at("endpoints"), "endpoint").c_str());
    EndpointSpec leaving = makeEndpoint("e2", 2, "z2");
    leaving.leaving = true;
    backend.store.applyEvents(ResourceVersion(9),
                              {ResourceVersion(11), {{false, makeStored(leaving, 11)}}});
    STRCMP_EQUAL("e2 ", names(get("explain?service=orders").at("excluded"), "endpoint").c_str());
    LONGS_EQUAL(404, call("GET", "explain?service=orders&zone=nowhere").status);
}

// Guards against a status response that lacks a daemon or shows the wrong primary.
TEST(AdministrationApi, statusShowsDaemonsAndServices)
{
    const auto body = get("status");
    STRCMP_EQUAL("vm1 vm2 ", names(body.at("daemons"), "vm").c_str());
    const auto &orders = body.at("services").as_array().at(0).as_object();
    STRCMP_EQUAL("e1", orders.at("primary").as_string().c_str());
    STRCMP_EQUAL("healthy", orders.at("verdict").as_string().c_str());
    STRCMP_EQUAL("primary replica replica ", names(orders.at("endpoints"), "role").c_str());
    STRCMP_EQUAL("vm1 vm2 vm1 ", names(orders.at("endpoints"), "owner").c_str());
    const auto &stock = body.at("services").as_array().at(1).as_object();
    STRCMP_EQUAL("not_assessed_here", stock.at("verdict").as_string().c_str());
}

// Guards against a request that reaches an action with missing path segments.
TEST(AdministrationApi, refusesUnknownOperations)
{
    for (const char *target : {"", "objects", "objects/Endpoint/e1/x", "drain", "nothing"})
        LONGS_EQUAL_TEXT(404, call("GET", target).status, target);
    LONGS_EQUAL(405, call("DELETE", "status").status);
    LONGS_EQUAL(400, call("GET", "objects/Table").status);
}
