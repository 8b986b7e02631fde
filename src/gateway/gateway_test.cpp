#include "gateway/gateway_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const ServiceName service("orders-db");
const EndpointId primary("p");
const EndpointId replica("r");

SessionStatement makeStatement(Verb verb, const std::string &id = "q")
{
    return {.id = id, .verb = verb, .text = "text", .writes = verb == Verb::Write};
}

} // namespace

TEST_GROUP(Gateway)
{
    EventLoop loop;
    ManualClock clock;
    ScriptedEndpoints endpoints{loop};
    SeededRandom random{1};
    std::unique_ptr<Gateway> gateway = std::make_unique<Gateway>(loop, clock, random, endpoints);
    RecordingChannel channel;
    Gateway::SessionId session = 0;
    unsigned maxConnections = 12;

    std::shared_ptr<DeploymentView> makeView(std::uint64_t epoch,
                                             std::optional<EndpointId> primaryId)
    {
        auto view = std::make_shared<DeploymentView>();
        const auto addRoute = [&](const std::string &name, Consistency consistency) {
            view->routes[name] = {name, name, service, consistency, 400ms, 200ms, 1000ms, 1};
        };
        addRoute("strict", Consistency::Primary);
        addRoute("bounded", Consistency::BoundedStaleness);
        addRoute("own", Consistency::ReadYourWrites);
        ServiceView &entry = view->services[service];
        entry.name = service;
        entry.maxConnections = maxConnections;
        entry.endpoints = {{primary, {}, false, 1}, {replica, {}, false, 0}};
        entry.primary = primaryId;
        entry.primaryEpoch = epoch;
        entry.replacementInProgress = !primaryId;
        return view;
    }

    void open(const std::string &database)
    {
        gateway->setView(makeView(1, primary));
        gateway->permitPrimaries(clock.now() + 2s);
        session = openSession(*gateway, database, channel);
    }

    void openBeforePermission()
    {
        auto view = makeView(1, primary);
        view->configurationVersion = 1;
        gateway->setView(view);
        session = openSession(*gateway, "strict", channel);
    }

    // Runs the event loop for this real time. The manual clock of the gateway does not advance.
    void runLoopFor(Milliseconds time = 5ms)
    {
        loop.startTimer(time, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }

    StatementReply execute(const SessionStatement &statement, Milliseconds time = 5ms)
    {
        gateway->handleStatement(session, statement);
        runLoopFor(time);
        CHECK_FALSE(channel.replies.empty());
        return channel.replies.back();
    }

    std::size_t repliesAfter(const SessionStatement &statement, Milliseconds time = 5ms)
    {
        const std::size_t before = channel.replies.size();
        gateway->handleStatement(session, statement);
        runLoopFor(time);
        return channel.replies.size() - before;
    }

    // Makes the primary report its position, by a read of another session.
    void reportPrimaryPosition()
    {
        RecordingChannel other;
        const auto reader = openSession(*gateway, "strict", other);
        gateway->handleStatement(reader, makeStatement(Verb::Read));
        runLoopFor();
        gateway->closeSession(reader);
    }
};

// Guards against a reply that lacks the endpoint's signature.
TEST(Gateway, writeIsRelayedWithSignature)
{
    open("strict");
    const auto reply = execute(makeStatement(Verb::Write));
    CHECK_TRUE(reply.succeeded());
    CHECK_TRUE(reply.signature == "signed-p");
    LONGS_EQUAL(1, endpoints.countSent(Verb::Write));
}

// Guards against a write that runs twice because its answer was lost.
TEST(Gateway, writeWithLostAnswerIsUnknownAndNotSentAgain)
{
    open("strict");
    endpoints.silent.insert(primary);
    CHECK_TRUE(execute(makeStatement(Verb::Write), 450ms).failure == ReplyCode::Unknown);
    LONGS_EQUAL(1, endpoints.countSent(Verb::Write));
}

// Guards against a write that is reported as not executed because its connection broke before the
// reply.
TEST(Gateway, writeOnBrokenConnectionIsUnknown)
{
    open("strict");
    endpoints.silent.insert(primary);
    LONGS_EQUAL(0, repliesAfter(makeStatement(Verb::Write)));
    endpoints.breakConnections(primary);
    runLoopFor();
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Unknown);
}

