#include "takeover/group_feed.h"

#include "base/log.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace pistachiowood {

namespace {

constexpr Milliseconds listTimeout{2000}; // a slow store answers within a few hundred milliseconds
// Period of watches after a failure: a short one shows early that the store answers again.
constexpr Milliseconds recoveryWatchPeriod{100};
constexpr Milliseconds checkTimeout{1200}; // a check waits half a second at most
constexpr Milliseconds watchTimeoutMargin{700}; // after the period of a watch
// Limit of the first retry's delay, doubled with each failure. Full jitter below it, so that the
// daemons do not all call at once when the store recovers.
constexpr Milliseconds firstRetryDelayLimit{100};

std::string_view groupName(ObjectGroup group)
{
    constexpr std::array<std::string_view, objectGroupCount> names{"configuration", "endpoints",
                                                                   "records"};
    return names.at(static_cast<std::size_t>(group));
}

std::string_view failureName(StoreFailure failure)
{
    constexpr std::array<std::string_view, 5> names{"refused", "no answer", "history gone",
                                                    "conflict", "not found"};
    return names.at(static_cast<std::size_t>(failure));
}

} // namespace

GroupFeed::GroupFeed(EventLoop &loop, const Clock &clock, RandomSource &random,
                     PlatformStore &store, ObjectGroup group, Milliseconds watchPeriod,
                     Handlers handlers)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , store_(store)
    , group_(group)
    , watchPeriod_(watchPeriod)
    , handlers_(std::move(handlers))
    , replica_(group)
{
}

GroupFeed::~GroupFeed()
{
    *alive_ = false;
}

void GroupFeed::start()
{
    if (listNeeded_)
        list();
    else
        continueWatching();
}

void GroupFeed::list()
{
    if (std::exchange(listing_, true))
        return;
    idle_ = false;
    const TimePoint sentAt = clock_.now();
    store_.list(group_, listTimeout, [this, alive = alive_, sentAt](auto outcome) {
        if (*alive)
            handleList(sentAt, std::move(outcome));
    });
}

void GroupFeed::listAgain()
{
    listNeeded_ = true;
    list();
}

void GroupFeed::watch()
{
    watchOpen_ = true;
    const TimePoint sentAt = clock_.now();
    const Milliseconds period = failing_ ? recoveryWatchPeriod : watchPeriod_;
    store_.watch(group_, version(), period, period + watchTimeoutMargin,
                 [this, alive = alive_, from = version(), sentAt](auto outcome) {
                     if (*alive)
                         handleChanges(from, sentAt, std::move(outcome));
                 });
}

void GroupFeed::setWatching(bool watching)
{
    watching_ = watching;
    if (!watching_ && !listNeeded_)
        failing_ = false; // copies from peers do not depend on the store
    if (watching_ && idle_)
        start();
}

void GroupFeed::continueWatching()
{
    if (listing_ || watchOpen_)
        return;
    idle_ = !watching_;
    if (watching_)
        watch();
}

void GroupFeed::handleList(TimePoint sentAt, StoreOutcome<GroupSnapshot> outcome)
{
    listing_ = false;
    if (const auto *failure = std::get_if<StoreFailure>(&outcome)) {
        handleFailure(*failure);
        return;
    }
    const auto &list = std::get<GroupSnapshot>(outcome);
    const StoreVersion former = version();
    if (loaded() && list.version.era < former.era) {
        scheduleRetry(failures_); // answered before the store was restored
        return;
    }
    handleSuccess();
    listNeeded_ = false;
    if (replica_.applyList(list)) {
        noteEra(former.era);
        handlers_.changed();
    } else {
        logEvent(Event::ListOutdated, {{"group", groupName(group_)},
                                       {"revision", list.version.revision.value()},
                                       {"copy_revision", former.revision.value()},
                                       {"items", list.items.size()}});
    }
    if (list.version.includes(version()))
        handlers_.confirmed(sentAt);
    continueWatching();
}

void GroupFeed::handleChanges(StoreVersion from, TimePoint sentAt,
                              StoreOutcome<GroupChanges> outcome)
{
    watchOpen_ = false;
    if (const auto *failure = std::get_if<StoreFailure>(&outcome)) {
        if (*failure == StoreFailure::HistoryGone && from != version())
            continueWatching(); // the copy has moved on since
        else
            handleFailure(*failure);
        return;
    }
    handleSuccess();
    relists_ = 0;
    if (applyAndConfirm(from, sentAt, std::get<GroupChanges>(outcome)))
        continueWatching();
    else
        listAgain();
}

