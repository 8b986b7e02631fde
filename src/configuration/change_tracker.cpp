#include "configuration/change_tracker.h"

#include "base/log.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pistachiowood {

namespace {

/// Returns whether the error states that the platform rejected the change.
bool isRefusal(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::NotFound:
    case ErrorCode::PermissionDenied:
    case ErrorCode::Unauthenticated:
    case ErrorCode::TooLarge:
        return true;
    default:
        return false;
    }
}

} // namespace

std::string makeOperationId(ResourceVersion expected, RandomSource &random)
{
    std::array<char, 32> digits{};
    char *end = digits.data();
    for (int part = 0; part < 2; ++part)
        end = std::to_chars(end, digits.data() + digits.size(), random.next(), 36).ptr;
    return std::to_string(expected.value()) + "." + std::string(digits.data(), end);
}

std::optional<ResourceVersion> replacedVersion(const std::string &operationId)
{
    std::uint64_t version = 0;
    const char *end = operationId.data() + operationId.size();
    const auto [rest, failure] = std::from_chars(operationId.data(), end, version);
    if (failure != std::errc() || rest == end || *rest != '.')
        return std::nullopt;
    return ResourceVersion(version);
}

ChangeTracker::ChangeTracker(ChangeRequest change, RandomSource &random, ChangeOptions options)
    : change_(std::move(change))
    , random_(random)
    , options_(options)
    , operationId_(makeOperationId(change_.expected, random))
{
}

ChangeCommands ChangeTracker::start(TimePoint now)
{
    deadline_ = now + options_.totalTimeout;
    if (change_.remove && change_.expected.value() == 0)
        return settle(ChangeRefused{
            Error{ErrorCode::InvalidArgument, "a removal must name the expected version"}});
    return put(now);
}

ChangeCommands ChangeTracker::put(TimePoint now)
{
    step_ = Step::Putting;
    stepDeadline_ = now + 2 * options_.callTimeout;
    return {PutObject{change_, operationId_, options_.callTimeout},
            ScheduleChangeTick{stepDeadline_}};
}

ChangeCommands ChangeTracker::read(TimePoint now)
{
    step_ = Step::Reading;
    stepDeadline_ = now + 2 * options_.callTimeout;
    return {ReadObject{change_.kind, change_.name, options_.callTimeout},
            ScheduleChangeTick{stepDeadline_}};
}

ChangeCommands ChangeTracker::waitToRead(TimePoint now)
{
    const Milliseconds window = std::min(options_.firstRetryDelay * (1 << std::min(failures_, 10U)),
                                         options_.maxRetryDelay);
    ++failures_;
    step_ = Step::WaitingToRead;
    stepDeadline_ = now + random_.delayAround(window);
    stepDeadline_ = std::min(stepDeadline_, deadline_);
    return {ScheduleChangeTick{stepDeadline_}};
}

ChangeCommands ChangeTracker::settle(ChangeResult result)
{
    step_ = Step::Idle;
    if (const auto *undetermined = std::get_if<ChangeUndetermined>(&result))
        logEvent(Event::ChangeUndetermined, {{"kind", objectKindName(change_.kind)},
                                             {"name", change_.name},
                                             {"operation", operationId_},
                                             {"reason", undetermined->reason}});
    result_ = std::move(result);
    return {};
}

ChangeCommands ChangeTracker::giveUp()
{
    if (answerLost_)
        return settle(ChangeUndetermined{lastReason_});
    if (conflictSeen_)
        return settle(ChangeConflict{});
    return settle(ChangeRefused{Error{ErrorCode::Unavailable, lastReason_}});
}

ChangeCommands ChangeTracker::handlePut(TimePoint now, const PutOutcome &outcome)
{
    if (result_)
        return {};
    // A success is valid even if it arrives after the timeout of the call.
    if (const auto *version = std::get_if<ResourceVersion>(&outcome))
        return settle(ChangeAccepted{*version});
    if (step_ != Step::Putting)
        return {};
    const Error &error = std::get<Error>(outcome);
    lastReason_ = error.message;
    if (error.code == ErrorCode::Conflict) {
        conflictSeen_ = true;
        return read(now);
    }
    if (isRefusal(error.code) && !answerLost_)
        return settle(ChangeRefused{error});
    if (error.code != ErrorCode::Unavailable)
        answerLost_ = true;
    return waitToRead(now);
}

ChangeCommands ChangeTracker::handleCurrentObject(TimePoint now, const StoredObject *object)
{
    const ResourceVersion current = object ? object->version : ResourceVersion();
    if (object && object->operationId == operationId_)
        return settle(ChangeAccepted{current});
    const bool isCreation = change_.expected.value() == 0;
    if (current == change_.expected && !(conflictSeen_ && !answerLost_)) {
        if (isCreation && answerLost_)
            return waitToRead(now);
        return now < deadline_ ? put(now) : giveUp();
    }
    const bool replacedByOther =
        object && !isCreation && replacedVersion(object->operationId) == change_.expected;
    if (!answerLost_ || replacedByOther)
        return settle(ChangeConflict{current});

    lastReason_ = object ? "the answer was lost and the object has been changed since, now version "
                               + std::to_string(current.value())
                         : "the answer was lost and the object is gone";
    step_ = Step::WaitingForEvent;
    stepDeadline_ = std::min(now + options_.watchEventTimeout, deadline_);
    return {ScheduleChangeTick{stepDeadline_}};
}

ChangeCommands ChangeTracker::handleRead(TimePoint now, const ReadOutcome &outcome)
{
    if (step_ != Step::Reading)
        return {};
    if (const Error *error = std::get_if<Error>(&outcome)) {
        if (error->code == ErrorCode::NotFound)
            return handleCurrentObject(now, nullptr);
        lastReason_ = error->message;
        return waitToRead(now);
    }
    const auto &object = std::get<std::optional<StoredObject>>(outcome);
    return handleCurrentObject(now, object ? &*object : nullptr);
}

void ChangeTracker::handleWatchEvent(const ObjectEvent &event)
{
    if (!result_ && event.object.operationId == operationId_)
        settle(ChangeAccepted{event.object.version});
}

ChangeCommands ChangeTracker::tick(TimePoint now)
{
    if (result_ || step_ == Step::Idle)
        return {};
    // A request in progress has its own timeout, so it may end after the deadline of the change.
    if (now < stepDeadline_)
        return {ScheduleChangeTick{stepDeadline_}};
    switch (step_) {
    case Step::Putting:
        answerLost_ = true;
        return read(now);
    case Step::WaitingForEvent:
        return giveUp();
    case Step::Reading:
        return now < deadline_ ? waitToRead(now) : giveUp();
    case Step::WaitingToRead:
        return now < deadline_ ? read(now) : giveUp();
    case Step::Idle:
        break;
    }
    return {};
}

} // namespace pistachiowood
