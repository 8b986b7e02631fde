#ifndef PISTACHIOWOOD_ROUTING_READ_ROUTER_H
#define PISTACHIOWOOD_ROUTING_READ_ROUTER_H

#include "configuration/objects.h"
#include "endpoints/endpoint_report.h"

#include <pistachiowood/clock.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace pistachiowood {

/// How far a read travels to reach a replica instead of the primary.
enum class ReplicaPreference {
    Zone, ///< replicas of the own zone, then any endpoint by distance
    Region, ///< replicas of the own region before the primary, the primary before remote replicas
    PrimaryOnly, ///< baseline for measurements: every read goes to the primary
};

/// What a read accepts.
struct ReadRequirement
{
    Term term; ///< current term of the service
    LogPosition minPosition; ///< 0 when the session carries no token
    Milliseconds maxAge{0};
};

/// Endpoint as the router sees it; the daemon builds these from the configuration.
struct ReadCandidate
{
    EndpointId id;
    ZoneName zone;
    RegionName region;
    bool isPrimary = false;
};

struct Locality
{
    ZoneName zone;
    RegionName region;
};

enum class AnswerVerdict {
    Deliver,
    BelowToken, ///< the endpoint has not caught up with the session
    TooOld, ///< older than the accepted age
    WrongTerm, ///< the endpoint is in another term than the statement
};

/// Checks an answer against the requirement with the report that came with it.
AnswerVerdict checkReadAnswer(const ReadRequirement &requirement, const EndpointReport &report);

/// Orders the endpoints of a service for each read, from what answers and probes have shown.
class ReadRouter
{
public:
    struct Settings
    {
        ReplicaPreference preference = ReplicaPreference::Region;
        unsigned staleAnswersBeforeEjection = 3;
        Milliseconds firstEjection{500};
        Milliseconds longestEjection{15000};
        Milliseconds expectedCatchUp{5}; ///< advance of a replica that an estimate includes
        /// A replica with an older report is still tried first while this share of its recent
        /// answers could be delivered; 1.01 relies on reports alone.
        double betThreshold = 0.5;
    };

    ReadRouter(Settings settings, const Clock &clock);

    /// Records the report that came with an answer or a probe.
    void observe(const EndpointId &endpoint, const EndpointReport &report);
    /// Records the verdict on an answer; repeated stale answers eject the replica for a while.
    void recordVerdict(const EndpointId &endpoint, AnswerVerdict verdict);
    /// Records that the endpoint could not be reached.
    void recordFailure(const EndpointId &endpoint);
    void forget(const EndpointId &endpoint);

    /// Best endpoint first. The primary is always included; ejected replicas are left out.
    std::vector<EndpointId> rank(const std::vector<ReadCandidate> &candidates,
                                 const ReadRequirement &requirement,
                                 const Locality &locality) const;

    bool isEjected(const EndpointId &endpoint) const;
    /// True when the endpoint is expected to satisfy the requirement now.
    bool isExpectedToSatisfy(const EndpointId &endpoint, const ReadRequirement &requirement) const;

private:
    struct Estimate
    {
        EndpointReport report;
        TimePoint observedAt;
        double entriesPerMillisecond = 0;
        double successRate = 1; ///< recent answers that could be delivered
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
