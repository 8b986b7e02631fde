#include "configuration/configuration_feed.h"

#include "base/log.h"

#include <algorithm>

namespace pistachiowood {

ConfigurationFeed::ConfigurationFeed(ConfigurationStore &store, RandomSource &random,
                                     FeedOptions options)
    : store_(store)
    , random_(random)
    , options_(options)
{
}

void ConfigurationFeed::setMemberCount(std::size_t members)
{
    members_ = std::max<std::size_t>(members, 1);
}

FeedCommands ConfigurationFeed::withSchedule(FeedCommands commands) const
{
    commands.emplace_back(Schedule{peerAt_ ? std::min(*peerAt_, nextAt_) : nextAt_});
    return commands;
}

FeedCommands ConfigurationFeed::list(TimePoint now)
{
    action_ = Action::List;
    outstanding_ = ++lastRequest_;
    // The client reports its timeout; twice that time covers a report that is lost.
    nextAt_ = now + 2 * options_.listTimeout;
    return withSchedule({ListObjects{outstanding_, options_.listTimeout}});
}

FeedCommands ConfigurationFeed::watch(TimePoint now)
{
    action_ = Action::Watch;
    outstanding_ = ++lastRequest_;
    watchStarted_ = now;
    watchFrom_ = store_.version();
    // After a failure the watch does not wait for a change. Otherwise the recovery of the platform
    // would be detected up to watchWait later.
    const Milliseconds wait = failures_ > 0 ? Milliseconds(0) : options_.watchWait;
    nextAt_ = now + wait + 2 * options_.watchTimeout;
    return withSchedule({WatchObjects{outstanding_, watchFrom_, wait, options_.watchTimeout}});
}

FeedCommands ConfigurationFeed::fetch(TimePoint now)
{
    peerRequest_ = ++lastRequest_;
    peerAt_ = now + 2 * options_.peerTimeout;
    return withSchedule({FetchFromPeer{peerRequest_, store_.version(), options_.peerTimeout}});
}

FeedCommands ConfigurationFeed::wait(TimePoint at, Action action)
{
    outstanding_ = 0;
    action_ = action;
    nextAt_ = at;
    return withSchedule({});
}

FeedCommands ConfigurationFeed::start(TimePoint now)
{
    peerAt_ = now + options_.peerDelay;
    return list(now);
}

void ConfigurationFeed::noteAnswer()
{
    if (failures_ > 0)
        logEvent(Event::PlatformRecovered, {{"version", store_.version().value()}});
    failures_ = 0;
    answered_ = true;
    if (peerRequest_ == 0 && !needsPeer())
        peerAt_.reset();
}

FeedCommands ConfigurationFeed::retry(TimePoint now, const Error &error)
{
    if (failures_ == 0)
        logEvent(Event::PlatformUnavailable, {{"reason", error.message}});
    // The limit keeps the shift below in range.
    if (failures_ < 16)
        ++failures_;
    if (!peerAt_)
        peerAt_ = now + options_.peerDelay;
    const auto scaled = static_cast<std::int64_t>(members_) * options_.retryPerMember;
    const Milliseconds first = std::max(options_.minimumRetry, scaled);
    const Milliseconds last = std::max(options_.maximumRetry, first);
    const Milliseconds window = std::min(first * (1 << (failures_ - 1)), last);
    // A store that has a version is complete as of it, so only an empty store needs a list.
    return wait(now + random_.delayAround(window),
                store_.version().value() == 0 ? Action::List : Action::Watch);
}

FeedCommands ConfigurationFeed::handleList(TimePoint now, std::uint64_t request,
                                           const ListOutcome &outcome)
{
    if (request != outstanding_ || action_ != Action::List)
        return {};
    if (const Error *error = std::get_if<Error>(&outcome))
        return retry(now, *error);
    if (!store_.applyList(std::get<ConfigurationSnapshot>(outcome)))
        return retry(now, {ErrorCode::Unavailable, "the list went backwards"});
    noteAnswer();
    return watch(now);
}

FeedCommands ConfigurationFeed::handleWatch(TimePoint now, std::uint64_t request,
                                            const WatchOutcome &outcome)
{
    if (request != outstanding_ || action_ != Action::Watch)
        return {};
    if (const Error *error = std::get_if<Error>(&outcome)) {
        if (error->code != ErrorCode::VersionTooOld)
            return retry(now, *error);
        logEvent(Event::ConfigurationRelisted, {{"from", watchFrom_.value()}});
        noteAnswer();
        relistFromPeer_ = true;
        return wait(
            now + random_.delayUpTo(static_cast<std::int64_t>(members_) * options_.relistPerMember),
            Action::List);
    }
    const auto &answer = std::get<WatchAnswer>(outcome);
    // A peer's copy may have advanced the store since the request, so the answer is compared with
    // the version of the request.
    if (answer.version < watchFrom_) {
        logEvent(Event::ConfigurationRefused, {{"source", "watch"},
                                               {"version", answer.version.value()},
                                               {"from", watchFrom_.value()}});
        return retry(now, {ErrorCode::Unavailable, "the watch went backwards"});
    }
    if (answer.version >= store_.version())
        store_.applyEvents(watchFrom_, answer);
    noteAnswer();
    // Delays the next watch after an early answer without events, which would otherwise cause a
    // busy loop.
    const bool early = answer.events.empty() && now - watchStarted_ < options_.watchWait / 2;
    const auto interval = static_cast<std::int64_t>(members_) * options_.memberInterval;
    const TimePoint earliest =
        watchStarted_ + (early ? std::max(interval, options_.minimumRetry) : interval);
    return now >= earliest ? watch(now) : wait(earliest, Action::Watch);
}

FeedCommands ConfigurationFeed::handlePeerSnapshot(TimePoint now, std::uint64_t request,
                                                   const ListOutcome &outcome)
{
    if (request == 0 || request != peerRequest_)
        return {};
    peerRequest_ = 0;
    peerAt_.reset();
    const ResourceVersion before = store_.version();
    if (const auto *snapshot = std::get_if<ConfigurationSnapshot>(&outcome)) {
        if (snapshot->version > before && store_.applyFromPeer(*snapshot))
            logEvent(Event::ConfigurationFromPeer, {{"version", store_.version().value()}});
    }
    if (needsPeer())
        peerAt_ = now + random_.delayAround(options_.peerDelay);
    if (outstanding_ == 0 && relistFromPeer_) {
        relistFromPeer_ = false;
        return store_.version() > before ? watch(now) : list(now);
    }
    if (outstanding_ == 0 && store_.version() > before)
        action_ = Action::Watch;
    return withSchedule({});
}

bool ConfigurationFeed::needsPeer() const
{
    return store_.version() < peerGoal_ || (store_.version().value() == 0 && !platformAnswers());
}

FeedCommands ConfigurationFeed::notePeerVersion(TimePoint now, ResourceVersion version)
{
    if (peerAt_ || version <= store_.version())
        return {};
    peerGoal_ = version;
    // While the platform is reachable, the watch usually delivers the change within this delay.
    const Milliseconds grace = platformAnswers() ? options_.peerDelay : Milliseconds(0);
    peerAt_ = now + grace + random_.delayAround(options_.peerDelay);
    return withSchedule({});
}

FeedCommands ConfigurationFeed::tick(TimePoint now)
{
    FeedCommands commands;
    if (peerAt_ && now >= *peerAt_) {
        if (peerRequest_ != 0) {
            commands = handlePeerSnapshot(now, peerRequest_,
                                          Error{ErrorCode::DeadlineExceeded, "no answer"});
        } else {
            peerAt_.reset();
            if (needsPeer())
                commands = fetch(now);
        }
    }
    if (now < nextAt_)
        return commands.empty() ? withSchedule({}) : commands;

    FeedCommands more;
    const Error late{ErrorCode::DeadlineExceeded, "no answer in time"};
    if (outstanding_ != 0) {
        more = retry(now, late);
    } else if (action_ == Action::Watch) {
        more = watch(now);
    } else if (relistFromPeer_ && store_.version().value() != 0) {
        // Delays the list until the peer answers. If it does not, handlePeerSnapshot() lists.
        nextAt_ = now + 3 * options_.peerTimeout;
        if (peerRequest_ == 0)
            more = fetch(now);
    } else {
        more = list(now);
    }
    commands.insert(commands.end(), more.begin(), more.end());
    return commands.empty() ? withSchedule({}) : commands;
}

} // namespace pistachiowood
