#include "base/log.h"
#include "statements/statement_router.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace pistachiowood;

namespace {

constexpr std::size_t groupSize = 3;
constexpr std::size_t majority = 2;

/// Safety mechanisms that a run may disable, to show that the properties depend on them.
struct Mechanisms
{
    bool majorityBeforeAnswer = true;
    bool sessionTokens = true;
    bool resolveRecordsRefusal = true;
};

struct Entry
{
    std::uint64_t term = 0;
    std::string requestId; ///< empty for the entry of a promotion
    bool refused = false;

    friend bool operator==(const Entry &, const Entry &) = default;
};

/// Event queue with a simulated clock.
class Timeline
{
public:
    void schedule(Milliseconds delay, std::function<void()> event)
    {
        events_.emplace(clock.now() + delay, std::move(event));
    }

    void run(Milliseconds time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;
             clock.advance(Milliseconds(1))) {
            while (!events_.empty() && events_.begin()->first <= clock.now()) {
                auto node = events_.extract(events_.begin());
                node.mapped()();
            }
        }
    }

    ManualClock clock;

private:
    std::multimap<TimePoint, std::function<void()>> events_;
};

/// In-memory model of a database group: terms, logs, replication lag and promotions.
class Group
{
public:
    struct Member
    {
        std::uint64_t term = 1;
        std::vector<Entry> log;
        bool isolated = false; ///< neither replicates nor takes part in promotions
    };

    Group()
    {
        for (Member &member : members)
            member.log.push_back({1, "", false});
        history = {{Term(1), LogPosition(0)}};
    }

    std::size_t position(std::size_t member) const { return members.at(member).log.size(); }

    // Copies the primary's log to a replica in the same term, unless one of them is isolated.
    void replicate(std::size_t replica)
    {
        Member &target = members.at(replica);
        const Member &source = members.at(primary);
        if (replica != primary && !target.isolated && !source.isolated
            && target.term == source.term)
            target.log = source.log;
    }

    bool isHeldByMajority(std::size_t at, std::size_t length) const
    {
        const std::vector<Entry> &log = members.at(at).log;
        const auto holds = [&](const Member &member) {
            return member.term == members.at(at).term && member.log.size() >= length
                   && member.log.back().term == member.term
                   && std::equal(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(length),
                                 member.log.begin());
        };
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), holds))
               >= majority;
    }

    // Raises the term of the members that are not isolated and promotes the one with the most
    // recent log. Returns false without a majority.
    bool promote()
    {
        std::vector<std::size_t> granted;
        for (std::size_t i = 0; i < groupSize; ++i) {
            if (!members.at(i).isolated)
                granted.push_back(i);
        }
        if (granted.size() < majority)
            return false;
        ++term;
        for (const std::size_t i : granted)
            members.at(i).term = term;
        primary =
            *std::max_element(granted.begin(), granted.end(), [this](std::size_t a, std::size_t b) {
                const auto &first = members.at(a).log;
                const auto &second = members.at(b).log;
                return std::pair(first.back().term, first.size())
                       < std::pair(second.back().term, second.size());
            });
        history.push_back({Term(term), LogPosition(position(primary))});
        members.at(primary).log.push_back({term, "", false});
        return true;
    }

    std::array<Member, groupSize> members;
    std::size_t primary = 0;
    std::uint64_t term = 1;
    std::vector<TermStart> history;
};

EndpointId endpointName(std::size_t index)
{
    return EndpointId("e" + std::to_string(index));
}

std::size_t endpointIndex(const EndpointId &endpoint)
{
    return static_cast<std::size_t>(endpoint.value().back() - '0');
}

/// Executes attempts on the group as the endpoints' owners would, with random delays and losses.
class FaultyTransport final : public AttemptTransport
{
public:
    FaultyTransport(Timeline &timeline, RandomSource &random, Mechanisms mechanisms)
        : timeline_(timeline)
        , random_(random)
        , mechanisms_(mechanisms)
    {
    }

