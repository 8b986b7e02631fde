#include "burn/service_metrics.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(BurnHistory){};

// Guards against minutes that are lost or counted twice when they move to their hour.
TEST(BurnHistory, bucketRolloverKeepsEveryStatementOnce)
{
    BurnHistory history;
    for (std::uint64_t minute = 0; minute < 72 * 60; ++minute) {
        history.advance(minute);
        history.minuteAt(0).total += 1;
    }
    UNSIGNED_LONGS_EQUAL(5, history.sum(5).total);
    UNSIGNED_LONGS_EQUAL(60, history.sum(60).total);
    UNSIGNED_LONGS_EQUAL(6 * 60, history.sum(6 * 60).total);
    UNSIGNED_LONGS_EQUAL(72 * 60, history.sum(72 * 60).total);
    history.advance(72 * 60 + 30);
    UNSIGNED_LONGS_EQUAL(0, history.sum(5).total);
    UNSIGNED_LONGS_EQUAL(29, history.sum(60).total);
    UNSIGNED_LONGS_EQUAL(71 * 60, history.sum(72 * 60).total); // the oldest hour has left
}

// Guards against old buckets that reappear as new ones after a long pause.
TEST(BurnHistory, longPauseClearsOldBuckets)
{
    for (const std::uint64_t pause : {61, 120, 71 * 60, 72 * 60, 73 * 60, 1000000}) {
        BurnHistory history(59);
        history.minuteAt(0).total = 7;
        history.advance(59 + pause);
        UNSIGNED_LONGS_EQUAL(0, history.sum(60).total);
        UNSIGNED_LONGS_EQUAL(pause <= 71 * 60 ? 7 : 0, history.sum(72 * 60).total);
        history.advance(59);
        UNSIGNED_LONGS_EQUAL(59 + pause, history.minute());
    }
}

TEST_GROUP(ServiceMetrics)
{
    ManualClock clock;
    ServiceMetrics metrics{VmId("vm-1"), clock};

    void finish(StatementKind kind, Outcome outcome, ErrorCode code = ErrorCode::Unavailable,
                Milliseconds latency = 10ms)
    {
        StatementRequest request;
        request.service = ServiceName("cutlist-db");
        request.kind = kind;
        StatementAnswer answer;
        answer.outcome = outcome;
        if (outcome != Outcome::Committed)
            answer.error = Error{code, "refused"};
        metrics.record(request, answer, latency);
    }
    BurnBucket lastHour()
    {
        const MetricsSnapshot snapshot = metrics.snapshot();
        BurnHistory history = snapshot.services.at(0)->history;
        history.advance(snapshot.minute());
        return history.sum(60);
    }
};

// Guards against refused statements that count as slow, and bad requests that use up the budget.
TEST(ServiceMetrics, classifiesStatements)
{
    finish(StatementKind::Read, Outcome::Committed);
    finish(StatementKind::Read, Outcome::Committed, ErrorCode::Internal, 251ms);
    finish(StatementKind::Read, Outcome::NotRun, ErrorCode::Unavailable, 9000ms);
    finish(StatementKind::Read, Outcome::NotRun, ErrorCode::InvalidArgument);
    const BurnBucket bucket = lastHour();
    UNSIGNED_LONGS_EQUAL(3, bucket.total);
    UNSIGNED_LONGS_EQUAL(1, bucket.failed);
    UNSIGNED_LONGS_EQUAL(1, bucket.slow);
    const auto record = metrics.snapshot().services.at(0);
    UNSIGNED_LONGS_EQUAL(2, record->outcomes[0][1]);
    UNSIGNED_LONGS_EQUAL(2, record->latency[0].count());
}

// Guards against rollbacks and settled requests that use up the error budget or open a write gap.
TEST(ServiceMetrics, answersWithoutErrorAreNoRefusals)
{
    StatementRequest request;
    request.service = ServiceName("cutlist-db");
    request.kind = StatementKind::Write;
    metrics.record(request, StatementAnswer{}, 10ms); // not run, without an error
    clock.advance(3s);
    finish(StatementKind::Write, Outcome::Committed);
    const BurnBucket bucket = lastHour();
    UNSIGNED_LONGS_EQUAL(2, bucket.total);
    UNSIGNED_LONGS_EQUAL(0, bucket.failed);
    UNSIGNED_LONGS_EQUAL(0, bucket.longestGapMs);
    const auto record = metrics.snapshot().services.at(0);
    UNSIGNED_LONGS_EQUAL(0, record->refusals[static_cast<std::size_t>(ErrorCode::Internal)]);
}

