#include "gateway/gateway_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const ServiceName service("orders-db");
const EndpointId primary("p");

SessionStatement makeStatement(Verb verb, const std::string &id = "q")
{
    return {.id = id, .verb = verb, .text = "text", .writes = verb == Verb::Write};
}

struct CustomerKeys
{
    std::string customer;
    std::vector<std::string> keys;
};

std::shared_ptr<const CustomerDirectory> makeDirectory(const std::vector<CustomerKeys> &entries)
{
    std::vector<Customer> customers;
    for (const CustomerKeys &entry : entries)
        customers.push_back({CustomerName(entry.customer), entry.keys, 0, std::nullopt});
    return std::get<std::shared_ptr<const CustomerDirectory>>(
        capture([&] { return CustomerDirectory::build(std::move(customers)); }));
}

} // namespace

TEST_GROUP(CustomerSessions)
{
    EventLoop loop;
    ManualClock clock;
    ScriptedEndpoints endpoints{loop};
    SeededRandom random{1};
    Gateway gateway{loop, clock, random, endpoints};
    RecordingChannel channel;
    Gateway::SessionId session = 0;
    unsigned maxConnections = 12;
    bool isPublic = false; ///< of the route "strict"

    // Replaces the view by one with these customers.
    void configure(std::shared_ptr<const CustomerDirectory> customers)
    {
        auto view = std::make_shared<DeploymentView>();
        view->configurationVersion = 1;
        for (const std::string name : {"strict", "open"})
            view->routes[name] = {name, name, service, Consistency::Primary, 400ms, 200ms};
        view->routes["strict"].isPublic = isPublic;
        view->routes["open"].isPublic = true;
        ServiceView &entry = view->services[service];
        entry = {service, maxConnections, {{primary}}, primary, 1};
        view->customers = std::move(customers);
        gateway.setView(view);
        gateway.permitPrimaries(clock.now() + 2s);
    }

    void configure(const std::vector<CustomerKeys> &entries)
    {
        configure(makeDirectory(entries));
    }

    // Runs the event loop for this real time. The manual clock of the gateway does not advance.
    void runLoopFor(Milliseconds time = 5ms)
    {
        loop.startTimer(time, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }

    StatementReply execute(const SessionStatement &statement)
    {
        channel.replies.clear(); // an earlier reply must not pass for this one
        gateway.handleStatement(session, statement);
        runLoopFor();
        CHECK_FALSE(channel.replies.empty());
        return channel.replies.back();
    }

    // Opens a session, runs one read in it and keeps it open.
    void readAs(const std::string &key, const std::string &database = "strict")
    {
        gateway.handleStatement(openSession(gateway, database, channel, key),
                                makeStatement(Verb::Read));
        runLoopFor();
        CHECK_TRUE(channel.replies.back().succeeded());
    }

    // The refusal of a START; nullopt if it is accepted.
    std::optional<ReplyCode> refusalOf(const std::string &database, const std::string &key)
    {
        RecordingChannel other;
        const auto outcome = gateway.openSession({database, key}, other);
        if (const auto *refusal = std::get_if<SessionRefusal>(&outcome))
            return refusal->code;
        gateway.closeSession(std::get<Gateway::SessionId>(outcome));
        return std::nullopt;
    }

    void openWithTransaction()
    {
        configure({{"miny", {"k1"}}});
        session = openSession(gateway, "strict", channel, "k1");
        execute(makeStatement(Verb::Begin));
        CHECK_TRUE(execute(makeStatement(Verb::Write)).succeeded());
    }
};

// Guards against callers that are served without a key of a customer.
TEST(CustomerSessions, sessionsNeedAKeyUnlessTheRouteIsPublic)
{
    configure({{"miny", {"k1"}}});
    CHECK_FALSE(refusalOf("strict", "k1").has_value());
    CHECK_TRUE(refusalOf("strict", "") == ReplyCode::NotAuthorized);
    CHECK_TRUE(refusalOf("strict", "k2") == ReplyCode::NotAuthorized);
    CHECK_TRUE(refusalOf("unknown", "k2") == ReplyCode::NoDatabase);
    CHECK_FALSE(refusalOf("open", "").has_value());
    CHECK_FALSE(refusalOf("open", "k2").has_value());
    configure(std::vector<CustomerKeys>{});
    CHECK_TRUE(refusalOf("strict", "k1") == ReplyCode::NotAuthorized);
    configure(nullptr);
    CHECK_FALSE(refusalOf("strict", "").has_value());
}

// Guards against endpoints that are told another customer than the session's, and against a
// connection that serves the sessions of two customers.
TEST(CustomerSessions, connectionsServeOneCustomer)
{
    configure({{"miny", {"k1", "k2"}}, {"ores", {"k3"}}});
    clock.advance(4s); // the share of a daemon that just started is halved
    gateway.permitPrimaries(clock.now() + 2s);
    readAs("k1");
    readAs("k3");
    readAs("", "open");
    readAs("k3", "open");
    readAs("k2");
    CHECK_TRUE(endpoints.customers == std::vector<std::string>({"miny", "ores", ""}));
}

// Guards against a withdrawn key that still serves an idle session, and against ending those of
// other keys.
TEST(CustomerSessions, withdrawnKeyClosesIdleSessions)
{
    configure({{"miny", {"k1", "k2"}}});
    RecordingChannel other;
    openSession(gateway, "strict", channel, "k1");
    openSession(gateway, "strict", other, "k2");
    configure({{"miny", {"k2", "k3"}}});
    CHECK_TRUE(channel.closed);
    CHECK_FALSE(other.closed);
    CHECK_TRUE(refusalOf("strict", "k1") == ReplyCode::NotAuthorized);
    CHECK_FALSE(refusalOf("strict", "k3").has_value());
}

// Guards against a session that goes on for its former customer after its key has moved, for a
// customer that is gone, or on a route that is no longer public.
TEST(CustomerSessions, movedKeysLostCustomersAndClosedRoutesEndSessions)
{
    configure({{"miny", {"k1"}}, {"ores", {"k2"}}});
    openSession(gateway, "strict", channel, "k1");
    configure({{"miny", {}}, {"ores", {"k2", "k1"}}});
    CHECK_TRUE(channel.closed);

    channel.closed = false;
    openSession(gateway, "strict", channel, "k2");
    configure({{"miny", {"k1"}}});
    CHECK_TRUE(channel.closed);

    channel.closed = false;
    isPublic = true;
    configure({{"miny", {"k1"}}});
    openSession(gateway, "strict", channel);
    isPublic = false;
    configure({{"miny", {"k1"}}});
    CHECK_TRUE(channel.closed);
}

// Guards against a statement that is cut, and against further ones that run, after the key was
// withdrawn.
TEST(CustomerSessions, runningStatementOfWithdrawnKeyIsAnsweredAndQueuedOnesAreNotRun)
{
    configure({{"miny", {"k1"}}});
    session = openSession(gateway, "strict", channel, "k1");
    gateway.handleStatement(session, makeStatement(Verb::Write));
    gateway.handleStatement(session, makeStatement(Verb::Write, "q2"));
    configure(std::vector<CustomerKeys>{});
    CHECK_FALSE(channel.closed);
    runLoopFor();
    LONGS_EQUAL(2, channel.replies.size());
    CHECK_TRUE(channel.replies.front().succeeded());
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Aborted);
    CHECK_TRUE(channel.closed);
    LONGS_EQUAL(1, endpoints.countSent(Verb::Write));
}

