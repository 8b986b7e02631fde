#ifndef PISTACHIOWOOD_PRIMARY_FAILURE_DETECTOR_H
#define PISTACHIOWOOD_PRIMARY_FAILURE_DETECTOR_H

#include "endpoints/endpoint_report.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Why a request to an endpoint got no valid answer.
enum class ProbeFailure { Refused, Timeout, Other };

using ProbeResult = std::variant<EndpointStatus, ProbeFailure>;

enum class Verdict { Healthy, Suspected, Failed };

enum class FailureReason {
    None,
    Unreachable, ///< does not answer
    Isolated, ///< answers, but too many replicas have lost contact with it
    Slow, ///< every answer in the whole window was too slow
    NotPrimary, ///< answers as a replica, and no member follows another primary
    NoPrimary, ///< the service has no known primary
};

std::string_view failureReasonName(FailureReason reason);

struct Assessment
{
    Verdict verdict = Verdict::Healthy;
    FailureReason reason = FailureReason::None;

    friend bool operator==(const Assessment &, const Assessment &) = default;
};

struct DetectorSettings
{
    Milliseconds suspicionTimeout{2000}; ///< time without a good answer
    unsigned suspicionRefusalCount = 2; ///< consecutive refused connections
    /// A replica without an answer from its primary for this time has lost contact.
    Milliseconds contactLimit{2000};
    /// Contact limit while the primary still answers probes. Longer than contactLimit, so that
    /// restarted replicas are first told to follow again.
    Milliseconds isolationLimit{3000};
    Milliseconds reportLifetime{2000}; ///< older reports of members are not used
    Milliseconds confirmationLifetime{2000}; ///< older answers of other daemons are not used
    /// Must be below the probe timeout, at which a probe fails.
    Milliseconds slowLatencyThreshold{600};
    Milliseconds slowLatencyWindow{5000};
    unsigned minSlowSamples = 4; ///< answers in the window that a slow verdict needs
};

/// Smallest number of members that is more than half of the group.
constexpr std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

/// Assesses the primary of one service from probes of all members and answers of other daemons. A
/// good answer is one with the role of primary and at least the known term.
///
/// A suspicion alone never fails a primary. It needs either a daemon in another zone that cannot
/// reach the primary while no daemon reports that it can, or so many replicas without contact that
/// the primary cannot assemble a majority.
class FailureDetector
{
public:
    FailureDetector(const Clock &clock, ZoneName zone, DetectorSettings settings = {});

    void setMembers(std::vector<EndpointId> members);
    /// A change of primary or term discards the evidence against the previous one.
    void setPrimary(std::optional<EndpointId> primary, Term term);
    /// Discards all evidence; for a daemon that was paused or has become responsible.
    void reset();

    void handleProbe(const EndpointId &endpoint, const ProbeResult &result, Milliseconds latency);
    void handleConfirmation(const VmId &peer, const ZoneName &zone, bool reachable);

    Assessment assess() const;
    /// Answer to another daemon's confirmation request; nullopt without enough own evidence.
    std::optional<bool> isPrimaryReachable() const;
    /// True while every member answered its last probe with its expected role and the known term,
    /// and every replica was in contact within a quarter of contactLimit.
    bool isGroupHealthy() const;
    /// Last report of a member if it is recent.
    const EndpointStatus *recentStatus(const EndpointId &endpoint) const;

private:
    struct Member
    {
        std::optional<EndpointStatus> status;
        TimePoint statusAt;
        bool lastProbeFailed = false;
    };
    struct Confirmation
    {
        ZoneName zone;
        bool reachable = false;
        TimePoint at;
    };
    struct LatencySample
    {
        TimePoint at;
        Milliseconds latency;
    };

    bool hasRecentGoodAnswer() const;
    bool isSlow() const;
    bool cannotAssembleMajority(Milliseconds limit) const;
    bool peerConfirmsFailure() const;
    bool peerReachesPrimary() const;
    bool hasNewerPrimary() const;

    const Clock &clock_;
    ZoneName zone_;
    DetectorSettings settings_;
    std::map<EndpointId, Member> members_;
    std::optional<EndpointId> primary_;
    Term term_;
    TimePoint evidenceStart_;
    TimePoint lastGoodAnswerAt_;
    bool hadGoodAnswer_ = false;
    unsigned consecutiveRefusals_ = 0;
    std::deque<LatencySample> latencies_;
    std::map<VmId, Confirmation> confirmations_;
};

} // namespace pistachiowood

#endif
