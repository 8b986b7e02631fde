#include "loadgen/runner.h"

#include "base/address.h"
#include "loadgen/caller.h"
#include "net/precise_timer.h"

#include <deque>
#include <map>

namespace pistachiowood::loadgen {

namespace json = boost::json;

namespace {

constexpr Milliseconds startDelay{50}; // time to set up before the first arrival

struct Session
{
    explicit Session(Caller sessionCaller)
        : caller(std::move(sessionCaller))
    {
    }

    std::size_t number = 0;
    std::size_t daemon = 0;
    Caller caller;
    std::map<std::string, std::string> tokens; ///< by service
    std::deque<WorkItem> waiting;
    bool busy = false;
};

/// State of the statement or transaction that a session runs.
struct Running
{
    WorkItem item;
    TimePoint start;
    std::size_t daemon = 0;
    std::string transaction;
    std::size_t nextAppend = 0;
};

using RunningPointer = std::shared_ptr<Running>;

} // namespace

struct Runner::Private
{
    Private(EventLoop &eventLoop, RunOptions runOptions, HistoryWriter &historyWriter)
        : loop(eventLoop)
        , options(std::move(runOptions))
        , history(historyWriter)
        , workload(options.workload)
        , startTime(clock.now() + startDelay)
        , measures(startTime)
        , timer(loop, [this] { admitDue(); })
        , random(options.workload.seed)
    {
        for (std::size_t i = 0; i < options.workload.sessions; ++i) {
            sessions.push_back(
                std::make_unique<Session>(Caller(loop, options.daemons, options.deadline)));
            sessions.back()->number = i;
            sessions.back()->daemon = i % options.daemons.size();
        }
    }

    void scheduleNext()
    {
        next = workload.next();
        if (next.at > options.duration) {
            allScheduled = true;
            finishIfIdle();
            return;
        }
        timer.start(startTime + next.at);
    }

    void admitDue()
    {
        const TimePoint now = clock.now();
        while (!allScheduled && startTime + next.at <= now) {
            Session &session = *sessions.at(next.session);
            session.waiting.push_back(std::move(next));
            ++unfinished;
            runNext(session);
            scheduleNext();
        }
    }

    void runNext(Session &session)
    {
        if (session.busy || session.waiting.empty())
            return;
        session.busy = true;
        auto running = std::make_shared<Running>();
        running->item = std::move(session.waiting.front());
        session.waiting.pop_front();
        running->start = clock.now();
        if (running->item.roam)
            session.daemon = running->item.daemon;
        running->daemon = session.daemon;
        if (running->item.kind == WorkKind::Transaction)
            begin(session, running);
        else
            runStatement(session, running);
    }

    json::object requestBody(Session &session, const WorkItem &item) const
    {
        json::object body;
        if (const auto token = session.tokens.find(item.service);
            token != session.tokens.end() && item.kind != WorkKind::AgeRead)
            body["session"] = token->second;
        return body;
    }

    void runStatement(Session &session, const RunningPointer &running)
    {
        const WorkItem &item = running->item;
        json::object body = requestBody(session, item);
        if (item.kind == WorkKind::Write) {
            const Append &append = item.appends.front();
            body["kind"] = "write";
            body["statement"] = appendStatement(append.key, append.value);
            body["request_id"] = append.value;
            body["idempotent"] = item.idempotent;
        } else {
            body["kind"] = "read";
            body["statement"] = readStatement(item.key);
            if (item.kind == WorkKind::AgeRead)
                body["max_age_ms"] = options.maxAge.count();
        }
        send(
            session, item.service, "statements", std::move(body),
            [this, &session, running](const Answer &answer) { finish(session, *running, answer); });
    }

    void begin(Session &session, const RunningPointer &running)
    {
        send(session, running->item.service, "transactions", requestBody(session, running->item),
             [this, &session, running](Answer answer) {
                 running->transaction = answer.transaction;
                 if (answer.status == 200 && !answer.transaction.empty())
                     runAppends(session, running);
                 else
                     finish(session, *running, withoutCommit(std::move(answer)));
             });
    }

    void runAppends(Session &session, const RunningPointer &running)
    {
        if (running->nextAppend == running->item.appends.size()) {
            commit(session, running);
            return;
        }
        const Append &append = running->item.appends.at(running->nextAppend++);
        json::object body{{"kind", "write"},
                          {"statement", appendStatement(append.key, append.value)},
                          {"transaction", running->transaction}};
        send(session, running->item.service, "statements", std::move(body),
             [this, &session, running](Answer answer) {
                 if (answer.status == 200)
                     runAppends(session, running);
                 else
                     rollback(session, running, withoutCommit(std::move(answer)));
             });
    }