// Guards against a transaction that is kept although its caller is told ABORTED.
TEST(CustomerSessions, openTransactionOfWithdrawnKeyIsRolledBackAndAborted)
{
    openWithTransaction();
    configure(std::vector<CustomerKeys>{});
    CHECK_FALSE(channel.closed);
    runLoopFor();
    LONGS_EQUAL(1, endpoints.countSent(Verb::Rollback));
    CHECK_TRUE(execute(makeStatement(Verb::Commit)).failure == ReplyCode::Aborted);
    CHECK_TRUE(channel.closed);
    LONGS_EQUAL(0, endpoints.countSent(Verb::Commit));
}

// Guards against the answer of a commit that is lost or turned into ABORTED because the key was
// withdrawn while it ran.
TEST(CustomerSessions, commitThatWasSentIsAnswered)
{
    openWithTransaction();
    gateway.handleStatement(session, makeStatement(Verb::Commit));
    configure(std::vector<CustomerKeys>{});
    runLoopFor();
    CHECK_TRUE(channel.replies.back().succeeded());
    CHECK_TRUE(channel.closed);
}

// Guards against a withdrawn session that stays open because its caller sends nothing more.
TEST(CustomerSessions, idleTransactionOfWithdrawnKeyIsClosed)
{
    openWithTransaction();
    configure(std::vector<CustomerKeys>{});
    clock.advance(3100ms);
    gateway.start([](const std::vector<PrimaryReachability> &) {});
    CHECK_TRUE(channel.closed);
}

