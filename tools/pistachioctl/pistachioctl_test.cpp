#include "pistachioctl/session.h"

#include <deque>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace pistachiowood::ctl;

TEST_GROUP(Pistachioctl)
{
    ManualClock clock;
    std::istringstream input;
    std::ostringstream output;
    std::ostringstream errors;
    std::deque<HttpOutcome> answers;
    std::vector<HttpRequest> requests;

    int run(std::vector<const char *> arguments)
    {
        arguments.insert(arguments.begin(), "pistachioctl");
        const auto line = capture([&] {
            return parseCommandLine(static_cast<int>(arguments.size()), arguments.data(),
                                    [](const std::string &) { return std::nullopt; });
        });
        if (std::holds_alternative<Error>(line))
            return static_cast<int>(ExitCode::Usage);
        output.str("");
        errors.str("");
        requests.clear();
        Session session(std::get<CommandLine>(line),
                        {.call =
                             [this](const HttpRequest &request, Milliseconds) {
                                 requests.push_back(request);
                                 HttpOutcome answer = answers.front();
                                 if (answers.size() > 1)
                                     answers.pop_front();
                                 return answer;
                             },
                         .sleep = [this](Milliseconds time) { clock.advance(time); },
                         .clock = clock,
                         .input = input,
                         .output = output,
                         .errors = errors});
        return static_cast<int>(session.run());
    }

    void answer(unsigned status, const char *body)
    {
        answers = {HttpResponse{status, body}};
    }

    bool printed(const char *text) const
    {
        return output.str().find(text) != std::string::npos;
    }
};

// Guards against scripts that misread a result: each exit code is documented.
TEST(Pistachioctl, exitCodesFollowTheAnswer)
{
    const char *refusal = R"({"error":{"code":"c","message":"the reason"}})";
    const struct
    {
        unsigned status;
        int code;
    } cases[] = {{400, 1}, {404, 1}, {401, 5}, {403, 5}, {409, 4}, {503, 3}, {504, 3}, {500, 1}};
    for (const auto &expected : cases) {
        answer(expected.status, refusal);
        LONGS_EQUAL(expected.code, run({"get", "service", "orders"}));
        STRCMP_EQUAL("error: the reason\n", errors.str().c_str());
    }
    answers = {HttpFailure{HttpFailure::Kind::Timeout, true, "timed out"}};
    LONGS_EQUAL(3, run({"delete", "endpoint", "e1"}));
    CHECK_TRUE(errors.str().find("may have been made") != std::string::npos);
    answers = {HttpFailure{HttpFailure::Kind::Refused, false, "refused"}};
    LONGS_EQUAL(3, run({"delete", "endpoint", "e1"}));
    CHECK_TRUE(errors.str().find("was not made") != std::string::npos);
}

// Guards against a message that leaves open which daemon could not be reached.
TEST(Pistachioctl, failureNamesTheDaemon)
{
    answers = {HttpFailure{HttpFailure::Kind::Refused, false, "refused"}};
    LONGS_EQUAL(3, run({"status", "--server", "127.0.0.1:7009"}));
    STRCMP_EQUAL("error: no answer from the daemon at 127.0.0.1:7009: refused\n",
                 errors.str().c_str());
}

// Guards against a request that is sent in spite of a usage error.
TEST(Pistachioctl, usageErrorsSendNothing)
{
    answer(200, "{}");
    const std::vector<std::vector<const char *>> lines{{},
                                                       {"unknown"},
                                                       {"get", "service"},
                                                       {"wait"},
                                                       {"drain", "vm"},
                                                       {"label", "service", "s"},
                                                       {"label", "service", "s", "key"},
                                                       {"put", "service", "s", "/nonexistent/file"},
                                                       {"completion", "fish"},
                                                       {"status", "--output", "xml"},
                                                       {"status", "--no-such-flag"},
                                                       {"status", "--server", "localhost"},
                                                       {"wait", "--in-force", "x"}};
    for (const auto &line : lines) {
        LONGS_EQUAL(2, run(line));
        CHECK_TRUE(requests.empty());
    }
}

// Guards against a lost update: put of a fetched object expects the version that was fetched.
TEST(Pistachioctl, putTakesObjectsAndFetchedAnswersFromStandardInput)
{
    answer(200, R"({"accepted":true,"version":8,"diff":["+ weight: 2"]})");
    input.str(R"({"name":"red","version":7,"object":{"weight":2}})");
    LONGS_EQUAL(0, run({"put", "team", "red", "-"}));
    STRCMP_EQUAL("/v1/objects/Team/red?expected_version=7", requests.at(0).target.c_str());
    STRCMP_EQUAL(R"({"weight":2})", requests.at(0).body.c_str());
    STRCMP_EQUAL("accepted, version 8\n  + weight: 2\n", output.str().c_str());
    input.clear();
    input.str(R"({"weight":3})");
    LONGS_EQUAL(0, run({"diff", "team", "red", "-", "--output", "json"}));
    STRCMP_EQUAL("/v1/objects/Team/red?dry_run=1", requests.at(0).target.c_str());
    CHECK_TRUE(printed("{\"accepted\":true"));
}

