#include "history_check/checker.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace pistachiowood::check;

TEST_GROUP(HistoryCheck)
{
    std::vector<Record> history;
    FinalContent content{{{"s", "k"}, {}}};

    Record &add(bool isRead, std::int64_t startMs, std::int64_t endMs, std::uint64_t session)
    {
        history.push_back({.line = history.size() + 1,
                           .startUs = startMs * 1000,
                           .endUs = endMs * 1000,
                           .session = session,
                           .service = "s",
                           .key = "k",
                           .outcome = RecordOutcome::Committed,
                           .isRead = isRead});
        return history.back();
    }

    Record &append(const std::string &value, std::int64_t endMs, std::uint64_t session = 1)
    {
        Record &record = add(false, endMs - 1, endMs, session);
        record.value = value;
        return record;
    }

    Record &read(std::vector<std::string> result, std::int64_t startMs, std::uint64_t session = 1)
    {
        Record &record = add(true, startMs, startMs + 1, session);
        record.result = std::move(result);
        record.tokenRead = true;
        return record;
    }

    void setFinal(std::vector<std::string> values)
    {
        content[{"s", "k"}] = std::move(values);
    }

    /// Rules that are violated, in the order of their report.
    std::string rules() const
    {
        std::string names;
        for (const Violation &violation : checkHistory(history, content, {}).violations)
            names += (names.empty() ? "" : ", ") + violation.rule;
        return names;
    }
};

// Guards against a checker that reports violations in a correct history.
TEST(HistoryCheck, acceptsCorrectHistory)
{
    append("a", 10);
    append("b", 20, 2);
    append("x", 25).outcome = RecordOutcome::NotRun;
    append("u", 27).outcome = RecordOutcome::Unknown;
    read({"a"}, 15);
    read({"a", "b", "u"}, 30, 2);
    setFinal({"a", "b"});
    STRCMP_EQUAL("", rules().c_str());
}

// Guards against an undetected lost or doubled committed append.
TEST(HistoryCheck, committedMustBePresentOnce)
{
    append("a", 10);
    STRCMP_EQUAL("committed exactly once", rules().c_str());
    setFinal({"a", "a"});
    STRCMP_EQUAL("committed exactly once", rules().c_str());
}

// Guards against an undetected false "not run".
TEST(HistoryCheck, notRunMustBeAbsent)
{
    append("a", 10).outcome = RecordOutcome::NotRun;
    setFinal({"a"});
    STRCMP_EQUAL("not_run absent", rules().c_str());
}

// Guards against an undetected second run of a non-idempotent request with unknown outcome.
TEST(HistoryCheck, nonIdempotentAtMostOnce)
{
    Record &record = append("a", 10);
    record.outcome = RecordOutcome::Unknown;
    record.idempotent = false;
    setFinal({"a", "a"});
    STRCMP_EQUAL("non-idempotent at most once", rules().c_str());
}

// Guards against undetected values that nobody wrote and keys that the final content leaves out.
TEST(HistoryCheck, finalContentMustMatchKeys)
{
    read({}, 10);
    setFinal({"z"});
    STRCMP_EQUAL("origin", rules().c_str());
    content.clear();
    STRCMP_EQUAL("final content", rules().c_str());
}

// Guards against a session's missing write that goes unnoticed, and against the rule being applied
// to other sessions, to overlapping requests and to reads without a token.
TEST(HistoryCheck, readYourWritesPerSession)
{
    append("a", 10);
    setFinal({"a"});
    read({}, 20, 2);
    read({}, 9);
    read({}, 21, 1).tokenRead = false;
    STRCMP_EQUAL("", rules().c_str());
    read({}, 10);
    STRCMP_EQUAL("read your writes", rules().c_str());
}

// Guards against a session that goes back in time unnoticed.
TEST(HistoryCheck, monotonicReadsPerSession)
{
    append("a", 10, 9);
    setFinal({"a"});
    read({"a"}, 20);
    read({}, 30, 2);
    STRCMP_EQUAL("", rules().c_str());
    read({}, 30);
    STRCMP_EQUAL("monotonic reads", rules().c_str());
}

// Guards against data older than accepted, with the slack of 50 ms counted once.
TEST(HistoryCheck, acceptedAgeBoundsMissingWrites)
{
    append("a", 1000, 9);
    setFinal({"a"});
    Record &aged = read({}, 1150);
    aged.tokenRead = false;
    aged.maxAgeMs = 100;
    STRCMP_EQUAL("", rules().c_str());
    history.back().startUs += 1;
    STRCMP_EQUAL("accepted age", rules().c_str());
}

// Guards against reads of entries that a change of primary discarded or reordered.
TEST(HistoryCheck, readMustBePrefixOfFinalContent)
{
    append("a", 10, 8);
    append("b", 20, 9);
    setFinal({"a", "b"});
    read({"b"}, 30).tokenRead = false;
    STRCMP_EQUAL("prefix of final content", rules().c_str());
    history.back().result = {"a", "b", "lost"};
    STRCMP_EQUAL("prefix of final content", rules().c_str());
}

// Guards against a truncated or foreign history that is accepted as correct.
TEST(HistoryCheck, malformedLineIsAnError)
{
    CHECK_FALSE(!!parseRecord(R"({"start_us":1)"));
    CHECK_FALSE(!!parseRecord(R"({"start_us":1,"end_us":2,"session":0,"service":"s","kind":"read",
                                  "key":"k","outcome":"committed"})"));
    CHECK_TRUE(!!parseRecord(R"({"start_us":1,"end_us":2,"session":0,"service":"s","kind":"read",
                                 "key":"k","outcome":"committed","result":["a"]})"));
}