// Guards against acknowledging a commit at a primary that may have been replaced: the reply arrives
// after the permission has expired.
TEST(Gateway, writeWaitsForRenewalOfExpiredPermission)
{
    open("strict");
    endpoints.silent.insert(primary);
    LONGS_EQUAL(0, repliesAfter(makeStatement(Verb::Write)));
    clock.advance(3s);
    endpoints.silent.clear();
    auto view = makeView(1, primary);
    gateway->setView(view);
    runLoopFor();
    LONGS_EQUAL(0, channel.replies.size());
}

// Guards against the use of a primary after the permission has expired.
TEST(Gateway, writeIsRefusedWhileNoPrimaryIsPermitted)
{
    open("strict");
    clock.advance(3s);
    CHECK_TRUE(execute(makeStatement(Verb::Write), 450ms).failure == ReplyCode::Busy);
    LONGS_EQUAL(0, endpoints.countSent(Verb::Write));
}

// Guards against statements that wait for a daemon that is cut off from the store instead of being
// refused at once. In one load test this delayed a third of the callers.
TEST(Gateway, statementIsRefusedAtOnceLongAfterPermissionExpired)
{
    open("strict");
    clock.advance(3s);
    LONGS_EQUAL(1, repliesAfter(makeStatement(Verb::Write)));
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Busy);
}

// Guards against refusals during a short gap between the expiry and the renewal of the permission.
TEST(Gateway, statementWaitsForRenewalOfJustExpiredPermission)
{
    open("strict");
    clock.advance(2100ms);
    LONGS_EQUAL(0, repliesAfter(makeStatement(Verb::Write)));
    gateway->permitPrimaries(clock.now() + 2s);
    runLoopFor();
    CHECK_TRUE(channel.replies.back().succeeded());
}

// Guards against statements that wait for a connection to an unreachable primary.
TEST(Gateway, statementIsRefusedAtOnceWhilePrimaryIsUnreachable)
{
    open("strict");
    endpoints.unreachable.insert(primary);
    execute(makeStatement(Verb::Write), 450ms);
    clock.advance(500ms);
    const std::size_t dials = endpoints.dials;
    LONGS_EQUAL(1, repliesAfter(makeStatement(Verb::Write)));
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Busy);
    LONGS_EQUAL(dials, endpoints.dials);
}

// Guards against a statement that waits for an endpoint for more than a quarter of its target
// latency while no replacement of the primary is in progress.
TEST(Gateway, waitingStatementIsRefusedAfterAQuarterOfTheTarget)
{
    open("strict");
    clock.advance(2100ms);
    LONGS_EQUAL(1, repliesAfter(makeStatement(Verb::Write), 100ms));
}

// Guards against acknowledging a commit at the old primary after a change of primary.
TEST(Gateway, commitDuringReplacementIsUnknown)
{
    open("strict");
    endpoints.silent.insert(primary);
    LONGS_EQUAL(0, repliesAfter(makeStatement(Verb::Write)));
    gateway->setView(makeView(2, replica));
    runLoopFor(450ms);
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Unknown);
}

// Guards against statements of one transaction on different connections.
TEST(Gateway, transactionStaysOnItsConnection)
{
    open("strict");
    CHECK_TRUE(execute(makeStatement(Verb::Begin)).phase == SessionPhase::InTransaction);
    execute(makeStatement(Verb::Write, "w1"));
    execute(makeStatement(Verb::Read, "r1"));
    const auto reply = execute(makeStatement(Verb::Commit, "c1"));
    CHECK_TRUE(reply.succeeded());
    CHECK_TRUE(reply.phase == SessionPhase::Idle);
    std::set<std::size_t> connections;
    for (const auto &sent : endpoints.sent)
        connections.insert(sent.connection);
    LONGS_EQUAL(1, connections.size());
    LONGS_EQUAL(1, endpoints.countSent(Verb::Begin));
}

