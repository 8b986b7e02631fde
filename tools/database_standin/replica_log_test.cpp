#include "database_standin/replica_log.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace pistachiowood::standin;

namespace {

constexpr std::uint64_t anyConnection = 1;

template <typename T>
const T &valueOf(const Answer<T> &answer)
{
    CHECK_TEXT(std::holds_alternative<T>(answer), "the request was refused");
    return std::get<T>(answer);
}

template <typename T>
void checkRefused(RefusalCode code, const Answer<T> &answer)
{
    CHECK_TEXT(std::holds_alternative<Refusal>(answer), "the request was not refused");
    CHECK_TRUE(std::get<Refusal>(answer).code == code);
}

} // namespace

TEST_GROUP(ReplicaLog)
{
    ManualClock clock;
    ReplicaLog a{EndpointId("a"), 3, clock};
    ReplicaLog b{EndpointId("b"), 3, clock};
    ReplicaLog c{EndpointId("c"), 3, clock};

    Answer<StatementResult> run(ReplicaLog & log, std::uint64_t term, const Operation &operation,
                                const std::string &requestId = "", bool inTransaction = false)
    {
        return log.execute(anyConnection,
                           {Term(term), operation, RequestId(requestId), inTransaction});
    }

    Answer<StatementResult> append(ReplicaLog & log, std::uint64_t term, std::uint64_t value,
                                   const std::string &requestId = "", bool inTransaction = false)
    {
        return run(log, term, {OperationKind::Append, "k", value}, requestId, inTransaction);
    }

    std::string get(ReplicaLog & log, bool inTransaction = false)
    {
        const auto answer =
            run(log, log.term().value(), {OperationKind::Get, "k", {}}, "", inTransaction);
        return boost::json::serialize(valueOf(answer).result);
    }

    void promote(ReplicaLog & log, std::uint64_t term)
    {
        CHECK_TRUE(log.raiseTerm(Term(term), "p"));
        CHECK_FALSE(log.promote(Term(term), "p").has_value());
    }

    // Fetches once; false when the batch changed nothing.
    bool fetch(ReplicaLog & primary, ReplicaLog & follower, Milliseconds roundTrip)
    {
        const auto query = follower.nextQuery();
        CHECK_TRUE(query.has_value());
        const TimePoint sentAt = clock.now();
        const LogBatch batch = valueOf(primary.readLog(*query));
        clock.advance(roundTrip);
        return follower.recordPrimaryContact(batch) && follower.applyBatch(batch, sentAt);
    }

    // Follows and fetches until the logs agree; returns the number of fetches.
    int replicate(ReplicaLog & primary, ReplicaLog & follower)
    {
        CHECK_FALSE(follower.follow(primary.term(), primary.id()).has_value());
        for (int fetches = 1; fetches < 20; ++fetches) {
            CHECK_TRUE(fetch(primary, follower, Milliseconds(0)));
            if (follower.isMatched() && follower.position() == primary.position())
                return fetches;
        }
        FAIL("the logs did not converge");
        return 0;
    }
};

// Guards against a replaced primary or a late statement that writes in an older term.
TEST(ReplicaLog, refusesStatementsOfOtherTerms)
{
    promote(a, 2);
    checkRefused(RefusalCode::StaleTerm, append(a, 1, 1));
    checkRefused(RefusalCode::NewerTermRequired, append(a, 3, 1));
    CHECK_TRUE(a.raiseTerm(Term(3), "q"));
    checkRefused(RefusalCode::StaleTerm, append(a, 2, 1));
    checkRefused(RefusalCode::NotPrimary, append(a, 3, 1));
    CHECK_EQUAL(1, a.position().value()); // the entry of the promotion
}

// Guards against two promoters that both hold the grant of one term.
TEST(ReplicaLog, grantsTermOnce)
{
    CHECK_TRUE(a.raiseTerm(Term(5), "p"));
    CHECK_TRUE(a.raiseTerm(Term(5), "p"));
    CHECK_FALSE(a.raiseTerm(Term(5), "q"));
    CHECK_FALSE(a.raiseTerm(Term(4), "p"));
    // A term adopted from follow was granted by others and to nobody here.
    CHECK_FALSE(a.follow(Term(6), EndpointId("b")).has_value());
    CHECK_FALSE(a.raiseTerm(Term(6), "p"));
    CHECK_FALSE(a.raiseTerm(Term(6), ""));
}

