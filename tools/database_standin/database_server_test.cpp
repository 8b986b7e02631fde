#include "base/json.h"
#include "database_standin/database_server.h"
#include "database_standin/endpoint_wire.h"
#include "net/http.h"

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace pistachiowood::standin;
namespace json = boost::json;

namespace {

constexpr Milliseconds patience{5000};

DatabaseOptions fastOptions(const std::string &id)
{
    DatabaseOptions options;
    options.id = EndpointId(id);
    options.connectCost = Milliseconds(0);
    options.statementCost = Milliseconds(0);
    options.fetchWait = Milliseconds(20);
    return options;
}

std::string statement(const char *rest)
{
    return std::string(R"({"term":1,)") + rest + "}";
}

} // namespace

TEST_GROUP(DatabaseServer)
{
    EventLoop loop;
    SteadyClock clock;

    struct Answered
    {
        unsigned status = 0;
        json::object body;
        std::string code() const
        {
            return body.contains("error") ? std::string(body.at("error").at("code").as_string())
                                          : std::string();
        }
    };

    std::unique_ptr<HttpConnection> connect(const DatabaseServer &server)
    {
        return std::make_unique<HttpConnection>(loop, SocketAddress{"127.0.0.1", server.port()});
    }

    Answered send(HttpConnection & connection, const std::string &target, const std::string &body)
    {
        HttpOutcome result;
        connection.send({.method = body.empty() ? "GET" : "POST", .target = target, .body = body},
                        patience, [&](HttpOutcome outcome) {
                            result = std::move(outcome);
                            loop.stop();
                        });
        EventLoop &running = loop;
        running.run();
        const auto &response = std::get<HttpResponse>(result);
        const auto parsed = capture([&] { return parseJsonObject(response.body); });
        Answered answered{response.status, std::get<json::object>(parsed)};
        for (const char *field : {"term", "position", "last_entry_term", "role", "age_ms"})
            CHECK_TEXT(answered.body.contains(field), field);
        return answered;
    }

    std::unique_ptr<DatabaseServer> startPrimary(DatabaseOptions options)
    {
        auto server = std::make_unique<DatabaseServer>(loop, clock, std::move(options));
        CHECK_TRUE(!!server->listen());
        const auto connection = connect(*server);
        CHECK_EQUAL(200,
                    send(*connection, "/v1/raise_term", R"({"term":1,"promoter":"p"})").status);
        CHECK_EQUAL(200, send(*connection, "/v1/promote", R"({"term":1,"promoter":"p"})").status);
        return server;
    }
};

// Guards against malformed input that stops the process or gets no clear answer.
TEST(DatabaseServer, refusesBadInput)
{
    const auto server = startPrimary(fastOptions("a"));
    const auto connection = connect(*server);
    for (const char *body :
         {"x", "[]", "{}", R"({"term":-1})", R"({"term":1,"kind":"read","statement":7})",
          R"({"term":1,"kind":"read","statement":{"op":"put","key":"k","value":1}})",
          R"({"term":1,"kind":"write","statement":{"op":"put","key":"k"}})"}) {
        const auto answered = send(*connection, "/v1/statements", body);
        CHECK_EQUAL(400, answered.status);
        CHECK_EQUAL(std::string("invalid_argument"), answered.code());
    }
    CHECK_EQUAL(400, send(*connection, "/v1/position?term=1&above=x&wait_ms=0", "").status);
    const std::string follow = R"({"term":2,"primary":"b","primary_address":)";
    for (const char *address : {R"("host:1")", R"("127.0.0.1")", R"("127.0.0.1:0")", R"("")"})
        CHECK_EQUAL(400, send(*connection, "/v1/follow", follow + address + "}").status);
    CHECK_EQUAL(404, send(*connection, "/v1/unknown", "").status);
}

// Guards against a pool that exceeds its share, and against probes that take a connection.
TEST(DatabaseServer, refusesTooManyConnections)
{
    auto options = fastOptions("a");
    options.maxConnections = 1;
    const auto server = startPrimary(options);
    const std::string read = statement(R"("kind":"read","statement":{"op":"get","key":"k"})");
    auto first = connect(*server);
    const auto second = connect(*server);
    CHECK_EQUAL(200, send(*first, "/v1/statements", read).status);
    const auto refused = send(*second, "/v1/statements", read);
    CHECK_EQUAL(503, refused.status);
    CHECK_EQUAL(std::string("too_many_connections"), refused.code());
    CHECK_TRUE(send(*second, "/v1/status", "").body.at("connections") == 1);
    first.reset();
    send(*second, "/v1/position?term=1&above=1&wait_ms=20", ""); // lets the server see the close
    CHECK_EQUAL(200, send(*second, "/v1/statements", read).status);
}

