#ifndef PISTACHIOWOOD_ROUTING_READ_ROUTER_H
#define PISTACHIOWOOD_ROUTING_READ_ROUTER_H

#include "configuration/objects.h"
#include "endpoints/endpoint_report.h"

#include <pistachiowood/clock.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace pistachiowood {

/// Which replicas a read prefers to the primary.
enum class ReplicaPreference {
    Zone, ///< replicas of the daemon's zone, then any endpoint by distance
    Region, ///< replicas of the daemon's region, then a primary in it, then remote endpoints
    PrimaryOnly, ///< baseline for measurements: every read goes to the primary
};

/// Conditions that the answer to a read must meet.
struct ReadRequirement
{
    Term term; ///< current term of the service
    LogPosition minPosition; ///< 0 when the session carries no token
    Milliseconds maxAge{0};
};

/// Endpoint that may serve a read, with its location and role.
struct ReadCandidate
{
    EndpointId id;
    ZoneName zone;
    RegionName region;
    bool isPrimary = false;
};

/// Location of this daemon.
struct Locality
{
    ZoneName zone;
    RegionName region;
};

/// Result of checking the answer to a read.
enum class AnswerVerdict {
    Deliver, ///< the answer meets the requirement
    BelowToken, ///< the endpoint has not reached the position of the session token
    TooOld, ///< the data is older than the read accepts
    WrongTerm, ///< the endpoint's term is not the service's current one
};

/// Checks the report that came with an answer against the requirement of the read.
AnswerVerdict checkReadAnswer(const ReadRequirement &requirement, const EndpointReport &report);

/// Orders the endpoints of a service for each read by locality and by their estimated position and
/// age, which it learns from the reports in answers and probes.
class ReadRouter
{
public:
    struct Settings
    {
        ReplicaPreference preference = ReplicaPreference::Region;
        unsigned staleAnswersBeforeEjection = 3;
        Milliseconds baseEjectionTime{500};
        Milliseconds maxEjectionTime{15000};
        /// Replication time that estimated positions add to the time since the report. A replica
        /// that reported at most this age is expected to keep it.
        Milliseconds catchUpAllowance{5};
        /// Share of recent answers that could be delivered at which a replica is preferred although
        /// its estimated position is below the required one; 1.01 relies on reports alone.
        double optimisticReadThreshold = 0.5;
    };

    ReadRouter(Settings settings, const Clock &clock);

    /// Records the report that came with an answer or a probe.
    void recordReport(const EndpointId &endpoint, const EndpointReport &report);
    /// Records the result of checking an answer. Repeated stale answers eject the replica from the
    /// ranking, for a time that doubles with each ejection.
    void recordVerdict(const EndpointId &endpoint, AnswerVerdict verdict);
    /// Records that the endpoint could not be reached and ejects it.
    void recordFailure(const EndpointId &endpoint);
    void forget(const EndpointId &endpoint);

    /// Best endpoint first. The primary is always included; ejected replicas are left out.
    std::vector<EndpointId> rank(const std::vector<ReadCandidate> &candidates,
                                 const ReadRequirement &requirement,
                                 const Locality &locality) const;

    bool isEjected(const EndpointId &endpoint) const;
    /// Whether the endpoint is expected to satisfy the requirement now; true for unknown endpoints.
    bool isExpectedToSatisfy(const EndpointId &endpoint, const ReadRequirement &requirement) const;

private:
    struct Estimate
    {
        EndpointReport report;
        TimePoint observedAt;
        double entriesPerMillisecond = 0;
        double successRate = 1; ///< moving average of the share of deliverable answers
        unsigned staleAnswers = 0;
        unsigned ejections = 0;
        std::optional<TimePoint> ejectedUntil;
    };

    struct SortKey;
    SortKey sortKey(const ReadCandidate &candidate, const ReadRequirement &requirement,
                    const Locality &locality) const;
    void eject(Estimate &estimate);
    LogPosition estimatePosition(const Estimate &estimate) const;
    Milliseconds estimateAge(const Estimate &estimate) const;

    Settings settings_;
    const Clock &clock_;
    std::unordered_map<EndpointId, Estimate> estimates_;
};

} // namespace pistachiowood

#endif