// Guards against a second primary in a term.
TEST(ReplicaLog, promotesOnlyForTheGrant)
{
    CHECK_TRUE(a.raiseTerm(Term(2), "p"));
    CHECK_TRUE(a.promote(Term(2), "q")->code == RefusalCode::Conflict);
    CHECK_TRUE(a.promote(Term(3), "p")->code == RefusalCode::NewerTermRequired);
    CHECK_TRUE(a.promote(Term(1), "p")->code == RefusalCode::StaleTerm);
    CHECK_FALSE(a.follow(Term(2), EndpointId("b")).has_value());
    CHECK_TRUE(a.promote(Term(2), "p")->code == RefusalCode::Conflict);
    CHECK_FALSE(a.isPrimary());
    promote(b, 2);
    CHECK_TRUE(b.follow(Term(2), EndpointId("a"))->code == RefusalCode::Conflict);
    CHECK_TRUE(b.follow(Term(1), EndpointId("a"))->code == RefusalCode::StaleTerm);
    CHECK_TRUE(b.isPrimary());
}

// Guards against a term without an entry of its own, in which no position becomes durable before
// the first write, and against a repeated promote that writes a second entry.
TEST(ReplicaLog, promotionWritesOneEntry)
{
    promote(a, 1);
    append(a, 1, 1);
    replicate(a, b);
    CHECK_TRUE(b.raiseTerm(Term(2), "p"));
    CHECK_TRUE(b.promote(Term(2), "q")->code == RefusalCode::Conflict);
    CHECK_EQUAL(2, b.position().value());
    for (int attempt = 0; attempt < 2; ++attempt) {
        CHECK_FALSE(b.promote(Term(2), "p").has_value());
        CHECK_EQUAL(3, b.position().value());
        CHECK_EQUAL(2, b.report().lastEntryTerm.value());
        // The term begins below its entry.
        CHECK_TRUE(
            b.history()
            == std::vector<TermStart>({{Term(1), LogPosition(0)}, {Term(2), LogPosition(2)}}));
    }
    CHECK_FALSE(a.follow(Term(2), b.id()).has_value());
    const LogBatch batch = valueOf(b.readLog(*a.nextQuery()));
    CHECK_EQUAL(1, batch.entries.size());
    const LogEntry &entry = batch.entries.front();
    CHECK_EQUAL(2, entry.term.value());
    CHECK_TRUE(entry.operations.empty() && entry.requestId.value().empty() && !entry.refused);
    CHECK_EQUAL(std::string("[1]"), get(b));
}

// Guards against an entry of a promotion that outlives its term or hides a divergent log.
TEST(ReplicaLog, truncatesEntryOfOlderPromotion)
{
    promote(a, 1);
    append(a, 1, 1);
    replicate(a, b);
    promote(a, 2); // the entry reaches nobody
    promote(b, 3);
    CHECK_EQUAL(3, a.position().value());
    CHECK_EQUAL(3, b.position().value());
    CHECK_EQUAL(2, replicate(b, a)); // one fetch truncates, one appends
    CHECK_EQUAL(3, a.report().lastEntryTerm.value());
    CHECK_TRUE(a.history() == b.history());
    CHECK_EQUAL(std::string("[1]"), get(a));
}

// Guards against a returning primary that keeps or serves its unreplicated tail.
TEST(ReplicaLog, truncatesDivergentTail)
{
    promote(a, 1);
    append(a, 1, 1);
    replicate(a, b);
    append(a, 1, 2);
    append(a, 1, 3);
    promote(b, 2);
    append(b, 2, 4);
    CHECK_FALSE(a.follow(Term(2), b.id()).has_value());
    CHECK_FALSE(a.isMatched());
    replicate(b, a);
    CHECK_EQUAL(std::string("[1,4]"), get(a));
    CHECK_EQUAL(2, a.report().lastEntryTerm.value());
    CHECK_TRUE(a.history() == b.history());
}