void GroupFeed::check(Milliseconds wait, std::function<void(bool answered)> callback)
{
    const TimePoint sentAt = clock_.now();
    store_.check(group_, version(), wait, checkTimeout,
                 [this, alive = alive_, from = version(), sentAt,
                  callback = std::move(callback)](const StoreOutcome<GroupChanges> &outcome) {
                     if (!*alive)
                         return;
                     const auto *changes = std::get_if<GroupChanges>(&outcome);
                     const bool historyGone =
                         !changes && std::get<StoreFailure>(outcome) == StoreFailure::HistoryGone;
                     if (changes && !applyAndConfirm(from, sentAt, *changes))
                         listAgain();
                     else if (historyGone && from == version() && !listing_)
                         handleHistoryGone();
                     callback(changes || historyGone);
                 });
}

// Returns false if the store is in a later era, so that it must be listed again.
bool GroupFeed::applyAndConfirm(StoreVersion from, TimePoint sentAt, const GroupChanges &changes)
{
    const StoreVersion held = version();
    if (changes.version.era > held.era)
        return false;
    // Changes after a revision of another era may lack some; an answer of an earlier era is void.
    if (changes.version.era < held.era || from.era != held.era)
        return true;
    if (changes.version >= held && replica_.applyChanges(changes))
        handlers_.changed();
    // An answer older than the copy confirms it, too: the copy holds all of its changes.
    handlers_.confirmed(sentAt);
    return true;
}

// A watch from a version of the former era may never be answered.
void GroupFeed::noteEra(StoreEra former)
{
    if (version().era == former)
        return;
    eraSince_ = clock_.now();
    if (std::exchange(watchOpen_, false))
        store_.cancelWatch(group_);
}

void GroupFeed::handleSuccess()
{
    failures_ = 0;
    if (!healthySince_)
        healthySince_ = clock_.now();
    if (std::exchange(failing_, false))
        logEvent(Event::PlatformRecovered, {{"group", groupName(group_)}});
}

// Lists at once or after the list delay, but later lists wait until a watch has been answered.
void GroupFeed::handleHistoryGone()
{
    logEvent(Event::ConfigurationRelisted, {{"group", groupName(group_)},
                                            {"era", version().era.value()},
                                            {"revision", version().revision.value()}});
    listNeeded_ = true;
    if (relists_ == 0) {
        ++relists_;
        if (listDelay_ == Milliseconds(0)) {
            list();
            return;
        }
        loop_.startTimer(random_.delayUpTo(listDelay_), [this, alive = alive_] {
            if (*alive)
                start();
        });
    } else {
        scheduleRetry(relists_);
    }
}

void GroupFeed::handleFailure(StoreFailure failure)
{
    if (failure == StoreFailure::HistoryGone) {
        handleHistoryGone();
        return;
    }
    if (!watching_ && !listNeeded_) {
        idle_ = true; // the last watch ended after watching was switched off
        return;
    }
    healthySince_.reset();
    if (!std::exchange(failing_, true)) {
        logEvent(Event::PlatformUnavailable,
                 {{"group", groupName(group_)}, {"failure", failureName(failure)}});
    }
    scheduleRetry(failures_);
}

void GroupFeed::scheduleRetry(unsigned &attempts)
{
    const auto limit =
        std::min(maxRetryDelay_, firstRetryDelayLimit * (1 << std::min(attempts++, 6U)));
    const auto delay = Milliseconds(random_.below(static_cast<std::uint64_t>(limit.count())) + 1);
    loop_.startTimer(delay, [this, alive = alive_] {
        if (*alive)
            start();
    });
}

void GroupFeed::applyOwnChange(const StoredItem &item)
{
    if (replica_.applyOwnChange(item))
        handlers_.changed();
}

void GroupFeed::applyCopy(const GroupCopy &copy)
{
    const StoreVersion former = version();
    if (!replica_.applyCopy(copy))
        return;
    if (isLogged(Event::PeerCopyApplied)) {
        logEvent(Event::PeerCopyApplied, {{"group", groupName(group_)},
                                          {"era", version().era.value()},
                                          {"revision", version().revision.value()},
                                          {"former_revision", former.revision.value()},
                                          {"items", copy.items.size()},
                                          {"carried", copy.carried.size()}});
    }
    if (!copy.since || version() != former)
        listNeeded_ = false;
    const bool wasWatching = watchOpen_;
    noteEra(former.era);
    if (wasWatching)
        continueWatching();
    handlers_.changed();
}

void GroupFeed::dropCarried()
{
    if (replica_.dropCarried())
        handlers_.changed();
}

std::optional<StoreVersion> GroupFeed::versionOf(const std::string &name) const
{
    const auto found = items().find(name);
    if (found == items().end())
        return std::nullopt;
    return found->second.version.stored;
}

} // namespace pistachiowood
