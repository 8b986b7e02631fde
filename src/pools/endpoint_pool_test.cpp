#include "pools/endpoint_pool.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(EndpointPool)
{
    ManualClock clock;
    PoolLimits limits{.slots = 2, .maxConnections = 8};
    EndpointPool pool{limits, clock};
    std::uint64_t lastTicket = 0;
    std::vector<ConnectionId> opened, closed, expired;
    std::map<Ticket, ConnectionId> started;
    std::map<Ticket, ErrorCode> rejected;

    /// Takes and records all commands; if connect is true, every connect succeeds immediately.
    void pump(bool connect = true)
    {
        for (auto commands = pool.takeCommands(); !commands.empty();
             commands = pool.takeCommands()) {
            for (const PoolCommand &command : commands) {
                if (const auto *open = std::get_if<OpenConnection>(&command)) {
                    opened.push_back(open->id);
                    if (connect)
                        pool.handleConnected(open->id);
                } else if (const auto *close = std::get_if<CloseConnection>(&command)) {
                    closed.push_back(close->id);
                } else if (const auto *start = std::get_if<StartStatement>(&command)) {
                    started[start->ticket] = start->id;
                } else if (const auto *reject = std::get_if<RejectStatement>(&command)) {
                    rejected[reject->ticket] = reject->error.code;
                } else {
                    expired.push_back(std::get<TransactionExpired>(command).id);
                }
            }
        }
    }
    Ticket submit(bool forTransaction = false, Milliseconds remaining = 60000ms)
    {
        const Ticket ticket(++lastTicket);
        pool.submit({ticket, TeamName("t"), 1, "s", clock.now() + remaining, forTransaction});
        return ticket;
    }
    Ticket submitPinned(ConnectionId id)
    {
        const Ticket ticket(++lastTicket);
        pool.submitPinned(id, ticket, clock.now() + 60000ms);
        return ticket;
    }
    /// Opens a transaction and returns its connection.
    ConnectionId beginTransaction()
    {
        const Ticket ticket = submit(true);
        pump();
        CHECK_TRUE(started.contains(ticket));
        pool.finish(started[ticket], ConnectionDisposition::KeepPinned);
        return started[ticket];
    }
    void wait(Milliseconds time)
    {
        clock.advance(time);
        pool.tick();
    }
    void failConnects()
    {
        pump(false);
        for (const ConnectionId id : std::exchange(opened, {}))
            pool.handleConnectFailed(id, "refused");
    }
};

// Guards against running more statements than the endpoint has slots, and against opening a new
// connection while an established one is idle.
TEST(EndpointPool, runsAsManyStatementsAsSlotsOnOpenConnections)
{
    submit();
    pump();
    LONGS_EQUAL(2, opened.size());
    submit();
    submit();
    pump();
    LONGS_EQUAL(2, started.size());
    pool.finish(started[Ticket(1)], ConnectionDisposition::Reuse);
    pump();
    LONGS_EQUAL(3, started.size());
    LONGS_EQUAL(2, opened.size());
}

// Guards against a late event of a closed connection that affects the connection which reuses its
// index.
TEST(EndpointPool, eventsOfOldGenerationsAreIgnored)
{
    submit();
    pump();
    const ConnectionId old = started[Ticket(1)];
    pool.finish(old, ConnectionDisposition::Discard);
    clock.advance(limits.initialConnectBackoff);
    pool.tick();
    submit();
    submit();
    pump();
    LONGS_EQUAL(3, started.size());
    pool.finish(old, ConnectionDisposition::Reuse);
    pool.handleConnectionClosed(old);
    LONGS_EQUAL(2, pool.stats().running);
    LONGS_EQUAL(2, pool.stats().staleEvents);
    CHECK_TRUE(closed == std::vector{old});
    for (const Ticket ticket : {Ticket(2), Ticket(3)})
        CHECK_TRUE(started[ticket].generation != old.generation);
}

// Guards against delivering the response of a cancelled statement to the next statement on the same
// connection.
TEST(EndpointPool, cancelDiscardsConnectionOfRunningStatement)
{
    const Ticket running = submit();
    pump();
    submit();
    const Ticket unsent = Ticket(lastTicket);
    pool.cancel(unsent);
    pump();
    CHECK_FALSE(started.contains(unsent));
    CHECK_TRUE(closed.empty());
    pool.cancel(running);
    pump();
    CHECK_TRUE(closed == std::vector{started[running]});
}

// Guards against a StartStatement for a connection that was closed before the command was taken.
TEST(EndpointPool, startOnLostConnectionBecomesRejection)
{
    submit();
    pump();
    const Ticket ticket = submit();
    for (const ConnectionId id : opened)
        pool.handleConnectionClosed(id);
    pump(false);
    CHECK_FALSE(started.contains(ticket));
    CHECK_TRUE(rejected.at(ticket) == ErrorCode::Unavailable);
}