// Guards against a statement that waits until its deadline while idle connections of other
// customers take the daemon's share. The one that has been idle longest makes room.
TEST(CustomerSessions, longestIdleConnectionOfOthersMakesRoom)
{
    maxConnections = 6; // a share of four, half of it right after the start
    configure({{"miny", {"k1"}}, {"ores", {"k2"}}, {"tin", {"k3"}}});
    readAs("k1");
    clock.advance(1ms);
    readAs("k2");
    clock.advance(1ms);
    readAs("k3");
    LONGS_EQUAL(2, endpoints.openConnections());
    LONGS_EQUAL(3, endpoints.dials);
    readAs("k2"); // still has its connection
    LONGS_EQUAL(3, endpoints.dials);
}

// Guards against a statement that waits behind one of another customer although a connection of its
// own customer is idle.
TEST(CustomerSessions, idleConnectionServesItsCustomerBeforeOthersThatWait)
{
    maxConnections = 4; // a share of two, half of it right after the start
    configure({{"miny", {"k1"}}, {"ores", {"k2"}}});
    readAs("k1");
    endpoints.silentDials.insert(primary);
    RecordingChannel other;
    const auto waiting = openSession(gateway, "strict", other, "k2");
    session = openSession(gateway, "strict", channel, "k1");
    gateway.handleStatement(waiting, makeStatement(Verb::Read));
    CHECK_TRUE(execute(makeStatement(Verb::Read)).succeeded());
    LONGS_EQUAL(0, other.replies.size());
    gateway.closeSession(waiting);
}

// Guards against a customer that never gets a connection while another one uses the whole share.
TEST(CustomerSessions, customerWithoutConnectionIsServedWhileAnotherUsesTheShare)
{
    maxConnections = 3; // a share of one
    configure({{"miny", {"k1"}}, {"ores", {"k2"}}});
    session = openSession(gateway, "strict", channel, "k1");
    execute(makeStatement(Verb::Begin));
    execute(makeStatement(Verb::Read));
    RecordingChannel next;
    const auto second = openSession(gateway, "strict", next, "k1");
    RecordingChannel other;
    const auto waiting = openSession(gateway, "strict", other, "k2");
    gateway.handleStatement(waiting, makeStatement(Verb::Read));
    gateway.handleStatement(second, makeStatement(Verb::Read));
    clock.advance(60ms);
    execute(makeStatement(Verb::Commit));
    runLoopFor();
    LONGS_EQUAL(1, other.replies.size());
    CHECK_TRUE(other.replies.front().succeeded());
    gateway.closeSession(waiting);
    gateway.closeSession(second);
}

// Guards against status queries that open connections beside those of customers.
TEST(CustomerSessions, statusQueriesUseAnyConnection)
{
    configure({{"miny", {"k1"}}});
    readAs("k1");
    gateway.queryStatus(service, primary, {.verb = Verb::Status}, 400ms, [](const auto &) {});
    runLoopFor();
    LONGS_EQUAL(1, endpoints.countSent(Verb::Status));
    LONGS_EQUAL(1, endpoints.dials);
}

// Guards against a key that reaches an endpoint.
TEST(CustomerSessions, keysAreNotSentToEndpoints)
{
    configure({{"miny", {"sEcr3t"}}});
    session = openSession(gateway, "strict", channel, "sEcr3t");
    execute(makeStatement(Verb::Begin));
    execute({.id = "s", .verb = Verb::Set, .name = "tz", .arguments = "utc"});
    execute(makeStatement(Verb::Write));
    execute(makeStatement(Verb::Commit));
    for (const std::string &customer : endpoints.customers)
        CHECK_TRUE(customer.find("sEcr3t") == std::string::npos);
    for (const auto &[endpoint, connection, statement] : endpoints.sent) {
        for (const std::string &text :
             {statement.id, statement.name, statement.arguments, statement.text})
            CHECK_TRUE(text.find("sEcr3t") == std::string::npos);
    }
}

TEST_GROUP(SessionRefusals){};

// Guards against a caller that fills the log by trying again all the time.
TEST(SessionRefusals, onlyTheFirstOfEachSecondAreLogged)
{
    SessionRefusals refusals;
    TimePoint now{10s};
    unsigned logged = 0;
    for (int i = 0; i < 2000; ++i, now += 1ms)
        logged += refusals.record(SessionRefusals::Reason::UnknownKey, now) ? 1 : 0;
    LONGS_EQUAL(10, logged);
    LONGS_EQUAL(2000, refusals.count(SessionRefusals::Reason::UnknownKey));
}
