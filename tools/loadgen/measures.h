#ifndef LOADGEN_MEASURES_H
#define LOADGEN_MEASURES_H

#include "loadgen/workload.h"

#include <pistachiowood/clock.h>

#include <memory>
#include <string>

namespace pistachiowood::loadgen {

/// One finished statement or transaction.
struct Sample
{
    WorkKind kind = WorkKind::TokenRead;
    std::string service;
    TimePoint scheduled;
    TimePoint end;
    std::string outcome;
    std::string reason;
    bool fromReplica = false;
};

/// Collects the figures of a run. Latencies count from the scheduled time and cover committed
/// statements only; the percentiles have a resolution of 2 percent.
class Measures
{
public:
    explicit Measures(TimePoint start);
    ~Measures();

    void add(const Sample &sample);
    /// Latency in milliseconds below which the given share of committed statements lies.
    double latencyAt(WorkKind kind, double share) const;
    double replicaReadShare() const;
    /// Longest time without a committed write to the service, from the start to the end of the run.
    Milliseconds longestWriteGap(const std::string &service, TimePoint end) const;
    double refusedShare() const;

    std::string formatTable(TimePoint end) const;
    std::string formatJson(TimePoint end) const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood::loadgen

#endif