// Guards against a fetch loop that makes no progress when the primary's entry has an older term.
TEST(ReplicaLog, convergesWhenTailHasNewerTermsThanThePrimarysEntries)
{
    promote(a, 1);
    for (std::uint64_t value = 0; value < 50; ++value)
        append(a, 1, value);
    for (std::uint64_t term = 2; term < 6; ++term) { // tails of four terms that only b and c held
        ReplicaLog &log = term % 2 == 0 ? b : c;
        ReplicaLog &previous = term % 2 == 0 ? c : b;
        if (term > 2)
            replicate(previous, log);
        promote(log, term);
        for (std::uint64_t value = 0; value < 5; ++value)
            append(log, term, value);
    }
    promote(a, 9);
    append(a, 9, 9);
    CHECK_TRUE(replicate(a, c) <= 6);
    CHECK_EQUAL(get(a), get(c));
    CHECK_EQUAL(53, c.position().value()); // 51 writes and a's two promotions
}

// Guards against truncation by a message of an older term or by another endpoint.
TEST(ReplicaLog, ignoresBatchesOfOtherTermsAndPrimaries)
{
    promote(a, 1);
    append(a, 1, 1);
    replicate(a, b);
    LogBatch batch = valueOf(a.readLog(*b.nextQuery()));
    batch.truncateTo = LogPosition(0);
    CHECK_FALSE(b.applyBatch(batch, clock.now())); // the log is matched
    CHECK_FALSE(a.applyBatch(batch, clock.now())); // a primary
    CHECK_FALSE(b.follow(Term(2), c.id()).has_value());
    CHECK_FALSE(b.applyBatch(batch, clock.now())); // an older term
    batch.term = Term(2);
    CHECK_FALSE(b.applyBatch(batch, clock.now())); // not the followed primary
    CHECK_EQUAL(2, b.position().value());
}

// Guards against a request that runs twice after a promotion, or is called a duplicate although its
// entry was truncated.
TEST(ReplicaLog, requestIdFollowsTheLog)
{
    promote(a, 1);
    append(a, 1, 1, "kept");
    replicate(a, b);
    append(a, 1, 2, "lost");
    promote(b, 2);
    const auto again = valueOf(append(b, 2, 1, "kept"));
    CHECK_TRUE(again.duplicate);
    CHECK_TRUE(again.result == 1);
    CHECK_EQUAL(2, again.entryPosition.value());
    replicate(b, a);
    promote(a, 3);
    CHECK_TRUE(valueOf(append(a, 3, 1, "kept")).duplicate);
    CHECK_FALSE(valueOf(append(a, 3, 2, "lost")).duplicate);
    CHECK_EQUAL(std::string("[1,2]"), get(a));
}

// Guards against a late copy of a request that runs after it was reported as not run.
TEST(ReplicaLog, resolvedRequestCannotRunLater)
{
    promote(a, 1);
    append(a, 1, 1, "done");
    const auto done = valueOf(a.resolve(Term(1), RequestId("done")));
    CHECK_TRUE(done.committed && done.result == 1);
    const auto refused = valueOf(a.resolve(Term(1), RequestId("late")));
    CHECK_FALSE(refused.committed);
    CHECK_EQUAL(3, refused.entryPosition.value());
    replicate(a, b);
    promote(b, 2);
    checkRefused(RefusalCode::RefusedRequest, append(b, 2, 1, "late"));
    CHECK_FALSE(valueOf(b.resolve(Term(2), RequestId("late"))).committed);
    CHECK_FALSE(b.begin(anyConnection, Term(2)).has_value());
    checkRefused(RefusalCode::RefusedRequest, b.commit(anyConnection, Term(2), RequestId("late")));
    CHECK_EQUAL(std::string("[1]"), get(b));
}

// Guards against a transaction whose writes are visible early, split over entries or run twice.
TEST(ReplicaLog, commitsTransactionAsOneEntry)
{
    promote(a, 1);
    CHECK_FALSE(a.begin(anyConnection, Term(1)).has_value());
    append(a, 1, 1, "", true);
    append(a, 1, 2, "", true);
    CHECK_EQUAL(std::string("[1,2]"), get(a, true));
    CHECK_EQUAL(1, a.position().value()); // the entry of the promotion
    const auto first = valueOf(a.commit(anyConnection, Term(1), RequestId("t")));
    CHECK_EQUAL(2, a.position().value());
    const auto again = valueOf(a.commit(anyConnection, Term(1), RequestId("t")));
    CHECK_TRUE(again.duplicate && again.result == first.result);
    CHECK_EQUAL(std::string("[1,2]"), get(a));
}

