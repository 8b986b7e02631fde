#include "configuration/object_codec.h"

#include "configuration/selector.h"

#include <array>
#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

std::string decodeErrorMessage(ObjectKind kind, const std::string &text)
{
    const auto outcome = capture([&] { return decodeObject(kind, "n1", text); });
    const Error *error = std::get_if<Error>(&outcome);
    return error ? error->message : "";
}

std::string selectorErrorMessage(const std::string &text)
{
    const auto outcome = capture([&] { return Selector::parse(text); });
    const Error *error = std::get_if<Error>(&outcome);
    return error ? error->message : "";
}

bool matches(const std::string &text, const Labels &labels)
{
    const auto outcome = capture([&] { return Selector::parse(text); });
    CHECK_TEXT(outcome.index() == 0, text.c_str());
    return std::get<0>(outcome).matches(labels);
}

} // namespace

TEST_GROUP(ObjectCodec){};

// Guards against a field that is encoded but not decoded, or decoded but not encoded.
TEST(ObjectCodec, everyKindSurvivesARoundTrip)
{
    ServiceSpec service{ServiceName("n1"), TeamName("t"), {{"tier", "gold"}}, "zone!=z3"};
    service.readRules = {{"app in (a,b)", "!slow", Milliseconds(7)}, {}};
    service.queueLimit = 9;
    service.weight = 3;
    service.objectives = {0.9, Milliseconds(1), 0.95, Milliseconds(2), Milliseconds(3)};
    const EndpointSpec endpoint{EndpointId("n1"),
                                ServiceName("s"),
                                {"127.0.0.1", 81},
                                ZoneName("z"),
                                RegionName("r"),
                                5,
                                31,
                                {{"a/b", "c.d"}},
                                true};
    const std::vector<ObjectValue> values{
        service, endpoint, ProxySpec{"n1", TeamName("t"), {{"k", "v"}}, "tier=gold"},
        TeamSpec{TeamName("n1"), 4},
        ServiceStatus{ServiceName("n1"), Term(7), EndpointId("e"), {{Term(2), LogPosition(3)}}}};
    for (const ObjectValue &value : values) {
        const auto decoded =
            capture([&] { return decodeObject(kindOf(value), "n1", encodeObject(value)); });
        CHECK_EQUAL(0U, decoded.index());
        CHECK_TRUE(std::get<0>(decoded) == value);
        STRCMP_EQUAL("n1", objectName(value).c_str());
    }
}

// Guards against an unknown or invalid field that is accepted, or reported without its name.
TEST(ObjectCodec, errorsNameFieldAndRange)
{
    const std::string endpoint = R"("service":"s","address":"10.0.0.1:80","zone":"z","region":"r")";
    const std::vector<std::array<std::string, 3>> cases{
        {"Endpoint", "{" + endpoint + R"(,"slot":1})", "unknown field \"slot\""},
        {"Endpoint", "{" + endpoint + R"(,"slots":0})", "\"slots\" must be an integer between 1"},
        {"Endpoint", "{" + endpoint + R"(,"labels":{"a b":"c"}})", "\"labels.a b\""},
        {"Endpoint", R"({"service":"s","zone":"z","region":"r"})", "\"address\" must be present"},
        {"Endpoint", R"({"service":"s","zone":"z","region":"r","address":"host:80"})", "IPv4"},
        {"DatabaseService", R"({"team":"t","objectives":{"latency":1}})",
         "unknown field \"objectives.latency\""},
        {"DatabaseService", R"({"team":"t","objectives":{"availability":1}})",
         "\"objectives.availability\" must be a number between"},
        {"DatabaseService", R"({"team":"t","read_rules":[{"endpoint_selector":"a="}]})",
         "\"read_rules[0].endpoint_selector\": selector:"},
        {"Team", R"({"weight":-1})", "between 1 and 1000"},
        {"ServiceStatus",
         R"({"term":2,"primary":"e","history":[{"term":2,"start":1},{"term":1,"start":9}]})",
         "\"history\""}};
    for (const auto &[kind, text, expected] : cases) {
        const auto parsed = capture([&] { return parseObjectKind(kind); });
        STRCMP_CONTAINS(expected.c_str(), decodeErrorMessage(std::get<0>(parsed), text).c_str());
    }
}

TEST_GROUP(Selector){};

// Guards against operators that match the wrong labels.
TEST(Selector, operatorsMatch)
{
    const Labels labels{{"zone", "z1"}, {"in", "x"}};
    for (const char *text : {"", "zone=z1", "zone != z2", "zone in (z0, z1)", "zone notin (z2)",
                             "zone", "!rack", "rack!=r1", "rack notin (r1)", "in=x", "in in (x)"})
        CHECK_TEXT(matches(text, labels), text);
    for (const char *text : {"zone=z", "zone!=z1", "zone in (z2)", "zone notin (z1)", "rack",
                             "!zone", "zone=z1,rack", "inside"})
        CHECK_TEXT(!matches(text, labels), text);
}

// Guards against a syntax error that is reported without its position and token.
TEST(Selector, errorsNamePositionAndToken)
{
    STRCMP_CONTAINS("at position 6, found the end", selectorErrorMessage("zone=").c_str());
    STRCMP_CONTAINS("at position 6, found \"z1\"", selectorErrorMessage("zone z1").c_str());
    STRCMP_CONTAINS("at position 11, found the end", selectorErrorMessage("zone in (a").c_str());
    STRCMP_CONTAINS("at position 3, found \",\"", selectorErrorMessage("a,,b").c_str());
    STRCMP_CONTAINS("at position 5, found \"*\"", selectorErrorMessage("zone*=a").c_str());
    STRCMP_CONTAINS("at most 63", selectorErrorMessage("a=" + std::string(64, 'x')).c_str());
    STRCMP_CONTAINS("longer than", selectorErrorMessage(std::string(5000, 'x')).c_str());
}

// Guards against a printed selector that differs from the parsed one.
TEST(Selector, printsTheParsedConditions)
{
    const std::string text = "a=1,b!=2,c in (x,y),d notin (z),e,!f";
    const auto outcome = capture([&] { return Selector::parse(text); });
    STRCMP_EQUAL(text.c_str(), std::get<0>(outcome).toString().c_str());
}
