#ifndef PISTACHIOWOOD_PRIMARY_PROMOTION_H
#define PISTACHIOWOOD_PRIMARY_PROMOTION_H

#include "configuration/objects.h"
#include "primary/failure_detector.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Endpoint of a service with the properties that the choice of a primary depends on.
struct GroupMember
{
    EndpointId id;
    ZoneName zone;
    bool candidate = true; ///< matches the service's primary selector
    bool leaving = false;
    std::size_t regionMembers = 1; ///< members in its region, with itself

    bool mayBePrimary() const { return candidate && !leaving; }
    friend bool operator==(const GroupMember &, const GroupMember &) = default;
};

struct ProbeEndpoint
{
    EndpointId endpoint;
    Milliseconds timeout;
};
struct RaiseTerm
{
    EndpointId endpoint;
    Term term;
    std::string promoter;
};
struct PromoteEndpoint
{
    EndpointId endpoint;
    Term term;
    std::string promoter;
};
struct FollowPrimary
{
    EndpointId endpoint;
    Term term;
    EndpointId primary;
};
/// Conditional update of the ServiceStatus object; it must never replace an equal or newer term.
struct PublishStatus
{
    ServiceStatus status;
};

using PromotionCommand =
    std::variant<ProbeEndpoint, RaiseTerm, PromoteEndpoint, FollowPrimary, PublishStatus>;

/// Answer of an endpoint to raise_term, promote or follow; a refusal carries its current term.
struct MemberAnswer
{
    bool accepted = false;
    EndpointStatus status; ///< after the request was handled
};

using MemberResult = std::variant<MemberAnswer, ProbeFailure>;

enum class PublishResult {
    Ok, ///< stored, or the same term was stored before
    Conflict, ///< the object was changed concurrently
    Unavailable, ///< unknown whether it was stored
};

/// Returns whether the first log is behind the second: last entry term, then position.
bool isLogBehind(const EndpointReport &left, const EndpointReport &right);

/// Rules that safety depends on; only tests replace them, to show what each one prevents.
struct PromotionRules
{
    bool (*isLogBehind)(const EndpointReport &,
                        const EndpointReport &) = &pistachiowood::isLogBehind;
    std::size_t (*grantsNeeded)(std::size_t members) = &majorityOf;
};

struct PromotionSettings
{
    Milliseconds statusTimeout{500};
    Milliseconds raiseTimeout{1000};
    Milliseconds promoteTimeout{1500};
    Milliseconds followTimeout{500};
    Milliseconds publishTimeout{1000};
    Milliseconds retryInterval{400}; ///< between repeats of an unanswered request
    PromotionRules rules;
};

struct PromotionRequest
{
    ServiceName service;
    std::vector<GroupMember> members;
    std::string promoter; ///< unique for each attempt
    Term minimumTerm; ///< the attempt uses a higher term
    std::optional<EndpointId> failedPrimary; ///< the status step does not wait for it
    /// Primary that is reachable but isolated or slow. Not chosen when the other members that grant
    /// the term are a majority. Its log is often the highest, because entries that no other member
    /// has still count, so it would be promoted again.
    std::optional<EndpointId> avoidedMember;
    std::optional<EndpointId> preferredMember; ///< preferred among equal logs
    ZoneName preferredZone; ///< preferred among equal logs, after the preferred member
};

enum class PromotionStep { Status, RaiseTerm, Promote, Follow, Publish, Done, Failed };

std::string_view promotionStepName(PromotionStep step);

/// One attempt to promote a member of a group to primary in a new term.
///
/// A majority of the configured members must grant the term. The member that is promoted is chosen
/// once, from the reports in the grants, and is never replaced within the attempt: a lost answer to
/// promote may hide a success, and a second member in the same term would split the group.
class Promotion
{
public:
    Promotion(const Clock &clock, PromotionSettings settings, PromotionRequest request);

    void handleStatus(const EndpointId &endpoint, const ProbeResult &result);
    void handleRaiseResult(const EndpointId &endpoint, Term term, const MemberResult &result);
    void handlePromoteResult(const EndpointId &endpoint, Term term, const MemberResult &result);
    void handleFollowResult(const EndpointId &endpoint, Term term, const MemberResult &result);
    void handlePublishResult(PublishResult result);
    void tick();
    std::vector<PromotionCommand> takeCommands();

    PromotionStep step() const { return step_; }
    /// Step in which the attempt failed; meaningful when step() is Failed.
    PromotionStep failedStep() const { return failedStep_; }
    Term term() const { return term_; }
    /// Highest term seen in any answer.
    Term highestTerm() const { return highestTerm_; }
    /// New status, as soon as the promotion is known to have succeeded.
    const std::optional<ServiceStatus> &status() const { return status_; }
    bool isPublished() const { return published_; }
    /// The promoted member has the highest log but may not stay primary.
    bool isSwitchoverDue() const { return switchoverDue_; }

private:
    void enterStep(PromotionStep step);
    void sendRequests();
    void fail();
    void updateHighestTerm(Term term);
    bool isAnswered(const EndpointId &endpoint) const { return answered_.contains(endpoint); }
    void tryFinishStatus(bool timedOut);
    void tryFinishRaise(bool timedOut);
    void choosePrimary();
    void tryFinishFollow(bool timedOut);
    Milliseconds stepTimeout() const;

    const Clock &clock_;
    PromotionSettings settings_;
    PromotionRequest request_;
    PromotionStep step_ = PromotionStep::Status;
    PromotionStep failedStep_ = PromotionStep::Status;
    TimePoint stepStart_;
    TimePoint lastSentAt_;
    Term term_;
    Term highestTerm_;
    std::map<EndpointId, bool> answered_; ///< members that answered in this step; true: accepted
    std::map<EndpointId, bool> reachable_; ///< members that answered the status probe
    std::map<EndpointId, EndpointStatus> grants_;
    EndpointId chosenMember_;
    std::optional<ServiceStatus> status_;
    bool published_ = false;
    bool switchoverDue_ = false;
    std::vector<PromotionCommand> commands_;
};

} // namespace pistachiowood

#endif
