#include "database_standin/database_server.h"

#include "base/address.h"
#include "base/json.h"
#include "base/log.h"
#include "database_standin/endpoint_wire.h"
#include "database_standin/replica_log.h"
#include "net/http.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <list>
#include <set>
#include <unordered_map>

namespace pistachiowood::standin {

namespace json = boost::json;

namespace {

constexpr Milliseconds longestWait{60000};
constexpr Milliseconds fetchRetryDelay{50};
constexpr Milliseconds fetchTimeoutMargin{2000}; // beyond the wait that the primary was asked for
constexpr std::size_t maxBatchBytes = 4 * 1024 * 1024;

using Reply = Answer<json::object>;

Milliseconds limitWait(std::uint64_t milliseconds)
{
    return Milliseconds(
        std::min<std::uint64_t>(milliseconds, static_cast<std::uint64_t>(longestWait.count())));
}

Reply encodeResult(Answer<StatementResult> answer)
{
    if (auto *refusal = std::get_if<Refusal>(&answer))
        return std::move(*refusal);
    auto &result = std::get<StatementResult>(answer);
    json::object object{{"result", std::move(result.result)},
                        {"entry_position", result.entryPosition.value()}};
    if (result.duplicate)
        object["duplicate"] = true;
    return object;
}

Reply encodeResult(std::optional<Refusal> refusal)
{
    if (refusal)
        return std::move(*refusal);
    return json::object{};
}

Reply encodeResult(Answer<ResolveResult> answer)
{
    if (auto *refusal = std::get_if<Refusal>(&answer))
        return std::move(*refusal);
    auto &result = std::get<ResolveResult>(answer);
    json::object object{{"state", result.committed ? "committed" : "refused"},
                        {"entry_position", result.entryPosition.value()}};
    if (result.committed)
        object["result"] = std::move(result.result);
    return object;
}

} // namespace

struct DatabaseServer::Private
{
    struct Connection
    {
        bool admitted = false; ///< counts against maxConnections
        bool busy = false;
    };

    struct Call
    {
        std::uint64_t connection;
        json::object body;
        RequestTarget target;
        HttpServer::Responder respond;
    };

    struct Work
    {
        std::uint64_t connection;
        std::function<Reply()> task;
        HttpServer::Responder respond;
    };

    /// A long poll that has not been answered.
    struct Waiter
    {
        std::uint64_t connection;
        std::function<bool()> isReady;
        std::function<Reply()> finish;
        HttpServer::Responder respond;
        TimerId timer = 0;
    };

    struct DelayedBatch
    {
        LogBatch batch;
        TimePoint sentAt;
        TimePoint due;
        LogPosition end; ///< position and term of the last entry once the batch is applied
        Term endTerm;
    };

    struct Route
    {
        std::string_view method;
        std::string_view path;
        bool isDatabaseRequest; ///< counts as a database connection and pays the connect cost
        Result<void> (Private::*handler)(const Call &call);
    };

    Private(EventLoop &eventLoop, const Clock &timeSource, DatabaseOptions databaseOptions)
        : loop(eventLoop)
        , clock(timeSource)
        , options(std::move(databaseOptions))
        , log(options.id, options.groupSize, clock)
        , server(loop, HttpLimits{},
                 [this](const HttpRequest &request, HttpServer::Responder respond) {
                     handleRequest(request, std::move(respond));
                 })
    {
        server.setCloseHandler([this](std::uint64_t connection) { handleClose(connection); });
    }

    ~Private()
    {
        for (const TimerId timer : timers)
            loop.cancelTimer(timer);
    }

    // Timers that the destructor cancels.
    TimerId startTimer(Milliseconds delay, std::function<void()> task)
    {
        auto id = std::make_shared<TimerId>();
        *id = loop.startTimer(delay, [this, id, run = std::move(task)] {
            timers.erase(*id);
            run();
        });
        timers.insert(*id);
        return *id;
    }

    void cancelTimer(TimerId timer)
    {
        loop.cancelTimer(timer);
        timers.erase(timer);
    }

    void reply(const HttpServer::Responder &respond, Reply answer) const
    {
        HttpResponse response;
        json::object body;
        if (auto *refusal = std::get_if<Refusal>(&answer)) {
            const auto code = refusalCodeName(refusal->code);
            response.status = refusalStatus(refusal->code);
            body["error"] = {{"code", json::string_view(code.data(), code.size())},
                             {"message", refusal->message}};
        } else {
            body = std::move(std::get<json::object>(answer));
        }
        for (const auto &field : encodeReport(log))
            body[field.key()] = field.value();
        response.body = json::serialize(body);
        respond(std::move(response));
    }