// Guards against a write outside its transaction after the endpoint refused to begin it.
TEST(Gateway, writeIsNotSentAfterRefusedBegin)
{
    open("strict");
    endpoints.beginFailures[primary] = ReplyCode::ReadOnly;
    execute(makeStatement(Verb::Begin));
    const auto reply = execute(makeStatement(Verb::Write), 450ms);
    CHECK_FALSE(reply.succeeded());
    LONGS_EQUAL(0, endpoints.countSent(Verb::Write));
}

// Guards against a transaction that continues on a new connection without its first statements.
TEST(Gateway, lostConnectionAbortsTransaction)
{
    open("strict");
    execute(makeStatement(Verb::Begin));
    execute(makeStatement(Verb::Write));
    endpoints.breakConnections(primary);
    runLoopFor();
    CHECK_TRUE(execute(makeStatement(Verb::Read)).failure == ReplyCode::Aborted);
    CHECK_TRUE(channel.replies.back().phase == SessionPhase::Failed);
    CHECK_TRUE(execute(makeStatement(Verb::Read)).failure == ReplyCode::Malformed);
    CHECK_TRUE(execute(makeStatement(Verb::Commit)).failure == ReplyCode::Aborted);
    LONGS_EQUAL(0, endpoints.countSent(Verb::Commit));
}

// Guards against a commit that is reported as aborted although it may have been executed.
TEST(Gateway, commitWithLostAnswerIsUnknown)
{
    open("strict");
    execute(makeStatement(Verb::Begin));
    execute(makeStatement(Verb::Write));
    endpoints.silent.insert(primary);
    CHECK_TRUE(execute(makeStatement(Verb::Commit), 450ms).failure == ReplyCode::Unknown);
}

// Guards against a connection that is reused while the transaction of a closed session is open on
// it.
TEST(Gateway, transactionOfClosedSessionIsRolledBack)
{
    open("strict");
    execute(makeStatement(Verb::Begin));
    execute(makeStatement(Verb::Write));
    gateway->closeSession(session);
    runLoopFor();
    LONGS_EQUAL(1, endpoints.countSent(Verb::Rollback));
    session = openSession(*gateway, "strict", channel);
    CHECK_TRUE(execute(makeStatement(Verb::Read)).succeeded());
    LONGS_EQUAL(1, endpoints.dials);
}

// Guards against a statement that runs with the variables of another session.
TEST(Gateway, connectionIsResetBetweenSessions)
{
    open("strict");
    execute({.id = "s", .verb = Verb::Set, .name = "tz", .arguments = "utc"});
    execute(makeStatement(Verb::Read));
    LONGS_EQUAL(1, endpoints.countSent(Verb::Set));
    session = openSession(*gateway, "strict", channel);
    execute(makeStatement(Verb::Read));
    LONGS_EQUAL(1, endpoints.countSent(Verb::Reset));
}

// Guards against a read from a replica that lacks a commit of the same session.
TEST(Gateway, lastCommitIsRequiredOfReplica)
{
    open("own");
    endpoints.positions[primary] = 7;
    reportPrimaryPosition();
    execute(makeStatement(Verb::Write));
    clock.advance(1ms);
    execute(makeStatement(Verb::Read));
    const auto &last = endpoints.sent.back();
    const bool covered =
        last.endpoint == primary
        || (last.statement.minPosition && last.statement.minPosition->number == LogPosition(7));
    CHECK_TRUE(covered);
}