// Guards against a transaction that outlives its connection.
TEST(DatabaseServer, closeRollsBack)
{
    const auto server = startPrimary(fastOptions("a"));
    auto first = connect(*server);
    const auto second = connect(*server);
    CHECK_EQUAL(200, send(*first, "/v1/transactions/begin", R"({"term":1})").status);
    const auto write = statement(
        R"("kind":"write","transaction":true,"statement":{"op":"put","key":"k","value":1})");
    CHECK_EQUAL(200, send(*first, "/v1/statements", write).status);
    const auto crossed = send(*second, "/v1/transactions/commit", R"({"term":1})");
    CHECK_EQUAL(std::string("transaction_lost"), crossed.code());
    first.reset();
    const auto position = send(*second, "/v1/position?term=1&above=1&wait_ms=50", "");
    CHECK_TRUE(position.body.at("position") == 1); // the entry of the promotion
    CHECK_TRUE(send(*second, "/v1/status", "").body.at("connections") == 1);
}

// Guards against lost or altered entries and against replicas that never learn their age.
TEST(DatabaseServer, replicaFollowsPrimary)
{
    const auto primary = startPrimary(fastOptions("a"));
    auto options = fastOptions("b");
    options.replicationDelay = Milliseconds(30);
    DatabaseServer replica(loop, clock, options);
    CHECK_TRUE(!!replica.listen());
    const auto toPrimary = connect(*primary);
    const auto toReplica = connect(replica);
    const std::string address = "127.0.0.1:" + std::to_string(primary->port());
    send(*toReplica, "/v1/follow",
         R"({"term":1,"primary":"a","primary_address":")" + address + "\"}");
    for (int value = 0; value < 3; ++value)
        send(*toPrimary, "/v1/statements",
             statement(R"("kind":"write","statement":{"op":"append","key":"k","value":"\"x"})"));
    const auto caughtUp = send(*toReplica, "/v1/position?term=1&above=3&wait_ms=3000", "");
    CHECK_TRUE(caughtUp.body.at("position") == 4); // the promotion and three writes
    CHECK_TRUE(caughtUp.body.at("matched").as_bool());
    const auto read = send(*toReplica, "/v1/statements",
                           statement(R"("kind":"read","statement":{"op":"get","key":"k"})"));
    CHECK_EQUAL(std::string(R"(["\"x","\"x","\"x"])"), json::serialize(read.body.at("result")));
    CHECK_TRUE(read.body.at("age_ms").as_int64() >= 30);
    CHECK_TRUE(read.body.at("age_ms").as_int64() < patience.count());
    send(*toReplica, "/standin/faults", R"({"freeze_replication":true})");
    send(*toPrimary, "/v1/requests/resolve", R"({"term":1,"request_id":"r"})");
    const auto frozen = send(*toReplica, "/v1/position?term=1&above=4&wait_ms=200", "");
    CHECK_TRUE(frozen.body.at("position") == 4);
    send(*toReplica, "/standin/faults", R"({"freeze_replication":false})");
    const auto thawed = send(*toReplica, "/v1/position?term=1&above=4&wait_ms=3000", "");
    CHECK_TRUE(thawed.body.at("position") == 5);
}

// Guards against a follower that stays without its primary when the primary gains another term.
TEST(DatabaseServer, samePrimaryIsFollowedAgainAfterRaiseTerm)
{
    const auto primary = startPrimary(fastOptions("a"));
    DatabaseServer replica(loop, clock, fastOptions("b"));
    CHECK_TRUE(!!replica.listen());
    const auto toPrimary = connect(*primary);
    const auto toReplica = connect(replica);
    const std::string address = "127.0.0.1:" + std::to_string(primary->port());
    send(*toReplica, "/v1/follow",
         R"({"term":1,"primary":"a","primary_address":")" + address + "\"}");
    send(*toReplica, "/v1/position?term=1&above=0&wait_ms=3000", "");
    for (const auto *connection : {&toPrimary, &toReplica})
        send(**connection, "/v1/raise_term", R"({"term":2,"promoter":"p"})");
    send(*toPrimary, "/v1/promote", R"({"term":2,"promoter":"p"})");
    send(*toReplica, "/v1/follow",
         R"({"term":2,"primary":"a","primary_address":")" + address + "\"}");
    const auto caughtUp = send(*toReplica, "/v1/position?term=2&above=1&wait_ms=3000", "");
    CHECK_TRUE(caughtUp.body.at("position") == 2); // one entry for each promotion
    CHECK_TRUE(caughtUp.body.at("matched").as_bool());
}