// Guards against label changes that are cut at commas or go to another object.
TEST(Pistachioctl, buildsRequestsOfTheOtherCommands)
{
    answer(200, R"({"accepted":true,"version":8,"diff":[]})");
    LONGS_EQUAL(0, run({"label", "endpoint", "e/1", "a=b,c", "x=y", "--remove", "p,q"}));
    STRCMP_EQUAL("/v1/labels/Endpoint/e%2F1", requests.at(0).target.c_str());
    STRCMP_EQUAL(R"({"set":{"a":"b,c","x":"y"},"remove":["p","q"]})", requests.at(0).body.c_str());
    LONGS_EQUAL(0, run({"patch", "service", "s", R"({"weight":2})", "--expected-version", "4"}));
    STRCMP_EQUAL("PATCH", requests.at(0).method.c_str());
    STRCMP_EQUAL("/v1/objects/DatabaseService/s?expected_version=4", requests.at(0).target.c_str());
    LONGS_EQUAL(0, run({"drain", "endpoint", "e1", "--dry-run"}));
    STRCMP_EQUAL("/v1/drain/endpoint/e1?dry_run=1", requests.at(0).target.c_str());
    LONGS_EQUAL(0, run({"explain", "s", "--zone", "z", "--labels", "a=b,c=d"}));
    STRCMP_EQUAL("/v1/explain?service=s&zone=z&labels=a%3Db%2Cc%3Dd",
                 requests.at(0).target.c_str());
}

// Guards against a wait that ends early, never ends, or hides that the daemon is unreachable.
TEST(Pistachioctl, waitPollsUntilInForceOrTimeout)
{
    const HttpResponse pending{200, R"({"in_force":false,"version":5,"waiting_for":["vm2"]})"};
    const HttpResponse done{200, R"({"in_force":true,"version":5,"waiting_for":[]})"};
    const HttpFailure lost{HttpFailure::Kind::Refused, false, "refused"};
    answers = {pending, lost, done};
    LONGS_EQUAL(0, run({"wait", "--in-force", "5"}));
    LONGS_EQUAL(3, requests.size());
    answers = {pending};
    LONGS_EQUAL(1, run({"wait", "--in-force", "5", "--timeout-ms", "1000"}));
    CHECK_TRUE(printed("vm2"));
    answers = {lost};
    LONGS_EQUAL(3, run({"wait", "--in-force", "5", "--timeout-ms", "1000"}));
    answer(403, "{}");
    LONGS_EQUAL(5, run({"wait", "--in-force", "5"}));
    LONGS_EQUAL(1, requests.size());
}

// Guards against an answer of the API that a table drops or that crashes the program.
TEST(Pistachioctl, printsTables)
{
    answer(200, R"({"kind":"Endpoint","items":[{"name":"e1","version":3,"object":
        {"service":"s","address":"127.0.0.1:1","labels":{"a":"b"}}}]})");
    LONGS_EQUAL(0, run({"list", "endpoint"}));
    CHECK_TRUE(printed("NAME  VERSION  SERVICE"));
    CHECK_TRUE(printed("e1    3        s"));
    CHECK_TRUE(printed("a=b"));
    answer(200, "{}");
    for (const char *command : {"get", "history"})
        LONGS_EQUAL(0, run({command, "endpoint", "e1"}));
    LONGS_EQUAL(0, run({"status"}));
    LONGS_EQUAL(0, run({"explain", "s"}));
    LONGS_EQUAL(0, run({"completion", "bash"}));
    CHECK_TRUE(printed("complete -o default -F _pistachioctl pistachioctl"));
    LONGS_EQUAL(0, run({"--help"}));
    CHECK_TRUE(printed("exit codes:"));
}

// Guards against a credential that is not sent, over a real connection.
TEST(Pistachioctl, clientSendsTheCredential)
{
    EventLoop loop;
    HttpServer server(loop, {},
                      [](const HttpRequest &request, const HttpServer::Responder &respond) {
                          respond({200, request.bearer + " " + request.target});
                      });
    CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
    std::thread thread([&loop] { loop.run(); });
    {
        ApiClient client({"127.0.0.1", server.port()}, "t0ken");
        const auto outcome = client.call({.target = "/v1/status"}, Milliseconds(5000));
        const auto *response = std::get_if<HttpResponse>(&outcome);
        CHECK_TRUE(response && response->body == "t0ken /v1/status");
    }
    loop.stop();
    thread.join();
}