// Guards against a replica that gets no reads any more after it lagged once, as seen in a load
// test.
TEST(Gateway, replicaIsTriedAgainAfterItLagged)
{
    open("bounded");
    reportPrimaryPosition();
    endpoints.failures[replica] = ReplyCode::Lagging;
    CHECK_TRUE(execute(makeStatement(Verb::Read)).signature == "signed-p");
    endpoints.failures.clear();
    clock.advance(1s);
    gateway->permitPrimaries(clock.now() + 2s);
    reportPrimaryPosition();
    CHECK_TRUE(execute(makeStatement(Verb::Read)).signature == "signed-r");
}

// Guards against stale reads: without a recent position of the primary no replica may serve a read.
TEST(Gateway, readWithoutKnownPositionGoesToPrimary)
{
    open("bounded");
    endpoints.positions[primary] = 7;
    endpoints.positions[replica] = 7;
    // The first read waits for the position; the replica must have reached it.
    CHECK_TRUE(execute(makeStatement(Verb::Read)).signature == "signed-r");
    CHECK_TRUE(endpoints.sent.back().statement.minPosition
               == TermPosition(Term(1), LogPosition(7)));
    clock.advance(1500ms); // the known position is now older than the maximum staleness
    CHECK_TRUE(execute(makeStatement(Verb::Read)).signature == "signed-p");
}

// Guards against reads that fail although another endpoint can serve them.
TEST(Gateway, readMovesToAnotherEndpoint)
{
    open("bounded");
    reportPrimaryPosition();
    for (const ReplyCode code : {ReplyCode::Busy, ReplyCode::Failed, ReplyCode::Lagging}) {
        endpoints.failures[replica] = code;
        CHECK_TRUE(execute(makeStatement(Verb::Read)).signature == "signed-p");
    }
}

// Guards against executing a prepared statement on a connection where it was not prepared.
TEST(Gateway, preparedStatementIsPreparedOnEachConnection)
{
    open("strict");
    execute({.id = "a", .verb = Verb::Prepare, .name = "s1", .arguments = "READ x"});
    CHECK_TRUE(execute({.id = "b", .verb = Verb::Execute, .name = "s1"}).succeeded());
    LONGS_EQUAL(1, endpoints.countSent(Verb::Prepare));
    execute({.id = "c", .verb = Verb::Execute, .name = "s1"});
    LONGS_EQUAL(1, endpoints.countSent(Verb::Prepare));
    CHECK_TRUE(execute({.id = "d", .verb = Verb::Execute, .name = "other"}).failure
               == ReplyCode::NoStatement);
}

// Guards against queueing statements that would miss their target latency.
TEST(Gateway, overloadIsRefusedAtOnce)
{
    maxConnections = 3; // less 2 reserved ones: a share of one, and the borrowed connections
    open("strict");
    execute(makeStatement(Verb::Read));
    std::vector<RecordingChannel> channels(20);
    std::vector<Gateway::SessionId> sessions;
    sessions.reserve(channels.size());
    for (auto &other : channels)
        sessions.push_back(openSession(*gateway, "strict", other));
    endpoints.silent.insert(primary); // each statement that is sent keeps its connection
    for (std::size_t round = 0; round < 2; ++round) {
        for (const auto id : sessions)
            gateway->handleStatement(id, makeStatement(Verb::Read));
        runLoopFor();
    }
    for (const auto id : sessions)
        gateway->closeSession(id);
    runLoopFor();
    CHECK_TRUE(endpoints.countSent(Verb::Read) < 20);
}

// Guards against idle sessions that stay open during a drain, and against closing a session that is
// in a transaction.
TEST(Gateway, drainClosesIdleSessionsAndLetsTransactionsEnd)
{
    open("strict");
    execute(makeStatement(Verb::Begin));
    execute(makeStatement(Verb::Write));
    RecordingChannel idle;
    openSession(*gateway, "strict", idle);
    gateway->startDrain();
    CHECK_TRUE(idle.closed);
    CHECK_FALSE(channel.closed);
    CHECK_TRUE(execute(makeStatement(Verb::Commit)).succeeded());
    CHECK_TRUE(channel.closed);
}

