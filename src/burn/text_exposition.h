#ifndef PISTACHIOWOOD_BURN_TEXT_EXPOSITION_H
#define PISTACHIOWOOD_BURN_TEXT_EXPOSITION_H

#include "burn/service_metrics.h"
#include "pools/endpoint_pool.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// Content type of the text exposition format.
inline constexpr std::string_view expositionContentType = "text/plain; version=0.0.4";

struct EndpointPoolStats
{
    ServiceName service;
    EndpointId endpoint;
    PoolStats stats;
};

struct ProcessUsage
{
    double cpuSeconds = 0; ///< user and system time of all threads
    std::uint64_t residentBytes = 0;
};

/// Reads the usage of this process; empty when the system does not provide it.
std::optional<ProcessUsage> readProcessUsage();

/// Escapes a label value: backslash, double quote and line feed.
std::string escapeLabelValue(std::string_view value);

/// Renders the body of /metrics. Only known usage is written, never a zero in its place.
std::string renderExposition(const MetricsSnapshot &snapshot,
                             const std::vector<EndpointPoolStats> &pools,
                             const std::optional<ProcessUsage> &usage);

} // namespace pistachiowood

#endif
