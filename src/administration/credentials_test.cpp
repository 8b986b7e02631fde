#include "administration/credentials.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

std::string parseError(const std::string &text)
{
    const auto parsed = capture([&] { return CredentialList::parse(text); });
    const auto *error = std::get_if<Error>(&parsed);
    return error ? error->message : "";
}

ConfigurationView viewWithService()
{
    ConfigurationView view;
    ServiceSpec service;
    service.name = ServiceName("orders");
    service.team = TeamName("red");
    view.services.emplace(service.name, std::make_shared<ServiceSpec>(service));
    return view;
}

bool mayChange(const Access &access, const ObjectValue &value)
{
    return !!checkMayChange(access, value, viewWithService());
}

} // namespace

TEST_GROUP(Credentials){};

// Guards against a token in the log, where errors of settings are written.
TEST(Credentials, errorsNameTheEntryAndNeverTheToken)
{
    for (const char *entry : {"s3cret", "s3cret:red", "s3cret:red:root", "s3cret:r/d:admin",
                              ":red:admin", "s3cret:red:admin:s3cret", "s3cret::viewer"}) {
        const std::string message = parseError("first:*:admin," + std::string(entry));
        CHECK_TEXT(message.find("entry 2") != std::string::npos, entry);
        CHECK_TEXT(message.find("s3cret") == std::string::npos, entry);
    }
    CHECK_TRUE(parseError("a1:red:viewer,a1:red:admin").find("repeats") != std::string::npos);
}

// Guards against access with an unknown or missing credential.
TEST(Credentials, authenticatesOnlyKnownTokens)
{
    const auto parsed =
        capture([] { return CredentialList::parse("t1:red:operator,t2:*:viewer"); });
    const auto &list = std::get<CredentialList>(parsed);
    const auto access = capture([&] { return list.authenticate("t1"); });
    CHECK_TRUE(std::get<Access>(access).role == AccessRole::Operator);
    CHECK_TRUE(std::get<Access>(access).team == TeamName("red"));
    for (const char *bearer : {"", "t", "t11", "t1:red:operator", "T1"}) {
        const auto denied = capture([&] { return list.authenticate(bearer); });
        CHECK_TEXT(std::get<Error>(denied).code == ErrorCode::Unauthenticated, bearer);
    }
}

// Guards against a credential that allows changes beyond its role or team.
TEST(Credentials, limitChangesToRoleAndTeam)
{
    const Access viewer{AccessRole::Viewer, TeamName("red")};
    const Access redOperator{AccessRole::Operator, TeamName("red")};
    const Access redAdmin{AccessRole::Admin, TeamName("red")};
    const Access blueAdmin{AccessRole::Admin, TeamName("blue")};
    const Access admin{AccessRole::Admin, std::nullopt};
    EndpointSpec endpoint;
    endpoint.service = ServiceName("orders");
    const TeamSpec team{TeamName("red"), 1};
    CHECK_FALSE(mayChange(viewer, endpoint));
    CHECK_TRUE(mayChange(redOperator, endpoint));
    CHECK_FALSE(mayChange(blueAdmin, endpoint));
    CHECK_FALSE(mayChange(redOperator, team));
    CHECK_TRUE(mayChange(redAdmin, team));
    CHECK_FALSE(mayChange(blueAdmin, team));
    CHECK_TRUE(mayChange(admin, team));
    endpoint.service = ServiceName("unknown");
    CHECK_FALSE(mayChange(redAdmin, endpoint));
}
