#include "burn/burn_history.h"

#include "burn/saturating.h"

#include <algorithm>
#include <limits>

namespace pistachiowood {

namespace {

constexpr std::uint64_t minutesPerHour = 60;

} // namespace

BurnBucket &BurnBucket::operator+=(const BurnBucket &other)
{
    total = addSaturated(total, other.total);
    failed = addSaturated(failed, other.failed);
    slow = addSaturated(slow, other.slow);
    replicaReads = addSaturated(replicaReads, other.replicaReads);
    stale = addSaturated(stale, other.stale);
    longestGapMs = std::max(longestGapMs, other.longestGapMs);
    return *this;
}

BurnHistory::BurnHistory(std::uint64_t minute)
    : minute_(minute)
    , endedHours_(minute / minutesPerHour)
{
}

void BurnHistory::advance(std::uint64_t minute)
{
    // After a whole turn of the ring every minute has moved to its hour.
    const std::uint64_t last = std::min(minute, minute_ + minuteBuckets);
    for (std::uint64_t next = minute_ + 1; next <= last; ++next) {
        BurnBucket &slot = minutes_[next % minuteBuckets];
        if (next >= minuteBuckets) {
            const std::uint64_t hour = (next - minuteBuckets) / minutesPerHour;
            advanceHours(hour + 1);
            hours_[hour % hourBuckets] += slot;
        }
        slot = {};
    }
    minute_ = std::max(minute_, minute);
    advanceHours(minute_ / minutesPerHour);
}

void BurnHistory::advanceHours(std::uint64_t hourCount)
{
    if (hourCount <= endedHours_)
        return;
    const std::uint64_t cleared = std::min<std::uint64_t>(hourCount - endedHours_, hourBuckets);
    for (std::uint64_t i = 0; i < cleared; ++i)
        hours_[(hourCount - 1 - i) % hourBuckets] = {};
    endedHours_ = hourCount;
}

const BurnBucket &BurnHistory::minuteAt(std::size_t age) const
{
    return minutes_[(minute_ + minuteBuckets - age) % minuteBuckets];
}

BurnBucket &BurnHistory::minuteAt(std::size_t age)
{
    return minutes_[(minute_ + minuteBuckets - age) % minuteBuckets];
}

const BurnBucket &BurnHistory::hourAt(std::size_t age) const
{
    return hours_[(endedHours_ + 2 * hourBuckets - 1 - age) % hourBuckets];
}

BurnBucket &BurnHistory::hourAt(std::size_t age)
{
    return hours_[(endedHours_ + 2 * hourBuckets - 1 - age) % hourBuckets];
}

BurnBucket BurnHistory::sum(std::size_t windowMinutes) const
{
    BurnBucket result;
    for (std::size_t age = 0; age < std::min(windowMinutes, minuteBuckets); ++age)
        result += minuteAt(age);
    const std::size_t hours = windowMinutes / minutesPerHour;
    for (std::size_t age = 0; age + 1 < hours && age < hourBuckets; ++age)
        result += hourAt(age);
    return result;
}

void BurnHistory::merge(const BurnHistory &other)
{
    for (std::size_t age = 0; age < minuteBuckets; ++age)
        minuteAt(age) += other.minuteAt(age);
    for (std::size_t age = 0; age < hourBuckets; ++age)
        hourAt(age) += other.hourAt(age);
}

} // namespace pistachiowood