// Guards against statements of a transaction, which holds locks, waiting behind new work, and
// against idle transactions occupying slots.
TEST(EndpointPool, transactionStatementsRunFirstAndIdleTransactionsUseNoSlot)
{
    const ConnectionId transaction = beginTransaction();
    submit();
    submit();
    pump();
    LONGS_EQUAL(3, started.size());
    const Ticket waiting = submit();
    const Ticket next = submitPinned(transaction);
    pool.finish(started[Ticket(2)], ConnectionDisposition::Reuse);
    pump();
    CHECK_TRUE(started.at(next) == transaction);
    CHECK_FALSE(started.contains(waiting));
    const Ticket second = submitPinned(transaction);
    pump();
    CHECK_TRUE(rejected.at(second) == ErrorCode::Conflict);
}

// Guards against transactions pinning every connection, so that other statements cannot run.
TEST(EndpointPool, transactionsPinAtMostTheirShare)
{
    std::vector<ConnectionId> pinned;
    for (int i = 0; i < 4; ++i)
        pinned.push_back(beginTransaction());
    const Ticket fifth = submit(true);
    const Ticket statement = submit();
    pump();
    CHECK_FALSE(started.contains(fifth));
    CHECK_TRUE(started.contains(statement));
    submitPinned(pinned[0]);
    pump();
    pool.finish(pinned[0], ConnectionDisposition::Reuse);
    pump();
    CHECK_TRUE(started.contains(fifth));
}

// Guards against an abandoned transaction that keeps its locks and its connection indefinitely.
TEST(EndpointPool, idleTransactionExpires)
{
    const ConnectionId transaction = beginTransaction();
    wait(limits.idleTransactionTimeout - 1ms);
    pump();
    CHECK_TRUE(expired.empty());
    wait(1ms);
    pump();
    CHECK_TRUE(expired == std::vector{transaction} && closed == expired);
    const Ticket late = submitPinned(transaction);
    pump();
    CHECK_TRUE(rejected.at(late) == ErrorCode::NotFound);
}

// Guards against connections that stay open after a peak of transactions, and against closing the
// ones that the slots still need.
TEST(EndpointPool, idleSurplusIsClosedAndNeededConnectionsStay)
{
    std::vector<ConnectionId> pinned{beginTransaction(), beginTransaction()};
    pump();
    LONGS_EQUAL(4, opened.size());
    for (const ConnectionId id : pinned) {
        submitPinned(id);
        pump();
        pool.finish(id, ConnectionDisposition::Reuse);
    }
    wait(limits.idleConnectionTimeout - 1ms);
    pump();
    CHECK_TRUE(closed.empty());
    wait(1ms);
    pump();
    LONGS_EQUAL(2, closed.size());
    LONGS_EQUAL(2, pool.stats().idle);
}

// Guards against queueing work for an unreachable endpoint, against connecting to it in bursts, and
// against marking it unreachable after a single failure.
TEST(EndpointPool, unreachableAfterThreeFailuresAndProbedOneByOne)
{
    const Ticket ticket = submit();
    failConnects(); // both connects of the batch count once
    clock.advance(limits.initialConnectBackoff - 1ms);
    pool.tick();
    pump(false);
    CHECK_TRUE(opened.empty());
    wait(1ms);
    failConnects();
    CHECK_TRUE(rejected.empty());
    wait(limits.initialConnectBackoff);
    pump(false);
    CHECK_TRUE(opened.empty()); // the backoff has doubled
    wait(limits.initialConnectBackoff);
    failConnects();
    pump(false);
    CHECK_TRUE(rejected.at(ticket) == ErrorCode::Unavailable);
    const Ticket refused = submit();
    pump(false);
    CHECK_TRUE(rejected.at(refused) == ErrorCode::Unavailable);
    for (int i = 0; i < 20; ++i) {
        wait(limits.maxConnectBackoff);
        pump(false);
        LONGS_EQUAL(1, opened.size());
        failConnects();
    }
    wait(limits.maxConnectBackoff);
    pump();
    const Ticket after = submit();
    pump();
    CHECK_TRUE(started.contains(after));
    LONGS_EQUAL(1, pool.stats().idle);
}

// Guards against refusing work during a short fault, and against connects without a timeout.
TEST(EndpointPool, queuedWorkWaitsThroughConnectTimeoutUntilDeadline)
{
    const Ticket shortDeadline = submit(false, 100ms);
    const Ticket longDeadline = submit();
    pump(false);
    wait(100ms);
    pump(false);
    CHECK_TRUE(rejected.at(shortDeadline) == ErrorCode::DeadlineExceeded);
    wait(limits.connectTimeout);
    wait(limits.initialConnectBackoff);
    pump();
    LONGS_EQUAL(2, closed.size());
    CHECK_TRUE(started.contains(longDeadline));
}