    void execute(const EndpointRoute &route, const AttemptRequest &request,
                 AttemptCallback callback) override
    {
        const std::size_t index = endpointIndex(route.spec.id);
        if (random_.below(100) < unreachablePercent) {
            answerLater(callback, refusal(EndpointRefusal::None, ErrorCode::Unavailable));
            return;
        }
        // A delayed request may be executed long after the sender's timeout.
        const bool isDelayed = random_.below(100) < lossPercent;
        const Milliseconds requestDelay(isDelayed ? 200 + random_.below(1500) : random_.below(8));
        auto answered = std::make_shared<bool>(false);
        const auto reply = [callback, answered](AttemptAnswer answer) {
            if (!std::exchange(*answered, true))
                callback(std::move(answer));
        };
        AttemptAnswer lost;
        lost.state = AttemptState::Uncertain;
        lost.error = {ErrorCode::OutcomeUnknown, "no answer"};
        timeline_.schedule(request.remaining, [reply, lost] { reply(lost); });
        timeline_.schedule(requestDelay,
                           [this, index, request, reply] { perform(index, request, reply); });
    }

    void executeInTransaction(const AttemptRequest &, AttemptCallback callback) override
    {
        callback(refusal(EndpointRefusal::TransactionLost, ErrorCode::NotFound));
    }

    void startTimer(Milliseconds delay, std::function<void()> task) override
    {
        timeline_.schedule(delay, std::move(task));
    }

    void requestStatus(const ServiceName &) override { ++statusRequests; }

    Group group;
    std::uint64_t unreachablePercent = 0;
    std::uint64_t lossPercent = 0;
    std::uint64_t statusRequests = 0;
    /// How often each request id was written, including entries that were lost later.
    std::map<std::string, unsigned> executions;

private:
    static AttemptAnswer refusal(EndpointRefusal kind, ErrorCode code)
    {
        AttemptAnswer answer;
        answer.refusal = kind;
        answer.error = {code, "refused"};
        return answer;
    }

    void answerLater(const AttemptCallback &callback, AttemptAnswer answer)
    {
        timeline_.schedule(Milliseconds(random_.below(5)),
                           [callback, answer = std::move(answer)] { callback(answer); });
    }

    void perform(std::size_t index, const AttemptRequest &request, const AttemptCallback &reply)
    {
        Group::Member &member = group.members.at(index);
        if (member.term != request.term.value()) {
            const bool isStale = request.term.value() < member.term;
            reply(refusal(isStale ? EndpointRefusal::StaleTerm : EndpointRefusal::NewerTermRequired,
                          ErrorCode::StateStale));
            return;
        }
        const bool isWrite = request.kind == StatementKind::Write;
        const bool isPrimary = index == group.primary && member.term == group.term;
        // An isolated former primary still serves its own term.
        const bool actsAsPrimary =
            isPrimary || (member.log.back().term == member.term && wasPrimary(index, member.term));
        if (isWrite && !actsAsPrimary) {
            reply(refusal(EndpointRefusal::NotPrimary, ErrorCode::StateStale));
            return;
        }
        if (isWrite)
            performWrite(index, request, reply);
        else
            performRead(index, request, reply);
    }

    bool wasPrimary(std::size_t index, std::uint64_t term) const
    {
        const auto found = primaries.find(term);
        return found != primaries.end() && found->second == index;
    }