// Guards against statements and sessions for a database whose route the configuration has dropped.
TEST(Gateway, droppedRouteIsRefusedForNextTransaction)
{
    open("strict");
    execute(makeStatement(Verb::Read));
    auto view = makeView(1, primary);
    view->routes.erase("strict");
    gateway->setView(view);
    CHECK_TRUE(execute(makeStatement(Verb::Read)).failure == ReplyCode::NoDatabase);
    const auto outcome = gateway->openSession({"strict", {}}, channel);
    CHECK_TRUE(std::get<SessionRefusal>(outcome).code == ReplyCode::NoDatabase);
}

// Guards against accepting a commit or rollback without an open transaction.
TEST(Gateway, endWithoutTransactionIsMalformed)
{
    open("strict");
    CHECK_TRUE(execute(makeStatement(Verb::Commit)).failure == ReplyCode::Malformed);
    CHECK_TRUE(execute(makeStatement(Verb::Rollback)).failure == ReplyCode::Malformed);
    CHECK_TRUE(execute(makeStatement(Verb::Malformed)).failure == ReplyCode::Malformed);
}

// Guards against idle connections that exhaust an endpoint: 89 daemons kept one each to an endpoint
// that accepts 72, and 3.3% of the statements were refused.
TEST(Gateway, idleConnectionIsClosedWhenDaemonsOutnumberConnections)
{
    auto view = makeView(1, primary);
    view->daemonCount = maxConnections;
    gateway->setProbing(false);
    gateway->setView(view);
    gateway->permitPrimaries(clock.now() + 2s);
    session = openSession(*gateway, "strict", channel);
    execute(makeStatement(Verb::Write));
    LONGS_EQUAL(1, endpoints.openConnections());
    clock.advance(400ms);
    gateway->start([](const std::vector<PrimaryReachability> &) {});
    runLoopFor();
    LONGS_EQUAL(0, endpoints.openConnections());
}

// Guards against refusing what waits for an endpoint that has too many connections for a moment:
// after the return of all daemons 2,147 statements were refused within 2 s for this reason.
TEST(Gateway, statementOutwaitsTooManyConnections)
{
    open("strict");
    endpoints.maxConnections = 0;
    LONGS_EQUAL(0, repliesAfter(makeStatement(Verb::Write), 20ms));
    endpoints.maxConnections = 1;
    clock.advance(200ms);
    runLoopFor(150ms);
    LONGS_EQUAL(1, channel.replies.size());
    CHECK_TRUE(channel.replies.back().succeeded());
}

// Guards against reads that all queue at the primary after a restart because its position, which a
// replica must have reached, is not known yet.
TEST(Gateway, firstReadsWaitForThePositionAndUseReplicas)
{
    open("bounded");
    std::vector<RecordingChannel> channels(10);
    std::vector<Gateway::SessionId> sessions;
    sessions.reserve(channels.size());
    for (auto &other : channels) {
        sessions.push_back(openSession(*gateway, "bounded", other));
        gateway->handleStatement(sessions.back(), makeStatement(Verb::Read));
    }
    runLoopFor(30ms);
    LONGS_EQUAL(1, endpoints.countSent(Verb::Status));
    for (const auto &other : channels)
        CHECK_TRUE(other.replies.size() == 1 && other.replies.front().signature == "signed-r");
    for (const auto id : sessions)
        gateway->closeSession(id);
}

// Guards against reads that wait until their deadline for a primary whose position does not come.
// The time limit is 400 ms.
TEST(Gateway, readDoesNotWaitLongForThePosition)
{
    open("bounded");
    endpoints.silentDials.insert(primary);
    gateway->handleStatement(session, makeStatement(Verb::Read));
    runLoopFor();
    LONGS_EQUAL(0, channel.replies.size());
    clock.advance(301ms);
    runLoopFor(80ms);
    gateway->start([](const std::vector<PrimaryReachability> &) {});
    runLoopFor(20ms);
    LONGS_EQUAL(1, channel.replies.size());
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Busy);
}