    void handleRequest(const HttpRequest &request, HttpServer::Responder respond)
    {
        Connection &connection = connections[request.connection];
        checkInvariant(!connection.busy, Event::InvariantBroken,
                       {{"reason", "two requests at once on one connection"},
                        {"connection", request.connection}});
        connection.busy = true;
        auto finish = [this, id = request.connection,
                       send = std::move(respond)](HttpResponse response) {
            // The responder may handle the next request of the connection before it returns.
            if (const auto found = connections.find(id); found != connections.end())
                found->second.busy = false;
            send(std::move(response));
        };
        auto outcome = capture([&]() -> Result<void> { return dispatch(request, finish); });
        if (const auto *error = std::get_if<Error>(&outcome))
            reply(finish, Refusal{RefusalCode::InvalidArgument, error->message});
    }

    Result<void> dispatch(const HttpRequest &request, const HttpServer::Responder &respond)
    {
        BOOST_LEAF_AUTO(target, parseRequestTarget(request.target));
        std::string path;
        for (const std::string &segment : target.path)
            path += "/" + segment;
        const auto known = std::find_if(routes.begin(), routes.end(), [&](const Route &route) {
            return route.method == request.method && route.path == path;
        });
        if (known == routes.end()) {
            reply(respond,
                  Refusal{RefusalCode::NotFound, "no request " + request.method + " " + path});
            return {};
        }
        const Route &route = *known;
        if (refuseAll && route.handler != &Private::handleFaults) {
            reply(respond, Refusal{RefusalCode::Unavailable, "all requests are refused"});
            return {};
        }
        Call call{request.connection, {}, std::move(target), respond};
        if (!request.body.empty()) {
            BOOST_LEAF_ASSIGN(call.body, parseJsonObject(request.body));
        }
        Connection &connection = connections[request.connection];
        if (!route.isDatabaseRequest || connection.admitted)
            return (this->*route.handler)(call);
        if (admittedConnections >= options.maxConnections) {
            reply(respond, Refusal{RefusalCode::TooManyConnections,
                                   "the endpoint has " + std::to_string(admittedConnections)
                                       + " connections already"});
            return {};
        }
        connection.admitted = true;
        ++admittedConnections;
        startTimer(options.connectCost, [this, &route, call] {
            if (!connections.contains(call.connection))
                return;
            auto outcome = capture([&] { return (this->*route.handler)(call); });
            if (const auto *error = std::get_if<Error>(&outcome))
                reply(call.respond, Refusal{RefusalCode::InvalidArgument, error->message});
        });
        return {};
    }

    void handleClose(std::uint64_t id)
    {
        log.rollback(id);
        if (const auto found = connections.find(id); found != connections.end()) {
            if (found->second.admitted)
                --admittedConnections;
            connections.erase(found);
        }
        std::erase_if(queue, [&](const Work &work) { return work.connection == id; });
        std::erase_if(waiters, [&](const Waiter &waiter) {
            if (waiter.connection != id)
                return false;
            cancelTimer(waiter.timer);
            return true;
        });
    }

    // Statements and slots

    void enqueue(const Call &call, std::function<Reply()> task)
    {
        queue.push_back({call.connection, std::move(task), call.respond});
        startQueued();
    }

    void startQueued()
    {
        while (running < options.slots && !queue.empty()) {
            ++running;
            startTimer(options.statementCost, [this, work = std::move(queue.front())] {
                --running;
                reply(work.respond, work.task());
                wakeWaiters();
                startQueued();
            });
            queue.pop_front();
        }
    }

    Result<void> handleStatement(const Call &call)
    {
        StatementInput input;
        BOOST_LEAF_AUTO(term, requireUnsigned(call.body, "term"));
        BOOST_LEAF_AUTO(kind, requireString(call.body, "kind"));
        BOOST_LEAF_AUTO(requestId, optionalString(call.body, "request_id"));
        BOOST_LEAF_AUTO(inTransaction, optionalBool(call.body, "transaction"));
        const json::value *statement = call.body.if_contains("statement");
        BOOST_LEAF_ASSIGN(input.operation, decodeOperation(statement ? *statement : json::value()));
        if (kind != "read" && kind != "write")
            return makeError(ErrorCode::InvalidArgument, R"(field "kind" must be read or write)");
        if ((kind == "write") != isWrite(input.operation.kind))
            return makeError(ErrorCode::InvalidArgument,
                             R"(field "kind" does not match the statement's "op")");
        input.term = Term(term);
        input.requestId = RequestId(requestId.value_or(""));
        input.inTransaction = inTransaction.value_or(false);
        enqueue(call, [this, id = call.connection, input] {
            return encodeResult(log.execute(id, input));
        });
        return {};
    }