    void performWrite(std::size_t index, const AttemptRequest &request,
                      const AttemptCallback &reply)
    {
        Group::Member &member = group.members.at(index);
        const std::string &id = request.requestId.value();
        const bool resolves = request.operation == AttemptOperation::Resolve;
        auto found = std::find_if(member.log.begin(), member.log.end(),
                                  [&](const Entry &entry) { return entry.requestId == id; });
        if (found != member.log.end() && found->refused && !resolves) {
            reply(refusal(EndpointRefusal::RefusedRequest, ErrorCode::Conflict));
            return;
        }
        std::size_t position = static_cast<std::size_t>(found - member.log.begin()) + 1;
        const bool isNew = found == member.log.end();
        if (isNew && (!resolves || mechanisms_.resolveRecordsRefusal)) {
            member.log.push_back({member.term, id, resolves});
            position = member.log.size();
            if (!resolves)
                ++executions[id];
        }
        AttemptAnswer answer = executed(index, std::min(position, member.log.size()));
        answer.resolvedCommitted = !isNew && !member.log.at(position - 1).refused;
        waitForMajority(index, member.term, std::move(answer), reply);
    }

    void performRead(std::size_t index, const AttemptRequest &, const AttemptCallback &reply)
    {
        const Group::Member &member = group.members.at(index);
        AttemptAnswer answer = executed(index, member.log.size());
        for (const Entry &entry : member.log) {
            if (!entry.refused && !entry.requestId.empty())
                answer.result += entry.requestId + " ";
        }
        waitForMajority(index, member.term, std::move(answer), reply);
    }

    AttemptAnswer executed(std::size_t index, std::size_t position) const
    {
        const Group::Member &member = group.members.at(index);
        AttemptAnswer answer;
        answer.state = AttemptState::Executed;
        answer.report = {Term(member.term), LogPosition(member.log.size()),
                         Term(member.log.back().term),
                         index == group.primary ? EndpointRole::Primary : EndpointRole::Replica,
                         Milliseconds(0)};
        answer.entryPosition = LogPosition(position);
        return answer;
    }

    // Delays the answer until a majority holds the entry in the same term, as the owner does.
    void waitForMajority(std::size_t index, std::uint64_t term, AttemptAnswer answer,
                         const AttemptCallback &reply)
    {
        const Group::Member &member = group.members.at(index);
        if (member.term != term)
            return; // the sender's timeout reports the attempt as uncertain
        const bool isDurable = group.isHeldByMajority(index, answer.entryPosition.value());
        if (!isDurable && mechanisms_.majorityBeforeAnswer) {
            timeline_.schedule(Milliseconds(5),
                               [this, index, term, answer = std::move(answer), reply]() mutable {
                                   waitForMajority(index, term, std::move(answer), reply);
                               });
            return;
        }
        answer.durable = true;
        if (random_.below(100) >= lossPercent)
            answerLater(reply, std::move(answer));
    }

    Timeline &timeline_;
    RandomSource &random_;
    Mechanisms mechanisms_;

public:
    std::map<std::uint64_t, std::size_t> primaries{{1, 0}}; ///< by term
};

/// Simulates sessions that send statements while the group and the network have faults.
class Scenario
{
public:
    Scenario(std::uint64_t seed, Mechanisms mechanisms)
        : random(seed)
        , mechanisms_(mechanisms)
        , transport(timeline, random, mechanisms)
        , router(StatementRouter::Settings{}, Locality{ZoneName("z0"), RegionName("r")}, transport,
                 timeline.clock, random)
    {
        publishRoutes();
    }

    void run()
    {
        scheduleReplication();
        for (std::size_t session = 0; session < sessionCount; ++session)
            issueNext(session);
        for (int fault = 0; fault < 8; ++fault) {
            timeline.run(Milliseconds(random.below(600)));
            addFault();
        }
        transport.lossPercent = 0;
        transport.unreachablePercent = 0;
        for (Group::Member &member : transport.group.members)
            member.isolated = false;
        promote();
        stopping = true;
        timeline.run(Milliseconds(6000)); // exceeds every deadline and every request delay
    }

    bool isCorrect() const { return violation.empty() && findLogViolation().empty(); }
    std::string describe() const { return violation.empty() ? findLogViolation() : violation; }

private:
    static constexpr std::size_t sessionCount = 4;

    struct Session
    {
        std::optional<SessionToken> token;
        std::set<std::string> seen; ///< ids of its committed writes and of all entries it read
    };

