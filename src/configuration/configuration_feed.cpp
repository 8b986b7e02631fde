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
    commands.emplace_back(ScheduleFeedTick{
        peerActionAt_ ? std::min(*peerActionAt_, platformActionAt_) : platformActionAt_});
    return commands;
}

FeedCommands ConfigurationFeed::startList(TimePoint now)
{
    action_ = Action::List;
    outstanding_ = ++lastRequest_;
    // The client reports its timeout; twice that time covers a report that is lost.
    platformActionAt_ = now + 2 * options_.listTimeout;
    return withSchedule({ListObjects{outstanding_, options_.listTimeout}});
}

FeedCommands ConfigurationFeed::startWatch(TimePoint now)
{
    action_ = Action::Watch;
    outstanding_ = ++lastRequest_;
    watchStarted_ = now;
    watchFrom_ = store_.version();
    // After a failure the watch does not wait for a change. Otherwise the recovery of the platform
    // would be detected up to watchWait later.
    const Milliseconds wait = failures_ > 0 ? Milliseconds(0) : options_.watchWait;
    platformActionAt_ = now + wait + 2 * options_.watchTimeout;
    return withSchedule({WatchObjects{outstanding_, watchFrom_, wait, options_.watchTimeout}});
}

FeedCommands ConfigurationFeed::fetchFromPeer(TimePoint now)
{
    peerRequest_ = ++lastRequest_;
    peerActionAt_ = now + 2 * options_.peerFetchTimeout;
    return withSchedule({FetchFromPeer{peerRequest_, store_.version(), options_.peerFetchTimeout}});
}

FeedCommands ConfigurationFeed::scheduleAction(TimePoint at, Action action)
{
    outstanding_ = 0;
    action_ = action;
    platformActionAt_ = at;
    return withSchedule({});
}

FeedCommands ConfigurationFeed::start(TimePoint now)
{
    peerActionAt_ = now + options_.peerFetchDelay;
    return startList(now);
}

void ConfigurationFeed::handlePlatformAnswer()
{
    if (failures_ > 0)
        logEvent(Event::PlatformRecovered, {{"version", store_.version().value()}});
    failures_ = 0;
    answered_ = true;
    if (peerRequest_ == 0 && !needsPeer())
        peerActionAt_.reset();
}

FeedCommands ConfigurationFeed::scheduleRetry(TimePoint now, const Error &error)
{
    if (failures_ == 0)
        logEvent(Event::PlatformUnavailable, {{"reason", error.message}});
    // The limit keeps the shift below in range.
    if (failures_ < 16)
        ++failures_;
    if (!peerActionAt_)
        peerActionAt_ = now + options_.peerFetchDelay;
    const auto scaled = static_cast<std::int64_t>(members_) * options_.retryDelayPerMember;
    const Milliseconds firstWindow = std::max(options_.minRetryDelay, scaled);
    const Milliseconds maxWindow = std::max(options_.maxRetryDelay, firstWindow);
    const Milliseconds window = std::min(firstWindow * (1 << (failures_ - 1)), maxWindow);
    // A store that has a version is complete as of it, so only an empty store needs a list.
    return scheduleAction(now + random_.delayAround(window),
                          store_.version().value() == 0 ? Action::List : Action::Watch);
}

FeedCommands ConfigurationFeed::handleList(TimePoint now, std::uint64_t request,
                                           const ListOutcome &outcome)
{
    if (request != outstanding_ || action_ != Action::List)
        return {};
    if (const Error *error = std::get_if<Error>(&outcome))
        return scheduleRetry(now, *error);
    if (!store_.applyList(std::get<ConfigurationSnapshot>(outcome)))
        return scheduleRetry(now, {ErrorCode::Unavailable, "the list went backwards"});
    handlePlatformAnswer();
    return startWatch(now);
}

