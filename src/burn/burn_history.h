#ifndef PISTACHIOWOOD_BURN_BURN_HISTORY_H
#define PISTACHIOWOOD_BURN_BURN_HISTORY_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace pistachiowood {

/// Statements of one period. Sums saturate instead of wrapping.
struct BurnBucket
{
    std::uint32_t total = 0; ///< statements that count for availability
    std::uint32_t failed = 0; ///< refused or unknown
    std::uint32_t slow = 0; ///< committed, but above the latency bound
    std::uint32_t replicaReads = 0;
    std::uint32_t stale = 0; ///< replica reads above the freshness bound
    std::uint32_t longestGapMs = 0; ///< longest write gap observed in the period

    /// Adds the counters and keeps the longer gap.
    BurnBucket &operator+=(const BurnBucket &other);
    friend bool operator==(const BurnBucket &, const BurnBucket &) = default;
};

/// Counters of one service over 72 h: 60 buckets of one minute, then 71 of one hour. A minute that
/// leaves the first ring is added to its hour. 131 buckets of 24 bytes take 3144 bytes.
class BurnHistory
{
public:
    static constexpr std::size_t minuteBuckets = 60;
    static constexpr std::size_t hourBuckets = 71;

    /// Minutes are counted from any fixed start.
    explicit BurnHistory(std::uint64_t minute = 0);

    /// Moves to a later minute; an earlier one has no effect.
    void advance(std::uint64_t minute);
    std::uint64_t minute() const { return minute_; }

    /// Bucket by age; 0 is the current minute.
    BurnBucket &minuteAt(std::size_t age);
    const BurnBucket &minuteAt(std::size_t age) const;
    /// Bucket by age; 0 is the hour before the current one, without the minutes still kept singly.
    BurnBucket &hourAt(std::size_t age);
    const BurnBucket &hourAt(std::size_t age) const;

    /// Sum over a window of 1 to 60 minutes or of whole hours up to 72. The newest bucket is not
    /// full yet, so a window of minutes is up to one minute shorter than stated and a window of
    /// hours up to one hour.
    BurnBucket sum(std::size_t windowMinutes) const;
    /// Adds another history bucket by bucket; both count ages from their own current minute.
    void merge(const BurnHistory &other);

private:
    void advanceHours(std::uint64_t hourCount);

    std::uint64_t minute_;
    /// Hours that have ended, which is also one more than the newest hour in the ring.
    std::uint64_t endedHours_;
    std::array<BurnBucket, minuteBuckets> minutes_{};
    std::array<BurnBucket, hourBuckets> hours_{};
};

} // namespace pistachiowood

#endif