    void publishRoutes()
    {
        auto routes = std::make_shared<ServiceRoutes>();
        routes->spec.name = ServiceName("s");
        routes->term = Term(transport.group.term);
        routes->primary = endpointName(transport.group.primary);
        routes->history = TermHistory(transport.group.history);
        for (std::size_t i = 0; i < groupSize; ++i) {
            EndpointRoute route;
            route.spec.id = endpointName(i);
            route.spec.zone = ZoneName("z" + std::to_string(i));
            route.spec.region = RegionName("r");
            routes->endpoints.push_back(route);
        }
        auto table = std::make_shared<RoutingTable>();
        table->services.emplace(ServiceName("s"), routes);
        router.setRoutingTable(table);
    }

    void promote()
    {
        if (!transport.group.promote())
            return;
        transport.primaries[transport.group.term] = transport.group.primary;
        // The daemon receives the new routing table after a delay.
        timeline.schedule(Milliseconds(random.below(300)), [this] { publishRoutes(); });
    }

    void scheduleReplication()
    {
        timeline.schedule(Milliseconds(1 + random.below(10)), [this] {
            transport.group.replicate(random.below(groupSize));
            scheduleReplication();
        });
    }

    void addFault()
    {
        switch (random.below(5)) {
        case 0:
            transport.lossPercent = random.below(40);
            break;
        case 1:
            transport.unreachablePercent = random.below(50);
            break;
        case 2:
            transport.group.members.at(transport.group.primary).isolated = true;
            timeline.schedule(Milliseconds(random.below(400)), [this] { promote(); });
            break;
        case 3:
            promote();
            break;
        default:
            for (Group::Member &member : transport.group.members)
                member.isolated = false;
        }
    }

    void issueNext(std::size_t index)
    {
        if (stopping)
            return;
        StatementRequest request;
        request.service = ServiceName("s");
        request.statement = "{}";
        request.remaining = Milliseconds(300 + random.below(1200));
        request.maxAge = Milliseconds(10000);
        if (mechanisms_.sessionTokens)
            request.session = sessions.at(index).token;
        if (random.below(2) == 0)
            issueWrite(index, request);
        else
            issueRead(index, request);
    }

    void issueWrite(std::size_t index, StatementRequest request)
    {
        request.kind = StatementKind::Write;
        request.idempotent = random.below(2) == 0;
        request.requestId = RequestId("w" + std::to_string(++lastWrite));
        if (!request.idempotent)
            nonIdempotent.insert(request.requestId.value());
        router.handleStatement(
            request, [this, index, id = request.requestId.value()](const StatementAnswer &answer) {
                outcomes[id] = answer.outcome;
                if (answer.outcome == Outcome::Committed) {
                    sessions.at(index).seen.insert(id);
                    recordSessionToken(index, answer);
                }
                continueSession(index);
            });
    }

    void issueRead(std::size_t index, const StatementRequest &request)
    {
        router.handleStatement(
            request, [this, index, seen = sessions.at(index).seen](const StatementAnswer &answer) {
                if (answer.outcome == Outcome::Committed)
                    checkRead(index, seen, answer);
                continueSession(index);
            });
    }

    void checkRead(std::size_t index, const std::set<std::string> &seen,
                   const StatementAnswer &answer)
    {
        std::set<std::string> values;
        std::size_t begin = 0;
        for (auto end = answer.result.find(' '); end != std::string::npos;
             end = answer.result.find(' ', begin)) {
            values.insert(answer.result.substr(begin, end - begin));
            begin = end + 1;
        }
        if (!std::includes(values.begin(), values.end(), seen.begin(), seen.end()))
            violation = "a read misses what its session wrote or read before";
        sessions.at(index).seen.insert(values.begin(), values.end());
        delivered.insert(values.begin(), values.end());
        recordSessionToken(index, answer);
    }