    Result<void> handleBegin(const Call &call)
    {
        BOOST_LEAF_AUTO(term, requireUnsigned(call.body, "term"));
        reply(call.respond, encodeResult(log.begin(call.connection, Term(term))));
        return {};
    }

    Result<void> handleCommit(const Call &call)
    {
        BOOST_LEAF_AUTO(term, requireUnsigned(call.body, "term"));
        BOOST_LEAF_AUTO(requestId, optionalString(call.body, "request_id"));
        enqueue(call, [this, id = call.connection, term, request = requestId.value_or("")] {
            return encodeResult(log.commit(id, Term(term), RequestId(request)));
        });
        return {};
    }

    Result<void> handleRollback(const Call &call)
    {
        log.rollback(call.connection);
        reply(call.respond, json::object{});
        return {};
    }

    Result<void> handleResolve(const Call &call)
    {
        BOOST_LEAF_AUTO(term, requireUnsigned(call.body, "term"));
        BOOST_LEAF_AUTO(requestId, requireString(call.body, "request_id"));
        enqueue(call, [this, term, requestId] {
            return encodeResult(log.resolve(Term(term), RequestId(requestId)));
        });
        return {};
    }

    // Status, terms and long polls

    json::object encodeStatus() const
    {
        return json::object{{"id", options.id.value()},
                            {"promoter", log.promoter()},
                            {"primary_contact_ms", log.primaryContact().count()},
                            {"history", encodeHistory(log.history())},
                            {"connections", admittedConnections},
                            {"running", running}};
    }

    Result<void> handleStatus(const Call &call)
    {
        reply(call.respond, encodeStatus());
        return {};
    }

    Result<void> handlePosition(const Call &call)
    {
        BOOST_LEAF_AUTO(term, requireUnsigned(call.target, "term"));
        BOOST_LEAF_AUTO(above, requireUnsigned(call.target, "above"));
        BOOST_LEAF_AUTO(wait, requireUnsigned(call.target, "wait_ms"));
        waitFor(
            call, limitWait(wait),
            [this, term, above] {
                return log.term().value() != term || log.position().value() > above;
            },
            [] { return json::object{}; });
        return {};
    }

    Result<void> handleRaiseTerm(const Call &call)
    {
        BOOST_LEAF_AUTO(term, requireUnsigned(call.body, "term"));
        BOOST_LEAF_AUTO(promoter, requirePromoter(call.body));
        const bool granted = log.raiseTerm(Term(term), promoter);
        if (log.term() != fetchTerm)
            restartFetching();
        json::object answer = encodeStatus();
        answer["granted"] = granted;
        reply(call.respond, answer);
        wakeWaiters();
        return {};
    }

    Result<void> handlePromote(const Call &call)
    {
        BOOST_LEAF_AUTO(term, requireUnsigned(call.body, "term"));
        BOOST_LEAF_AUTO(promoter, requirePromoter(call.body));
        const auto refusal = log.promote(Term(term), promoter);
        if (!refusal)
            logEvent(
                Event::DatabasePromoted,
                {{"id", options.id.value()}, {"term", term}, {"position", log.position().value()}});
        replyWithStatus(call, refusal);
        wakeWaiters();
        return {};
    }

    Result<void> handleFollow(const Call &call)
    {
        BOOST_LEAF_AUTO(term, requireUnsigned(call.body, "term"));
        BOOST_LEAF_AUTO(primary, requireString(call.body, "primary"));
        BOOST_LEAF_AUTO(text, requireString(call.body, "primary_address"));
        BOOST_LEAF_AUTO(address, parsePeerAddress(text));
        if (primary.empty())
            return makeError(ErrorCode::InvalidArgument, "field \"primary\" must not be empty");
        const auto refusal = log.follow(Term(term), EndpointId(primary));
        if (!refusal)
            logEvent(Event::DatabaseFollows,
                     {{"id", options.id.value()}, {"term", term}, {"primary", primary}});
        // Raising a term stops the fetches, so the same primary may be followed again.
        if (!refusal
            && (address != primaryAddress || term != fetchTerm.value() || !fetchConnection)) {
            primaryAddress = address;
            restartFetching();
        }
        replyWithStatus(call, refusal);
        wakeWaiters();
        return {};
    }

