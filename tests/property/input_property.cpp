#include "administration/credentials.h"
#include "base/json.h"
#include "base/log.h"
#include "base/settings.h"
#include "burn/snapshot_codec.h"
#include "configuration/object_codec.h"
#include "configuration/selector.h"
#include "endpoints/endpoint_protocol.h"
#include "net/address_overrides.h"
#include "net/http_codec.h"
#include "net/request_target.h"
#include "property/altered_input.h"
#include "sessions/session_token_codec.h"

#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

using namespace pistachiowood;

namespace {

/// A parser of external input and samples that it must accept.
struct Target
{
    std::string_view name;
    std::vector<std::string> samples;
    std::function<bool(const std::string &)> accepts;
};

template <typename Parse>
bool succeeds(Parse parse)
{
    return capture(parse).index() == 0;
}

bool parsesRequest(const std::string &text)
{
    HttpRequestParser parser(HttpLimits{.maxHeaderBytes = 2048, .maxBodyBytes = 4096});
    std::string input = text;
    if (parser.parse(input) != ParseState::Complete)
        return false;
    parser.takeRequest();
    return true;
}

bool parsesResponse(const std::string &text)
{
    HttpResponseParser parser;
    std::string input = text;
    if (parser.parse(input) != ParseState::Complete)
        return false;
    parser.takeResponse();
    return true;
}

bool decodesObject(ObjectKind kind, const std::string &text)
{
    return succeeds([&] { return decodeObject(kind, "name", text); });
}

std::vector<Target> listTargets()
{
    static const SessionTokenCodec codec("a key of sixteen characters");
    const std::string token = codec.encode({ServiceName("orders"), Term(7), LogPosition(99)});
    return {
        {"session token",
         {token},
         [](const std::string &text) { return succeeds([&] { return codec.decode(text); }); }},
        {"JSON body",
         {R"({"kind":"read","statement":{"op":"get","key":"k"},"max_age_ms":5})"},
         [](const std::string &text) { return succeeds([&] { return parseJsonObject(text); }); }},
        {"HTTP request",
         {"POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}",
          "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
         parsesRequest},
        {"HTTP response", {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}, parsesResponse},
        {"request target",
         {"/v1/objects/Endpoint/a%20b?expected_version=4&dry_run=1"},
         [](const std::string &text) {
             return succeeds([&] { return parseRequestTarget(text); });
         }},
        {"selector",
         {"tier=gold,zone in (a,b),!spare,rack notin (r1)"},
         [](const std::string &text) { return succeeds([&] { return Selector::parse(text); }); }},
        {"service object",
         {R"({"team":"t","labels":{"a":"b"},"primary_selector":"zone=a","queue_limit":16})"},
         [](const std::string &text) { return decodesObject(ObjectKind::DatabaseService, text); }},
        {"endpoint object",
         {R"({"service":"s","address":"127.0.0.1:1","zone":"z","region":"r","slots":5,"connections":30})"},
         [](const std::string &text) { return decodesObject(ObjectKind::Endpoint, text); }},
        {"status object",
         {R"({"term":3,"primary":"e","history":[{"term":1,"start":0},{"term":3,"start":9}]})"},
         [](const std::string &text) { return decodesObject(ObjectKind::ServiceStatus, text); }},
        {"endpoint answer",
         {R"({"term":2,"position":9,"last_entry_term":2,"role":"primary","age_ms":0,"result":[1],"entry_position":9})"},
         [](const std::string &text) {
             return decodeAttempt({}, HttpResponse{200, text}).state == AttemptState::Executed;
         }},
        {"endpoint status",
         {R"({"term":2,"position":9,"last_entry_term":2,"role":"replica","age_ms":0,"history":[{"term":1,"start":0}]})"},
         [](const std::string &text) {
             return succeeds([&] { return decodeControlAnswer(HttpResponse{200, text}); });
         }},
        {"burn snapshot",
         {encodeSnapshot({.daemon = VmId("vm")})},
         [](const std::string &text) { return succeeds([&] { return decodeSnapshot(text); }); }},
        {"credentials",
         {"secret:team:viewer,other:*:admin"},
         [](const std::string &text) {
             return succeeds([&] { return CredentialList::parse(text); });
         }},
        {"address",
         {"127.0.0.1:8080"},
         [](const std::string &text) { return succeeds([&] { return parseAddress(text); }); }},
        {"address overrides",
         {"127.0.0.1:1=127.0.0.1:2"},
         [](const std::string &text) {
             return succeeds([&] { return parseAddressOverrides(text); });
         }},
    };
}

// Guards against external input that crashes a parser, makes it loop, or makes it read out of
// bounds (detected with the asan preset).
bool survivesInput(const Target &target)
{
    return rc::check(std::string(target.name) + " survives altered input", [&] {
        const auto sample = *rc::gen::elementOf(target.samples);
        target.accepts(mutate(sample));
        target.accepts(*rc::gen::arbitrary<std::string>());
    });
}

// Guards against samples that their parser rejects, which would leave most of its code untested.
bool acceptsSamples(const Target &target)
{
    for (const std::string &sample : target.samples) {
        if (!target.accepts(sample)) {
            std::printf("%s refuses its sample: %s\n", std::string(target.name).c_str(),
                        sample.c_str());
            return false;
        }
    }
    return true;
}

} // namespace

int main()
{
    disableLogging();
    bool passed = true;
    for (const Target &target : listTargets())
        passed = acceptsSamples(target) && survivesInput(target) && passed;
    return passed ? 0 : 1;
}