// Guards against half a transaction when one of its writes no longer fits the data.
TEST(ReplicaLog, failedCommitAppliesNothing)
{
    promote(a, 1);
    CHECK_FALSE(a.begin(anyConnection, Term(1)).has_value());
    run(a, 1, {OperationKind::Put, "other", 1}, "", true);
    append(a, 1, 1, "", true);
    const std::uint64_t otherConnection = 2;
    a.execute(otherConnection, {Term(1), {OperationKind::Put, "k", "text"}, RequestId(), false});
    checkRefused(RefusalCode::InvalidArgument, a.commit(anyConnection, Term(1), RequestId("t")));
    CHECK_TRUE(valueOf(run(a, 1, {OperationKind::Count, "", {}})).result == 1);
    CHECK_EQUAL(2, a.position().value()); // the promotion and the other connection's write
}

// Guards against a transaction that survives its connection or its term.
TEST(ReplicaLog, closeAndNewTermRollBack)
{
    promote(a, 1);
    CHECK_FALSE(a.begin(anyConnection, Term(1)).has_value());
    append(a, 1, 1, "", true);
    a.rollback(anyConnection);
    checkRefused(RefusalCode::TransactionLost, a.commit(anyConnection, Term(1), RequestId()));
    CHECK_FALSE(a.begin(anyConnection, Term(1)).has_value());
    append(a, 1, 1, "", true);
    promote(a, 2);
    checkRefused(RefusalCode::StaleTerm, a.commit(anyConnection, Term(1), RequestId()));
    checkRefused(RefusalCode::TransactionLost, append(a, 2, 1, "", true));
    checkRefused(RefusalCode::TransactionLost, a.commit(anyConnection, Term(2), RequestId()));
    CHECK_EQUAL(2, a.position().value()); // the entries of the two promotions
}

// Guards against an isolated primary and its followers that report fresh data.
TEST(ReplicaLog, ageGrowsWithoutMajority)
{
    promote(a, 1);
    CHECK_TRUE(a.report().age == unknownAge); // no contact in its term yet
    replicate(a, b);
    CHECK_TRUE(b.report().age == unknownAge);
    fetch(a, b, Milliseconds(10)); // brings the echo
    CHECK_EQUAL(10, a.report().age.count());
    CHECK_EQUAL(10, b.report().age.count());
    clock.advance(Milliseconds(1000));
    CHECK_EQUAL(1010, a.report().age.count());
    // b is cut off; in a group of five one follower is no majority.
    ReplicaLog wide{EndpointId("w"), 5, clock};
    promote(wide, 2);
    replicate(wide, c);
    fetch(wide, c, Milliseconds(0));
    CHECK_TRUE(wide.report().age == unknownAge);
}

// Guards against a follower that reports the age of its fetch only, not that of its old primary.
TEST(ReplicaLog, followerAddsThePrimarysAge)
{
    promote(a, 1);
    replicate(a, b);
    fetch(a, b, Milliseconds(0));
    clock.advance(Milliseconds(5000)); // b is gone; c's first fetch has no echo
    CHECK_FALSE(c.follow(Term(1), a.id()).has_value());
    fetch(a, c, Milliseconds(7));
    CHECK_EQUAL(5007, c.report().age.count());
}

// Guards against a new primary that reports age 0 although its grant may be outdated.
TEST(ReplicaLog, promotionDoesNotResetAge)
{
    promote(a, 1);
    replicate(a, b);
    fetch(a, b, Milliseconds(0));
    clock.advance(Milliseconds(3000));
    promote(b, 2);
    CHECK_EQUAL(3000, b.report().age.count());
    promote(a, 2);
    CHECK_EQUAL(3000, a.report().age.count());
}

// Guards against a history that names a term whose entries the promoted log does not hold.
TEST(ReplicaLog, promotionDropsTermsThatBeganAboveTheLog)
{
    promote(a, 1);
    append(a, 1, 1);
    append(a, 1, 2);
    promote(a, 2);
    CHECK_FALSE(b.follow(Term(2), a.id()).has_value());
    auto query = *b.nextQuery();
    query.maxEntries = 2; // one entry less than a held when term 2 began
    CHECK_TRUE(b.applyBatch(valueOf(a.readLog(query)), clock.now()));
    promote(b, 3);
    CHECK_TRUE(b.history()
               == std::vector<TermStart>({{Term(1), LogPosition(0)}, {Term(3), LogPosition(2)}}));
}