    void replyWithStatus(const Call &call, const std::optional<Refusal> &refusal)
    {
        if (refusal)
            reply(call.respond, encodeResult(refusal));
        else
            reply(call.respond, encodeStatus());
    }

    static Result<std::string> requirePromoter(const json::object &body)
    {
        BOOST_LEAF_AUTO(promoter, requireString(body, "promoter"));
        if (promoter.empty())
            return makeError(ErrorCode::InvalidArgument, "field \"promoter\" must not be empty");
        return promoter;
    }

    void waitFor(const Call &call, Milliseconds wait, std::function<bool()> isReady,
                 std::function<Reply()> finish)
    {
        if (wait.count() == 0 || isReady()) {
            reply(call.respond, finish());
            return;
        }
        const auto waiter = waiters.insert(
            waiters.end(), {call.connection, std::move(isReady), std::move(finish), call.respond});
        waiter->timer = startTimer(wait, [this, waiter] {
            const Waiter done = std::move(*waiter);
            waiters.erase(waiter);
            reply(done.respond, done.finish());
        });
    }

    void wakeWaiters()
    {
        // Answering may add waiters, so the ready ones are taken out first.
        std::list<Waiter> ready;
        for (auto at = waiters.begin(); at != waiters.end();) {
            const auto next = std::next(at);
            if (at->isReady()) {
                cancelTimer(at->timer);
                ready.splice(ready.end(), waiters, at);
            }
            at = next;
        }
        for (const Waiter &waiter : ready)
            reply(waiter.respond, waiter.finish());
    }

    // Replication

    Result<void> handleLog(const Call &call)
    {
        BOOST_LEAF_AUTO(query, decodeQuery(call.target));
        BOOST_LEAF_AUTO(wait, call.target.queryUnsigned("wait_ms"));
        // The first read records the follower's contact before the wait.
        const auto first = log.readLog(query);
        const auto *batch = std::get_if<LogBatch>(&first);
        const bool hasNews = !batch || batch->truncateTo || !batch->entries.empty();
        // A fetch without an echo is answered at once, so that the next one brings the echo.
        const auto longest = hasNews || !query.echo ? Milliseconds(0) : limitWait(wait.value_or(0));
        waitFor(
            call, longest,
            [this, query] {
                return !log.isPrimary() || log.term() != query.term || log.position() > query.from;
            },
            [this, query] {
                Answer<LogBatch> answer = log.readLog(query);
                if (auto *refusal = std::get_if<Refusal>(&answer))
                    return Reply(std::move(*refusal));
                return Reply(encodeBatch(std::get<LogBatch>(answer), maxBatchBytes));
            });
        return {};
    }

    // Drops the running fetch and the batches that were not applied, and starts over.
    void restartFetching()
    {
        fetchTerm = log.term();
        delayed.clear();
        fetchConnection.reset();
        scheduleFetch(Milliseconds(0));
    }

    void scheduleFetch(Milliseconds delay)
    {
        cancelTimer(fetchTimer);
        fetchTimer = startTimer(delay, [this] { sendFetch(); });
    }

    void sendFetch()
    {
        auto query = log.nextQuery();
        if (!query || frozen || (fetchConnection && fetchConnection->isBusy()))
            return;
        if (!fetchConnection)
            fetchConnection = std::make_unique<HttpConnection>(loop, primaryAddress);
        if (!delayed.empty()) {
            query->from = delayed.back().end;
            query->lastEntryTerm = delayed.back().endTerm;
        }
        HttpRequest request;
        request.target = encodeQuery(*query, options.fetchWait);
        fetchConnection->send(std::move(request), options.fetchWait + fetchTimeoutMargin,
                              [this, sentAt = clock.now(),
                               lastTerm = query->lastEntryTerm](const HttpOutcome &outcome) {
                                  handleFetched(outcome, sentAt, lastTerm);
                              });
    }