// Guards against records of invented services, whose objectives would fire alarms.
TEST(ServiceMetrics, unknownOutcomeOfAMissingServiceCreatesNoRecord)
{
    finish(StatementKind::Write, Outcome::Unknown, ErrorCode::NotFound);
    CHECK_TRUE(metrics.snapshot().services.empty());
}

// Guards against a gap that restarts with each failed write or hides until it has ended.
TEST(ServiceMetrics, writeGapRunsFromFirstFailedToNextCommittedWrite)
{
    finish(StatementKind::Write, Outcome::NotRun);
    clock.advance(3s);
    finish(StatementKind::Write, Outcome::Unknown, ErrorCode::OutcomeUnknown);
    UNSIGNED_LONGS_EQUAL(3000, lastHour().longestGapMs);
    finish(StatementKind::Read, Outcome::Committed);
    clock.advance(4s);
    finish(StatementKind::Write, Outcome::Committed);
    UNSIGNED_LONGS_EQUAL(7000, lastHour().longestGapMs);
    clock.advance(1s);
    finish(StatementKind::Write, Outcome::Committed);
    UNSIGNED_LONGS_EQUAL(7000, lastHour().longestGapMs);
}

// Guards against an idle hour after one refused write that shows as an hour without a primary.
TEST(ServiceMetrics, idleTimeIsNoWriteGap)
{
    finish(StatementKind::Write, Outcome::NotRun);
    clock.advance(61s);
    finish(StatementKind::Write, Outcome::Committed);
    UNSIGNED_LONGS_EQUAL(0, lastHour().longestGapMs);
}

// Guards against a snapshot that changes under its reader in another thread.
TEST(ServiceMetrics, snapshotIsImmutable)
{
    finish(StatementKind::Read, Outcome::Committed);
    const MetricsSnapshot first = metrics.snapshot();
    finish(StatementKind::Read, Outcome::Committed);
    metrics.setObjectives({{ServiceName("cutlist-db"), {0.9, 1ms, 0.9, 1ms, 1ms}}});
    UNSIGNED_LONGS_EQUAL(1, first.services.at(0)->outcomes[0][0]);
    CHECK_TRUE(first.services.at(0)->objectives == ServiceObjectives{});
    const MetricsSnapshot second = metrics.snapshot();
    UNSIGNED_LONGS_EQUAL(2, second.services.at(0)->outcomes[0][0]);
    LONGS_EQUAL(1, second.services.at(0)->objectives.latency.count());
}

// Guards against memory that grows with service names that callers invent.
TEST(ServiceMetrics, numberOfRecordsIsBounded)
{
    StatementRequest request;
    StatementAnswer answer;
    answer.error = Error{ErrorCode::NotFound, "unknown service"};
    request.service = ServiceName("invented");
    metrics.record(request, answer, 1ms);
    UNSIGNED_LONGS_EQUAL(0, metrics.snapshot().services.size());
    answer.outcome = Outcome::Committed;
    for (std::size_t i = 0; i < maxRecordedServices + 3; ++i) {
        request.service = ServiceName(std::to_string(i));
        metrics.record(request, answer, 1ms);
    }
    UNSIGNED_LONGS_EQUAL(maxRecordedServices, metrics.snapshot().services.size());
    UNSIGNED_LONGS_EQUAL(4, metrics.snapshot().unattributed);
}

// Guards against durations at the edges of the axis that fall outside the counters.
TEST(ServiceMetrics, histogramHoldsEveryDuration)
{
    DurationHistogram histogram;
    for (const auto duration : {-1ms, 0ms, 1ms, 60000ms, 90000000ms})
        histogram.add(duration);
    UNSIGNED_LONGS_EQUAL(5, histogram.count());
    UNSIGNED_LONGS_EQUAL(2, histogram.counts.front());
    UNSIGNED_LONGS_EQUAL(2, histogram.counts.back());
    CHECK_TRUE(histogram.quantile(0.5) >= 0.001 && histogram.quantile(0.5) < 0.0014);
}