// Guards against reads that wait a second for the handshake of an endpoint that is cut off while
// another one can serve them.
TEST(Gateway, readLeavesEndpointThatDoesNotAnswerHandshakes)
{
    open("bounded");
    reportPrimaryPosition();
    endpoints.silentDials.insert(replica);
    gateway->handleStatement(session, makeStatement(Verb::Read));
    runLoopFor();
    LONGS_EQUAL(0, channel.replies.size());
    clock.advance(260ms);
    gateway->start([](const std::vector<PrimaryReachability> &) {});
    runLoopFor(20ms);
    LONGS_EQUAL(1, channel.replies.size());
    CHECK_TRUE(channel.replies.back().signature == "signed-p");
}

// Guards against a started daemon that refuses everything until its first permission arrives: after
// a stop of all daemons 2,194 statements were refused without a wait.
TEST(Gateway, statementWaitsForTheFirstPermissionAfterTheStart)
{
    openBeforePermission();
    clock.advance(400ms);
    LONGS_EQUAL(0, repliesAfter(makeStatement(Verb::Write)));
    gateway->permitPrimaries(clock.now() + 2s);
    runLoopFor();
    LONGS_EQUAL(1, channel.replies.size());
    CHECK_TRUE(channel.replies.back().succeeded());
}

// Guards against waiting for a permission that does not come, although another daemon may serve the
// caller.
TEST(Gateway, startedDaemonWithoutPermissionRefusesAtOnceAfterAWhile)
{
    openBeforePermission();
    clock.advance(1600ms);
    LONGS_EQUAL(1, repliesAfter(makeStatement(Verb::Write)));
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Busy);
}

// Guards against a planned stop that cuts the statements which still run at its end: their callers
// learn what is known of them.
TEST(Gateway, runningStatementsAreAnsweredAtTheEndOfAPlannedStop)
{
    open("strict");
    endpoints.silent.insert(primary);
    LONGS_EQUAL(0, repliesAfter(makeStatement(Verb::Write)));
    RecordingChannel waitingChannel;
    endpoints.silentDials.insert(primary);
    const auto waiting = openSession(*gateway, "strict", waitingChannel);
    gateway->handleStatement(waiting, makeStatement(Verb::Write));
    runLoopFor();
    gateway->startDrain();
    gateway->abandonStatements();
    LONGS_EQUAL(1, channel.replies.size());
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Unknown);
    CHECK_TRUE(channel.closed);
    LONGS_EQUAL(1, waitingChannel.replies.size());
    CHECK_TRUE(waitingChannel.replies.back().failure == ReplyCode::Busy);
    LONGS_EQUAL(1, endpoints.countSent(Verb::Write));
    gateway->closeSession(waiting);
}

// Guards against a write that is reported as not executed on the word of an endpoint whose code
// does not say so.
TEST(Gateway, writeWithUnexpectedCodeIsUnknown)
{
    open("strict");
    for (const ReplyCode code :
         {ReplyCode::Aborted, ReplyCode::Misrouted, ReplyCode::TooManyConnections}) {
        endpoints.failures[primary] = code;
        CHECK_TRUE(execute(makeStatement(Verb::Write)).failure == ReplyCode::Unknown);
    }
}

// Guards against statements that are cut at the end of a planned stop because they were queued
// behind another one.
TEST(Gateway, queuedStatementsAreAnsweredAtTheEndOfAPlannedStop)
{
    open("strict");
    endpoints.silent.insert(primary);
    gateway->handleStatement(session, makeStatement(Verb::Write));
    gateway->handleStatement(session, makeStatement(Verb::Read, "q2"));
    runLoopFor();
    gateway->abandonStatements();
    LONGS_EQUAL(2, channel.replies.size());
    CHECK_TRUE(channel.replies.front().failure == ReplyCode::Unknown);
    CHECK_TRUE(channel.replies.back().failure == ReplyCode::Aborted);
}