    void recordSessionToken(std::size_t index, const StatementAnswer &answer)
    {
        auto &token = sessions.at(index).token;
        if (answer.session)
            token = token && token->term == answer.session->term
                            && token->position > answer.session->position
                        ? token
                        : answer.session;
    }

    void continueSession(std::size_t index)
    {
        timeline.schedule(Milliseconds(random.below(20)), [this, index] { issueNext(index); });
    }

    std::string findLogViolation() const
    {
        std::map<std::string, unsigned> counts;
        for (const Entry &entry : transport.group.members.at(transport.group.primary).log) {
            if (!entry.refused && !entry.requestId.empty())
                ++counts[entry.requestId];
        }
        const auto countOf = [&](const std::string &id) {
            return counts.contains(id) ? counts.at(id) : 0U;
        };
        for (const auto &[id, outcome] : outcomes) {
            if (outcome == Outcome::Committed && countOf(id) != 1)
                return "a committed write is in the log " + std::to_string(countOf(id)) + " times";
            if (outcome == Outcome::NotRun && countOf(id) != 0)
                return "a write reported as not run is in the log";
        }
        for (const std::string &id : nonIdempotent) {
            if (transport.executions.contains(id) && transport.executions.at(id) > 1)
                return "a non-idempotent write was executed twice";
        }
        for (const std::string &id : delivered) {
            if (countOf(id) != 1)
                return "a read delivered an entry that was lost";
        }
        return "";
    }

public:
    SeededRandom random;
    std::map<std::string, Outcome> outcomes;

private:
    Mechanisms mechanisms_;
    Timeline timeline;
    FaultyTransport transport;
    StatementRouter router;
    std::array<Session, sessionCount> sessions;
    std::set<std::string> nonIdempotent;
    std::set<std::string> delivered;
    std::string violation;
    unsigned lastWrite = 0;
    bool stopping = false;
};

// Guards against reporting a wrong outcome and against reads that miss what their session has seen,
// under message loss, delayed requests, isolated primaries, failovers and stale routing tables.
void checkOutcomes(std::uint64_t seed)
{
    Scenario scenario(seed, {});
    scenario.run();
    RC_LOG() << scenario.describe();
    RC_ASSERT(scenario.isCorrect());
}

// Guards against a simulation with too few faults to violate the properties: with a mechanism
// disabled, some seed must fail.
bool findsViolation(const char *name, Mechanisms mechanisms)
{
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Scenario scenario(seed, mechanisms);
        scenario.run();
        if (!scenario.isCorrect()) {
            std::printf("%s off: seed %llu: %s\n", name, static_cast<unsigned long long>(seed),
                        scenario.describe().c_str());
            return true;
        }
    }
    std::printf("%s off: no violation in %llu seeds\n", name,
                static_cast<unsigned long long>(seeds));
    return false;
}

// Guards against a simulation in which writes always have the same outcome.
bool reportsMixedOutcomes()
{
    std::map<Outcome, unsigned> counts;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Scenario scenario(seed, {});
        scenario.run();
        for (const auto &[id, outcome] : scenario.outcomes)
            ++counts[outcome];
    }
    std::printf("writes of 50 runs: %u committed, %u not run, %u unknown\n",
                counts[Outcome::Committed], counts[Outcome::NotRun], counts[Outcome::Unknown]);
    return counts[Outcome::Committed] > 0 && counts[Outcome::NotRun] > 0;
}

} // namespace

int main()
{
    disableLogging();
    bool passed =
        rc::check("reported outcomes are correct and session reads are monotonic", checkOutcomes);
    passed = reportsMixedOutcomes() && passed;
    passed = findsViolation("majority before an answer", {.majorityBeforeAnswer = false}) && passed;
    passed = findsViolation("session tokens", {.sessionTokens = false}) && passed;
    passed =
        findsViolation("refusal recorded by resolve", {.resolveRecordsRefusal = false}) && passed;
    return passed ? 0 : 1;
}