    void handleFetched(const HttpOutcome &outcome, TimePoint sentAt, Term lastTerm)
    {
        const auto *response = std::get_if<HttpResponse>(&outcome);
        if (!response || response->status != 200) {
            scheduleFetch(std::max(fetchRetryDelay, options.fetchInterval));
            return;
        }
        if (frozen)
            return;
        auto decoded = capture([&]() -> Result<LogBatch> {
            BOOST_LEAF_AUTO(object, parseJsonObject(response->body));
            return decodeBatch(object);
        });
        auto *batch = std::get_if<LogBatch>(&decoded);
        if (!batch || !log.recordPrimaryContact(*batch)) {
            scheduleFetch(std::max(fetchRetryDelay, options.fetchInterval));
            return;
        }
        scheduleFetch(options.fetchInterval);
        // Truncation is not delayed; it happens before the first matching batch of a term.
        const auto delay = batch->truncateTo ? Milliseconds(0) : options.replicationDelay;
        const LogPosition end(batch->from.value() + batch->entries.size());
        const Term endTerm = batch->entries.empty() ? lastTerm : batch->entries.back().term;
        delayed.push_back({std::move(*batch), sentAt, clock.now() + delay, end, endTerm});
        applyDueBatches();
    }

    void applyDueBatches()
    {
        cancelTimer(applyTimer);
        while (!frozen && !delayed.empty() && delayed.front().due <= clock.now()) {
            const DelayedBatch head = std::move(delayed.front());
            delayed.pop_front();
            if (!log.applyBatch(head.batch, head.sentAt)) {
                restartFetching();
                break;
            }
            wakeWaiters();
        }
        if (!frozen && !delayed.empty()) {
            const auto wait = std::chrono::ceil<Milliseconds>(delayed.front().due - clock.now());
            applyTimer = startTimer(std::max(wait, Milliseconds(0)), [this] { applyDueBatches(); });
        }
    }

    Result<void> handleFaults(const Call &call)
    {
        BOOST_LEAF_AUTO(delay, optionalDuration(call.body, "replication_delay_ms"));
        BOOST_LEAF_AUTO(freeze, optionalBool(call.body, "freeze_replication"));
        BOOST_LEAF_AUTO(cost, optionalDuration(call.body, "statement_cost_ms"));
        BOOST_LEAF_AUTO(refuse, optionalBool(call.body, "refuse_all"));
        options.replicationDelay = delay.value_or(options.replicationDelay);
        options.statementCost = cost.value_or(options.statementCost);
        refuseAll = refuse.value_or(refuseAll);
        if (const bool wasFrozen = std::exchange(frozen, freeze.value_or(frozen));
            wasFrozen && !frozen) {
            applyDueBatches();
            scheduleFetch(Milliseconds(0));
        }
        reply(call.respond, json::object{});
        return {};
    }

    static const std::array<Route, 12> routes;

    EventLoop &loop;
    const Clock &clock;
    DatabaseOptions options;
    ReplicaLog log;
    std::set<TimerId> timers;
    std::unordered_map<std::uint64_t, Connection> connections;
    std::size_t admittedConnections = 0;
    std::deque<Work> queue;
    std::size_t running = 0;
    std::list<Waiter> waiters;
    bool refuseAll = false;
    bool frozen = false;

    SocketAddress primaryAddress;
    Term fetchTerm;
    std::unique_ptr<HttpConnection> fetchConnection;
    TimerId fetchTimer = 0;
    TimerId applyTimer = 0;
    std::deque<DelayedBatch> delayed; ///< received, waiting for the replication delay

    HttpServer server;
};

using Private = DatabaseServer::Private;

const std::array<Private::Route, 12> Private::routes{{
    {"POST", "/v1/statements", true, &Private::handleStatement},
    {"POST", "/v1/transactions/begin", true, &Private::handleBegin},
    {"POST", "/v1/transactions/commit", true, &Private::handleCommit},
    {"POST", "/v1/transactions/rollback", true, &Private::handleRollback},
    {"POST", "/v1/requests/resolve", true, &Private::handleResolve},
    {"GET", "/v1/status", false, &Private::handleStatus},
    {"GET", "/v1/position", false, &Private::handlePosition},
    {"POST", "/v1/raise_term", false, &Private::handleRaiseTerm},
    {"POST", "/v1/promote", false, &Private::handlePromote},
    {"POST", "/v1/follow", false, &Private::handleFollow},
    {"GET", "/v1/log", false, &Private::handleLog},
    {"POST", "/standin/faults", false, &Private::handleFaults},
}};

DatabaseServer::DatabaseServer(EventLoop &loop, const Clock &clock, DatabaseOptions options)
    : private_(std::make_unique<Private>(loop, clock, std::move(options)))
{
}

DatabaseServer::~DatabaseServer() = default;

Result<void> DatabaseServer::listen()
{
    return private_->server.listen(private_->options.address);
}

std::uint16_t DatabaseServer::port() const
{
    return private_->server.port();
}

} // namespace pistachiowood::standin