FeedCommands ConfigurationFeed::handleWatch(TimePoint now, std::uint64_t request,
                                            const WatchOutcome &outcome)
{
    if (request != outstanding_ || action_ != Action::Watch)
        return {};
    if (const Error *error = std::get_if<Error>(&outcome)) {
        if (error->code != ErrorCode::VersionTooOld)
            return scheduleRetry(now, *error);
        logEvent(Event::ConfigurationRelisted, {{"from", watchFrom_.value()}});
        handlePlatformAnswer();
        relistFromPeer_ = true;
        return scheduleAction(now
                                  + random_.delayUpTo(static_cast<std::int64_t>(members_)
                                                      * options_.relistDelayPerMember),
                              Action::List);
    }
    const auto &answer = std::get<WatchAnswer>(outcome);
    // A peer's copy may have advanced the store since the request, so the answer is compared with
    // the version of the request.
    if (answer.version < watchFrom_) {
        logEvent(Event::ConfigurationRefused, {{"source", "watch"},
                                               {"version", answer.version.value()},
                                               {"from", watchFrom_.value()}});
        return scheduleRetry(now, {ErrorCode::Unavailable, "the watch went backwards"});
    }
    if (answer.version >= store_.version())
        store_.applyEvents(watchFrom_, answer);
    handlePlatformAnswer();
    // Delays the next watch after an early answer without events, which would otherwise cause a
    // busy loop.
    const bool isEarly = answer.events.empty() && now - watchStarted_ < options_.watchWait / 2;
    const auto interval = static_cast<std::int64_t>(members_) * options_.watchIntervalPerMember;
    const TimePoint earliest =
        watchStarted_ + (isEarly ? std::max(interval, options_.minRetryDelay) : interval);
    return now >= earliest ? startWatch(now) : scheduleAction(earliest, Action::Watch);
}

FeedCommands ConfigurationFeed::handlePeerSnapshot(TimePoint now, std::uint64_t request,
                                                   const ListOutcome &outcome)
{
    if (request == 0 || request != peerRequest_)
        return {};
    peerRequest_ = 0;
    peerActionAt_.reset();
    const ResourceVersion before = store_.version();
    if (const auto *snapshot = std::get_if<ConfigurationSnapshot>(&outcome)) {
        if (snapshot->version > before && store_.applyFromPeer(*snapshot))
            logEvent(Event::ConfigurationFromPeer, {{"version", store_.version().value()}});
    }
    if (needsPeer())
        peerActionAt_ = now + random_.delayAround(options_.peerFetchDelay);
    if (outstanding_ == 0 && relistFromPeer_) {
        relistFromPeer_ = false;
        return store_.version() > before ? startWatch(now) : startList(now);
    }
    if (outstanding_ == 0 && store_.version() > before)
        action_ = Action::Watch;
    return withSchedule({});
}

bool ConfigurationFeed::needsPeer() const
{
    return store_.version() < targetVersion_
           || (store_.version().value() == 0 && !platformAnswers());
}

FeedCommands ConfigurationFeed::handlePeerVersion(TimePoint now, ResourceVersion version)
{
    if (peerActionAt_ || version <= store_.version())
        return {};
    targetVersion_ = version;
    // While the platform is reachable, the watch usually delivers the change within this delay.
    const Milliseconds watchDelay = platformAnswers() ? options_.peerFetchDelay : Milliseconds(0);
    peerActionAt_ = now + watchDelay + random_.delayAround(options_.peerFetchDelay);
    return withSchedule({});
}

FeedCommands ConfigurationFeed::tick(TimePoint now)
{
    FeedCommands commands;
    if (peerActionAt_ && now >= *peerActionAt_) {
        if (peerRequest_ != 0) {
            commands = handlePeerSnapshot(now, peerRequest_,
                                          Error{ErrorCode::DeadlineExceeded, "no answer"});
        } else {
            peerActionAt_.reset();
            if (needsPeer())
                commands = fetchFromPeer(now);
        }
    }
    if (now < platformActionAt_)
        return commands.empty() ? withSchedule({}) : commands;

    FeedCommands platformCommands;
    const Error timeoutError{ErrorCode::DeadlineExceeded, "no answer in time"};
    if (outstanding_ != 0) {
        platformCommands = scheduleRetry(now, timeoutError);
    } else if (action_ == Action::Watch) {
        platformCommands = startWatch(now);
    } else if (relistFromPeer_ && store_.version().value() != 0) {
        // Delays the list until the peer answers. If it does not, handlePeerSnapshot() lists.
        platformActionAt_ = now + 3 * options_.peerFetchTimeout;
        if (peerRequest_ == 0)
            platformCommands = fetchFromPeer(now);
    } else {
        platformCommands = startList(now);
    }
    commands.insert(commands.end(), platformCommands.begin(), platformCommands.end());
    return commands.empty() ? withSchedule({}) : commands;
}

} // namespace pistachiowood