    void commit(Session &session, const RunningPointer &running)
    {
        send(session, running->item.service, "transactions/" + running->transaction + "/commit",
             requestBody(session, running->item), [this, &session, running](const Answer &answer) {
                 finish(session, *running, answer);
             });
    }

    void rollback(Session &session, const RunningPointer &running, const Answer &cause)
    {
        send(session, running->item.service, "transactions/" + running->transaction + "/rollback",
             {}, [this, &session, running, cause](const Answer &) {
                 finish(session, *running, cause);
             });
    }

    /// Without a commit nothing of a transaction can be in the database.
    static Answer withoutCommit(Answer answer)
    {
        answer.outcome = "not_run";
        if (answer.reason.empty())
            answer.reason = "no_transaction_id";
        return answer;
    }

    void send(Session &session, const std::string &service, const std::string &operation,
              json::object body, Caller::Callback callback)
    {
        session.caller.post(session.daemon, service, operation, std::move(body),
                            [this, &session, callback = std::move(callback)](Answer answer) {
                                if (answer.status == 0)
                                    moveAway(session);
                                callback(std::move(answer));
                            });
    }

    // The load balancer would not choose a daemon that does not answer.
    void moveAway(Session &session)
    {
        const std::size_t count = options.daemons.size();
        if (count > 1)
            session.daemon = (session.daemon + 1 + random() % (count - 1)) % count;
    }

    void finish(Session &session, const Running &running, const Answer &answer)
    {
        const WorkItem &item = running.item;
        const TimePoint now = clock.now();
        // A read that states an age follows no token, so its token may be older than the session's.
        if (!answer.token.empty() && item.kind != WorkKind::AgeRead)
            session.tokens[item.service] = answer.token;
        measures.add({item.kind, item.service, startTime + item.at, now, answer.outcome,
                      answer.reason, answer.fromReplica});
        record(session, running, answer, now);
        session.busy = false;
        --unfinished;
        // Posted because the connection that called back is still in its callback.
        loop.post([this, &session] { runNext(session); });
        finishIfIdle();
    }

    void record(const Session &session, const Running &running, const Answer &answer, TimePoint now)
    {
        const WorkItem &item = running.item;
        const SocketAddress &daemon = options.daemons.at(running.daemon);
        HistoryRecord line{.scheduled = startTime + item.at,
                           .start = running.start,
                           .end = now,
                           .session = session.number,
                           .daemon = formatAddress(daemon),
                           .service = item.service,
                           .kind = "read",
                           .key = item.key,
                           .idempotent = item.idempotent,
                           .tokenRead = item.kind == WorkKind::TokenRead,
                           .answer = answer};
        if (item.kind == WorkKind::AgeRead)
            line.maxAgeMs = options.maxAge.count();
        if (item.appends.empty())
            history.write(line);
        for (const Append &append : item.appends) {
            line.kind = item.kind == WorkKind::Transaction ? "transaction" : "write";
            line.key = append.key;
            line.value = append.value;
            line.requestId = running.transaction.empty() ? append.value : running.transaction;
            history.write(line);
        }
    }

    void finishIfIdle()
    {
        if (allScheduled && unfinished == 0)
            loop.post([this] {
                if (auto callback = std::exchange(finished, nullptr))
                    callback();
            });
    }

    EventLoop &loop;
    SteadyClock clock;
    RunOptions options;
    HistoryWriter &history;
    Workload workload;
    TimePoint startTime;
    Measures measures;
    PreciseTimer timer;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Session>> sessions;
    WorkItem next;
    bool allScheduled = false;
    std::uint64_t unfinished = 0;
    std::function<void()> finished;
};

Runner::Runner(EventLoop &loop, RunOptions options, HistoryWriter &history)
    : private_(std::make_unique<Private>(loop, std::move(options), history))
{
}

Runner::~Runner() = default;

void Runner::start(std::function<void()> finished)
{
    private_->finished = std::move(finished);
    private_->scheduleNext();
}

const Measures &Runner::measures() const
{
    return private_->measures;
}

TimePoint Runner::end() const
{
    return private_->startTime + private_->options.duration;
}

} // namespace pistachiowood::loadgen
