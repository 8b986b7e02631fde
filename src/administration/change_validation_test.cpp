#include "administration/change_validation.h"
#include "base/json.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

EndpointSpec makeEndpoint(const std::string &id, int port, Labels labels)
{
    EndpointSpec endpoint;
    endpoint.id = EndpointId(id);
    endpoint.service = ServiceName("orders");
    endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
    endpoint.labels = std::move(labels);
    return endpoint;
}

ServiceSpec makeService()
{
    ServiceSpec service;
    service.name = ServiceName("orders");
    service.team = TeamName("red");
    service.primarySelector = "tier=main";
    ReadRule rule;
    rule.endpointSelector = "tier=read";
    service.readRules.push_back(rule);
    return service;
}

} // namespace

TEST_GROUP(ChangeValidation)
{
    ConfigurationView view;

    void setup() override
    {
        addEndpoint(makeEndpoint("e1", 1, {{"tier", "main"}}));
        addEndpoint(makeEndpoint("e2", 2, {{"tier", "read"}}));
        view.services.emplace(ServiceName("orders"), std::make_shared<ServiceSpec>(makeService()));
        view.teams.emplace(TeamName("red"), std::make_shared<TeamSpec>());
    }

    void addEndpoint(const EndpointSpec &endpoint)
    {
        view.endpointsByService[endpoint.service].push_back(
            std::make_shared<EndpointSpec>(endpoint));
    }

    std::string reason(const ProposedChange &change)
    {
        const auto outcome = capture([&] { return validateChange(view, change, {}); });
        const auto *error = std::get_if<Error>(&outcome);
        return error ? error->message : "";
    }

    std::string put(const ObjectValue &value)
    {
        return reason({kindOf(value), objectName(value), value});
    }

    void expectRefused(const std::string &message, const std::string &part)
    {
        CHECK_TEXT(message.find(part) != std::string::npos, (part + " / " + message).c_str());
    }
};

// Guards against a service whose reads or promotions find no endpoint.
TEST(ChangeValidation, refusesSelectorsWithoutMatch)
{
    ServiceSpec service = makeService();
    service.readRules.front().endpointSelector = "tier=rad";
    expectRefused(put(service), "selector \"tier=rad\" of a read rule matches no endpoint");
    service = makeService();
    service.primarySelector = "tier=min";
    expectRefused(put(service), "primary selector \"tier=min\" matches no endpoint");
    expectRefused(put(makeEndpoint("e2", 2, {})), "\"tier=read\" of a read rule matches no");
    view.endpointsByService.clear();
    STRCMP_EQUAL("", put(service).c_str());
}

// Guards against an accepted change after which no failover is possible.
TEST(ChangeValidation, refusesToRemoveTheLastPrimaryCandidate)
{
    EndpointSpec leaving = makeEndpoint("e1", 1, {{"tier", "main"}});
    leaving.leaving = true;
    expectRefused(put(leaving), "no primary candidate");
    expectRefused(reason({ObjectKind::Endpoint, "e1", std::nullopt}), "matches no endpoint");
    addEndpoint(makeEndpoint("e3", 3, {{"tier", "main"}}));
    STRCMP_EQUAL("", put(leaving).c_str());
    STRCMP_EQUAL("", reason({ObjectKind::Endpoint, "e1", std::nullopt}).c_str());
}

// Guards against a service that refuses its first endpoint, or the removal of its last one, because
// of its selectors.
TEST(ChangeValidation, allowsEndpointsInAnyOrderAndRemovalOfTheLast)
{
    view.endpointsByService.clear();
    STRCMP_EQUAL("", put(makeEndpoint("e9", 9, {})).c_str());
    addEndpoint(makeEndpoint("e9", 9, {}));
    STRCMP_EQUAL("", put(makeEndpoint("e8", 8, {})).c_str());
    STRCMP_EQUAL("", reason({ObjectKind::Endpoint, "e9", std::nullopt}).c_str());
}

// Guards against connection limits that contradict each other, and an address of two endpoints.
TEST(ChangeValidation, refusesEndpointLimitsAddressAndService)
{
    EndpointSpec endpoint = makeEndpoint("e2", 2, {{"tier", "read"}});
    STRCMP_EQUAL("", put(endpoint).c_str());
    endpoint.slots = endpoint.connections + 1;
    expectRefused(put(endpoint), "slots (31) exceed connections (30)");
    endpoint = makeEndpoint("e2", 2, {{"tier", "read"}});
    endpoint.connections = 5;
    expectRefused(put(endpoint), "reserved");
    expectRefused(put(makeEndpoint("e2", 1, {{"tier", "read"}})), "used by endpoint \"e1\"");
    endpoint.service = ServiceName("unknown");
    expectRefused(put(endpoint), "service \"unknown\" does not exist");
}

// Guards against objects that refer to an object that does not exist.
TEST(ChangeValidation, refusesDanglingReferences)
{
    expectRefused(reason({ObjectKind::DatabaseService, "orders", std::nullopt}), "2 endpoints");
    expectRefused(reason({ObjectKind::Team, "red", std::nullopt}), "still has services");
    ServiceSpec service = makeService();
    service.team = TeamName("green");
    expectRefused(put(service), "team \"green\" does not exist");
    expectRefused(put(ProxySpec{"p1", TeamName("green"), {}, ""}), "team \"green\"");
    expectRefused(put(ServiceStatus{ServiceName("orders"), Term(1), EndpointId("e1"), {}}),
                  "written by promotion");
}

// Guards against a diff that omits a nested field.
TEST(ChangeValidation, diffListsChangedLeaves)
{
    const auto parse = [](const char *text) {
        return std::get<0>(capture([&] { return parseJsonObject(text); }));
    };
    const auto lines =
        diffObjects(parse(R"({"share":0.99,"labels":{"a":"x","b":"y"},"rules":[{"s":"1"}]})"),
                    parse(R"({"share":0.999,"labels":{"b":"z"},"rules":[{"s":"1"},{"s":"2"}]})"));
    const std::vector<std::string> expected{"- labels.a: x",   "- labels.b: y", "+ labels.b: z",
                                            "+ rules[1].s: 2", "- share: 0.99", "+ share: 0.999"};
    CHECK_TRUE(lines == expected);
}