// Guards against reconnecting in a tight loop to an endpoint that accepts connections and closes
// them, or refuses their first statement.
TEST(EndpointPool, connectionsLostBeforeUseBackOff)
{
    submit();
    pump();
    for (const ConnectionId id : std::exchange(opened, {}))
        pool.handleConnectionClosed(id);
    pump();
    CHECK_TRUE(opened.empty());
    wait(limits.initialConnectBackoff);
    pump();
    LONGS_EQUAL(2, std::exchange(opened, {}).size());
    const Ticket refused = submit();
    pump();
    pool.finish(started.at(refused), ConnectionDisposition::Discard);
    pump();
    CHECK_TRUE(opened.empty());
}

// Guards against pinning a connection for a statement that was not submitted for a transaction.
TEST(EndpointPool, connectionOfPlainStatementIsNotKeptPinned)
{
    submit();
    pump();
    pool.finish(started.at(Ticket(1)), ConnectionDisposition::KeepPinned);
    pump();
    CHECK_TRUE(closed == std::vector{started.at(Ticket(1))});
    LONGS_EQUAL(0, pool.stats().pinned);
}

// Guards against refusing work while established connections work and only new connects fail.
TEST(EndpointPool, failedConnectsDoNotStopWorkingConnections)
{
    submit();
    pump(false);
    pool.handleConnected(opened.at(0));
    for (ConnectionId id = opened.at(1);; id = opened.back()) {
        pool.handleConnectFailed(id, "refused");
        if (pool.stats().connectsFailed == limits.failuresUntilUnreachable)
            break;
        wait(limits.maxConnectBackoff);
        pump(false);
    }
    const Ticket queued = submit();
    pool.finish(started.at(Ticket(1)), ConnectionDisposition::Reuse);
    pump(false);
    CHECK_TRUE(started.contains(queued));
}

// Guards against a transaction that expires while its statement waits for a slot.
TEST(EndpointPool, waitingTransactionDoesNotExpire)
{
    const ConnectionId transaction = beginTransaction();
    submit();
    submit();
    pump();
    const Ticket next = submitPinned(transaction);
    const Ticket second = submitPinned(transaction);
    wait(limits.idleTransactionTimeout);
    pool.finish(started.at(Ticket(2)), ConnectionDisposition::Reuse);
    pump();
    CHECK_TRUE(started.at(next) == transaction);
    CHECK_TRUE(rejected.at(second) == ErrorCode::Conflict);
}

// Guards against a drain that closes transactions early, never ends or admits new work.
TEST(EndpointPool, drainingRefusesNewWorkAndLetsTransactionsEnd)
{
    const ConnectionId first = beginTransaction();
    const ConnectionId second = beginTransaction();
    submit();
    submit();
    const Ticket queued = submit();
    pump();
    pool.setDraining(true);
    const Ticket late = submit();
    const Ticket next = submitPinned(first);
    for (const Ticket running : {Ticket(3), Ticket(4)})
        pool.finish(started.at(running), ConnectionDisposition::Reuse);
    pump();
    CHECK_TRUE(rejected.at(queued) == ErrorCode::Unavailable);
    CHECK_TRUE(rejected.at(late) == ErrorCode::Unavailable);
    CHECK_TRUE(started.contains(next));
    LONGS_EQUAL(0, pool.stats().idle);
    wait(limits.transactionDrainTimeout);
    pump();
    CHECK_TRUE(expired == std::vector{second});
    pool.finish(first, ConnectionDisposition::KeepPinned);
    pump();
    CHECK_TRUE(expired.back() == first);
    pool.setDraining(false);
    const Ticket again = submit();
    pump();
    CHECK_TRUE(started.contains(again));
}

// Guards against changed limits that do not affect existing connections and queued work.
TEST(EndpointPool, changedLimitsApplyAtOnce)
{
    for (int i = 0; i < 4; ++i)
        submit();
    pump();
    limits.slots = 1;
    limits.maxConnections = 1;
    limits.queueLimit = 1;
    pool.setLimits(limits);
    pump();
    LONGS_EQUAL(1, rejected.size());
    pool.finish(started.at(Ticket(1)), ConnectionDisposition::Reuse);
    pump();
    LONGS_EQUAL(2, started.size());
    LONGS_EQUAL(1, closed.size());
    limits.slots = 3;
    limits.maxConnections = 8;
    pool.setLimits(limits);
    pump();
    LONGS_EQUAL(3, started.size());
}

// Guards against an estimate of the wait that ignores the measured service time.
TEST(EndpointPool, measuredServiceTimeRefusesWorkThatWouldExpire)
{
    submit();
    pump();
    clock.advance(100ms);
    pool.finish(started.at(Ticket(1)), ConnectionDisposition::Reuse);
    for (int i = 0; i < 4; ++i)
        submit(); // two run, two wait
    const Ticket wouldExpire = submit(false, 99ms);
    const Ticket inTime = submit(false, 101ms);
    pump();
    CHECK_TRUE(rejected.at(wouldExpire) == ErrorCode::Unavailable);
    CHECK_FALSE(rejected.contains(inTime));
}
