#ifndef PISTACHIOWOOD_TAKEOVER_PRIMARY_REPLACEMENT_H
#define PISTACHIOWOOD_TAKEOVER_PRIMARY_REPLACEMENT_H

#include "gateway/statement.h"
#include "takeover/platform_store.h"
#include "takeover/records.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace pistachiowood {

/// One endpoint of the service as the replacement sees it.
struct ReplacementCandidate
{
    EndpointId id;
    bool draining = false;
    unsigned regionShare = 0; ///< endpoints of the service in the same region
};

/// What a replacement decides from; collected anew for each step.
struct ReplacementInput
{
    TimePoint now;
    std::optional<PrimaryRecord> record;
    ResourceVersion recordVersion;
    TimePoint recordSince; ///< when this daemon first saw the record's version
    std::vector<ReplacementCandidate> candidates; ///< endpoints that are registered
    bool registrationsCurrent = false; ///< an endpoint that is missing has gone
    std::optional<TimePoint> primaryFailingSince; ///< as seen from this daemon
    unsigned peersReaching = 0; ///< peers that reached the primary lately
    unsigned peersFailing = 0; ///< peers that did not reach it
    unsigned peersAsked = 0; ///< peers that were asked, whether they answered or not
    bool mayAnnounce = false; ///< no peer relies on this daemon's promise not to
    bool dutyHeld = false;
    bool dutyAvailable = false;
    bool allWithdrawn = false; ///< every known daemon has stopped using the primary
    bool halfWithdrawn = false; ///< at least half have, so that the others are no majority
    unsigned rank = 0; ///< order in which the daemons act
    bool established = true; ///< has seen the members for as long as a permission can last
    unsigned syncReplicas = 0;
};

struct TakeDutyCommand
{
};
struct AskPeersCommand
{
};
struct AnnounceCommand
{
    PrimaryRecord record;
};
struct SurveyCommand
{
    std::vector<EndpointId> endpoints;
};
struct DemoteCommand
{
    EndpointId endpoint;
    Term term;
};
struct PromoteCommand
{
    EndpointId endpoint;
};
struct PublishCommand
{
    PrimaryRecord record;
};
using ReplacementCommand =
    std::variant<TakeDutyCommand, AskPeersCommand, AnnounceCommand, SurveyCommand, DemoteCommand,
                 PromoteCommand, PublishCommand>;

/// Replaces the primary of one service: decides when, withdraws every daemon's permission, chooses
/// the endpoint with the longest log and publishes it. Free of I/O: step() returns the command to
/// execute, whose result comes back through the matching function.
class PrimaryReplacement
{
public:
    enum class Stage {
        Watching,
        TakingDuty,
        Announcing,
        Withdrawing,
        Surveying,
        Demoting,
        Promoting,
        Verifying,
        Publishing
    };

    PrimaryReplacement(ServiceName service, VmId self);

    /// At most one command other than AskPeers is open at a time.
    std::optional<ReplacementCommand> step(const ReplacementInput &input);

    void handleDutyTaken(bool taken, TimePoint now);
    void handleAnnounced(std::optional<ResourceVersion> version, TimePoint now);
    void handleSurvey(const std::map<EndpointId, ReplicationStatus> &statuses, TimePoint now);
    void handleDemoted(std::optional<ReplicationStatus> status, TimePoint now);
    void handlePromoted(PromotionOutcome outcome, TimePoint now);
    void handlePublished(bool published, TimePoint now);

    Stage stage() const { return stage_; }
    /// Whether this daemon goes on with an announced replacement.
    bool announced() const { return stage_ != Stage::Watching && stage_ != Stage::TakingDuty; }

private:
    enum class Reason { None, Unfinished, Planned, Failed };

    Reason findReason(const ReplacementInput &input) const;
    std::optional<ReplacementCommand> watch(const ReplacementInput &input);
    std::optional<ReplacementCommand> takeDuty(const ReplacementInput &input);
    std::optional<ReplacementCommand> announce(const ReplacementInput &input);
    std::optional<ReplacementCommand> withdraw(const ReplacementInput &input);
    std::optional<ReplacementCommand> survey(const ReplacementInput &input);
    std::optional<ReplacementCommand> chooseFrom(const ReplacementInput &input);
    std::optional<ReplacementCommand> promote(const ReplacementInput &input);
    std::optional<ReplacementCommand> verify(const ReplacementInput &input);
    std::optional<ReplacementCommand> publish(const ReplacementInput &input);
    std::optional<ReplacementCommand> askPeers(const ReplacementInput &input);
    void enter(Stage stage, TimePoint now);
    void reset(TimePoint now);

    ServiceName service_;
    VmId self_;
    Stage stage_ = Stage::Watching;
    TimePoint stageSince_{};
    bool pending_ = false;
    TimePoint retryAt_{};
    TimePoint nextSurvey_{};
    TimePoint lastAsk_{};
    Reason reason_ = Reason::None;
    std::optional<TimePoint> reasonSince_;
    std::uint64_t attempt_ = 0;
    std::optional<TimePoint> announcedAt_;
    std::optional<TimePoint> halfWithdrawnAt_;
    ResourceVersion announcedVersion_;
    EndpointId oldPrimary_;
    std::map<EndpointId, ReplicationStatus> statuses_;
    std::optional<TimePoint> surveySince_;
    std::optional<TermPosition> finalPosition_; ///< of the demoted primary
    bool demotionTried_ = false;
    std::set<EndpointId> notRunning_;
    EndpointId chosen_;
};

} // namespace pistachiowood

#endif
