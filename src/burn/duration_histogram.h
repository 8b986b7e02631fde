#ifndef PISTACHIOWOOD_BURN_DURATION_HISTOGRAM_H
#define PISTACHIOWOOD_BURN_DURATION_HISTOGRAM_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pistachiowood {

/// Histogram of durations with 40 bins of equal width on a logarithmic axis (Boost.Histogram) from
/// 0.1 ms to 60 s, each 1.39 times as wide as the one before, and one bin for shorter and longer
/// durations each. The counters are held in place, so that a copy needs no allocation.
struct DurationHistogram
{
    static constexpr std::size_t innerBins = 40;
    static constexpr std::size_t bins = innerBins + 2;

    std::array<std::uint32_t, bins> counts{}; ///< first and last: below and above the axis
    double sumSeconds = 0;

    void add(std::chrono::nanoseconds duration);
    void merge(const DurationHistogram &other);
    std::uint64_t count() const;
    /// Upper edge of a bin in seconds; infinite for the last one.
    static double upperEdge(std::size_t bin);
    /// Upper edge of the bin that holds the quantile; 0 without entries.
    double quantile(double share) const;

    friend bool operator==(const DurationHistogram &, const DurationHistogram &) = default;
};

} // namespace pistachiowood

#endif
