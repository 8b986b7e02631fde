#ifndef PISTACHIOWOOD_CONFIGURATION_CHANGE_TRACKER_H
#define PISTACHIOWOOD_CONFIGURATION_CHANGE_TRACKER_H

#include "base/random.h"
#include "configuration/configuration_store.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pistachiowood {

/// One conditional change; expected version 0 creates the object.
struct ChangeRequest
{
    ObjectKind kind = ObjectKind::DatabaseService;
    std::string name;
    ResourceVersion expected;
    bool remove = false;
    std::string json; ///< empty for a removal
};

/// Sends the change with its expected version and operation id; answer with handlePut.
struct PutObject
{
    ChangeRequest change;
    std::string operationId;
    Milliseconds timeout{0};
};

/// Reads the object; answer with handleRead.
struct ReadObject
{
    ObjectKind kind = ObjectKind::DatabaseService;
    std::string name;
    Milliseconds timeout{0};
};

struct ChangeAccepted
{
    ResourceVersion version;
};

/// The change took no effect because another one came first.
struct ChangeConflict
{
    std::optional<ResourceVersion> current; ///< 0: the object is gone; unset: not known
};

/// The platform rejected the change or could not be reached at all; it took no effect.
struct ChangeRefused
{
    Error error;
};

/// Whether the change took effect, or still will, is not known.
struct ChangeUndetermined
{
    std::string reason;
};

using ChangeResult =
    std::variant<ChangeAccepted, ChangeConflict, ChangeRefused, ChangeUndetermined>;

struct ScheduleChange
{
    TimePoint at;
};

using ChangeCommand = std::variant<PutObject, ReadObject, ScheduleChange>;
using ChangeCommands = std::vector<ChangeCommand>;

/// Operation ids have the form "<replaced version>.<unique text>". At most one change can replace
/// a given version, so an object whose id names the version that this change expected proves that
/// this change lost, even when its own answer was lost.
std::string makeOperationId(ResourceVersion expected, RandomSource &random);
std::optional<ResourceVersion> replacedVersion(const std::string &operationId);

struct ChangeOptions
{
    Milliseconds callTimeout{2000};
    Milliseconds firstRetry{100};
    Milliseconds lastRetry{2000};
    Milliseconds observation{1500}; ///< wait for the watch when reading back is not conclusive
    Milliseconds deadline{10000};
};

/// Carries out one change. When an answer is lost, the object is read back before anything is
/// reported or sent again.
///
/// An update or removal is sent again only while the object still has the expected version.
/// Versions are never reused, so whichever copy arrives second gets a conflict and overwrites
/// nothing. A creation whose answer was lost is not sent again: "absent" can recur, and a second
/// creation could bring back an object that another operator has deleted in between.
class ChangeTracker
{
public:
    using PutOutcome = std::variant<ResourceVersion, Error>;
    using ReadOutcome = std::variant<std::optional<StoredObject>, Error>;

    ChangeTracker(ChangeRequest change, RandomSource &random, ChangeOptions options = {});

    ChangeCommands start(TimePoint now);
    /// Unavailable must mean that the platform did not carry out the change; an answer that was
    /// lost or timed out is OutcomeUnknown or DeadlineExceeded.
    ChangeCommands handlePut(TimePoint now, const PutOutcome &outcome);
    ChangeCommands handleRead(TimePoint now, const ReadOutcome &outcome);
    /// An event of the watch: settles the change if it carries the operation id.
    void handleObserved(const ObjectEvent &event);
    ChangeCommands tick(TimePoint now);

    const std::string &operationId() const { return operationId_; }
    /// Set once the change is settled; no further commands follow.
    const std::optional<ChangeResult> &result() const { return result_; }

private:
    enum class Step { Idle, Putting, Reading, WaitingToRead, Observing };

    ChangeCommands put(TimePoint now);
    ChangeCommands read(TimePoint now);
    ChangeCommands waitToRead(TimePoint now);
    ChangeCommands settle(ChangeResult result);
    ChangeCommands giveUp();
    ChangeCommands settleFromObject(TimePoint now, const StoredObject *object);

    ChangeRequest change_;
    RandomSource &random_;
    ChangeOptions options_;
    std::string operationId_;
    Step step_ = Step::Idle;
    TimePoint deadline_;
    TimePoint stepEnd_;
    unsigned failures_ = 0;
    bool conflictSeen_ = false;
    bool answerLost_ = false; ///< an earlier copy may have taken effect or still be on its way
    std::string lastReason_ = "the platform does not answer";
    std::optional<ChangeResult> result_;
};

} // namespace pistachiowood

#endif