// Guards against a promotion after which nothing becomes durable before the first write: the entry
// without operations must pass the replication encoding.
TEST(DatabaseServer, followerReachesNewTermWithoutStatements)
{
    const auto primary = startPrimary(fastOptions("a"));
    DatabaseServer replica(loop, clock, fastOptions("b"));
    CHECK_TRUE(!!replica.listen());
    const auto toPrimary = connect(*primary);
    const auto toReplica = connect(replica);
    const auto follow = [&](std::uint64_t term) {
        const json::object body{
            {"term", term},
            {"primary", "a"},
            {"primary_address", "127.0.0.1:" + std::to_string(primary->port())}};
        CHECK_EQUAL(200, send(*toReplica, "/v1/follow", json::serialize(body)).status);
    };
    follow(1);
    const auto first = send(*toReplica, "/v1/position?term=1&above=0&wait_ms=3000", "");
    CHECK_TRUE(first.body.at("position") == 1);
    CHECK_TRUE(first.body.at("last_entry_term") == 1);
    const std::string grant = R"({"term":2,"promoter":"p"})";
    CHECK_EQUAL(200, send(*toPrimary, "/v1/raise_term", grant).status);
    CHECK_EQUAL(200, send(*toPrimary, "/v1/promote", grant).status);
    follow(2);
    const auto second = send(*toReplica, "/v1/position?term=2&above=1&wait_ms=3000", "");
    CHECK_TRUE(second.body.at("position") == 2);
    CHECK_TRUE(second.body.at("last_entry_term") == 2);
    CHECK_TRUE(second.body.at("matched").as_bool());
    const auto count = send(*toReplica, "/v1/statements",
                            R"({"term":2,"kind":"read","statement":{"op":"count"}})");
    CHECK_TRUE(count.body.at("result") == 0);
}

// Guards against a promoter that has to ask again for the history on which it bases its decision.
TEST(DatabaseServer, termRequestsAnswerWithStatus)
{
    const auto server = startPrimary(fastOptions("a"));
    const auto connection = connect(*server);
    const auto checkStatus = [](const Answered &answered, const char *promoter,
                                const char *history) {
        CHECK_EQUAL(200, answered.status);
        CHECK_EQUAL(std::string("a"), std::string(answered.body.at("id").as_string()));
        CHECK_EQUAL(std::string(promoter), std::string(answered.body.at("promoter").as_string()));
        CHECK_EQUAL(std::string(history), json::serialize(answered.body.at("history")));
        for (const char *field : {"primary_contact_ms", "connections", "running"})
            CHECK_TEXT(answered.body.contains(field), field);
    };
    const char *oneTerm = R"([{"term":1,"start":0}])";
    const char *twoTerms = R"([{"term":1,"start":0},{"term":2,"start":1}])";
    const std::string grant = R"({"term":2,"promoter":"q"})";
    const auto refused = send(*connection, "/v1/raise_term", R"({"term":1,"promoter":"q"})");
    checkStatus(refused, "p", oneTerm);
    CHECK_FALSE(refused.body.at("granted").as_bool());
    const auto granted = send(*connection, "/v1/raise_term", grant);
    checkStatus(granted, "q", oneTerm);
    CHECK_TRUE(granted.body.at("granted").as_bool());
    CHECK_TRUE(granted.body.at("position") == 1);
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto promoted = send(*connection, "/v1/promote", grant);
        checkStatus(promoted, "q", twoTerms);
        CHECK_TRUE(promoted.body.at("position") == 2);
        CHECK_TRUE(promoted.body.at("last_entry_term") == 2);
    }
    const auto follows = send(*connection, "/v1/follow",
                              R"({"term":3,"primary":"b","primary_address":"127.0.0.1:1"})");
    checkStatus(follows, "", twoTerms);
}

// Guards against statements that run without a slot, which would hide overload.
TEST(DatabaseServer, excessStatementsQueue)
{
    auto options = fastOptions("a");
    options.slots = 1;
    options.statementCost = Milliseconds(40);
    const auto server = startPrimary(options);
    const HttpRequest read{.method = "POST",
                           .target = "/v1/statements",
                           .body =
                               statement(R"("kind":"read","statement":{"op":"get","key":"k"})")};
    const auto first = connect(*server);
    const auto second = connect(*server);
    const TimePoint start = clock.now();
    int answers = 0;
    for (HttpConnection *connection : {first.get(), second.get()})
        connection->send(read, patience, [&](const HttpOutcome &) {
            if (++answers == 2)
                loop.stop();
        });
    EventLoop &running = loop;
    running.run();
    CHECK_TRUE(clock.now() - start >= Milliseconds(80));
}
