#include "burn/duration_histogram.h"

#include "burn/saturating.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>
#include <limits>
#include <numeric>

namespace pistachiowood {

namespace {

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr double shortestSeconds = 0.0001;
constexpr double longestSeconds = 60;

const LogAxis &axis()
{
    static const LogAxis instance(DurationHistogram::innerBins, shortestSeconds, longestSeconds);
    return instance;
}

} // namespace

void DurationHistogram::add(std::chrono::nanoseconds duration)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(duration).count());
    // The axis counts its bins from 0 and reports -1 below; a logarithm of 0 is not passed to it.
    const int bin = seconds < shortestSeconds ? -1 : axis().index(seconds);
    const int slot = bin + 1;
    std::uint32_t &count = counts[static_cast<std::size_t>(slot)];
    count = addSaturated(count, 1);
    sumSeconds += seconds;
}

void DurationHistogram::merge(const DurationHistogram &other)
{
    for (std::size_t bin = 0; bin < bins; ++bin)
        counts[bin] = addSaturated(counts[bin], other.counts[bin]);
    sumSeconds += other.sumSeconds;
}

std::uint64_t DurationHistogram::count() const
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

double DurationHistogram::upperEdge(std::size_t bin)
{
    if (bin + 1 >= bins)
        return std::numeric_limits<double>::infinity();
    return axis().value(static_cast<int>(bin));
}

double DurationHistogram::quantile(double share) const
{
    const double wanted = share * static_cast<double>(count());
    std::uint64_t seen = 0;
    for (std::size_t bin = 0; bin < bins; ++bin) {
        seen += counts[bin];
        if (seen > 0 && static_cast<double>(seen) >= wanted)
            return upperEdge(bin);
    }
    return 0;
}

} // namespace pistachiowood
