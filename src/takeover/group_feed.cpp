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
// Removals that are remembered for partial copies; a peer that lacks more gets the whole group.
constexpr std::size_t maxKnownRemovals = 256;

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
{
}

GroupFeed::~GroupFeed()
{
    *alive_ = false;
}

void GroupFeed::start()
{
    if (!listNeeded_) {
        continueWatching();
        return;
    }
    idle_ = false;
    list();
}

void GroupFeed::list()
{
    const TimePoint sentAt = clock_.now();
    store_.list(group_, listTimeout, [this, alive = alive_, sentAt](auto outcome) {
        if (*alive)
            handleList(sentAt, std::move(outcome));
    });
}

void GroupFeed::watch()
{
    const TimePoint sentAt = clock_.now();
    const Milliseconds period = failing_ ? recoveryWatchPeriod : watchPeriod_;
    store_.watch(group_, version_, period, period + watchTimeoutMargin,
                 [this, alive = alive_, sentAt](auto outcome) {
                     if (*alive)
                         handleChanges(sentAt, std::move(outcome));
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
    idle_ = !watching_;
    if (watching_)
        watch();
}

void GroupFeed::handleList(TimePoint sentAt, StoreOutcome<GroupSnapshot> outcome)
{
    if (const auto *failure = std::get_if<StoreFailure>(&outcome)) {
        handleFailure(*failure);
        return;
    }
    handleSuccess();
    listNeeded_ = false;
    const bool first = !loaded_;
    const auto &snapshot = std::get<GroupSnapshot>(outcome);
    if (!first && snapshot.version < version_) {
        logEvent(Event::ListOutdated, {{"group", groupName(group_)},
                                       {"revision", snapshot.version.value()},
                                       {"copy_revision", version_.value()},
                                       {"items", snapshot.items.size()}});
    }
    if (applySnapshot(snapshot) || first)
        loaded_ = true;
    if (snapshot.version >= version_)
        handlers_.confirmed(sentAt);
    continueWatching();
}

void GroupFeed::handleChanges(TimePoint sentAt, StoreOutcome<GroupChanges> outcome)
{
    if (const auto *failure = std::get_if<StoreFailure>(&outcome)) {
        handleFailure(*failure);
        return;
    }
    handleSuccess();
    applyAndConfirm(sentAt, std::get<GroupChanges>(outcome));
    continueWatching();
}

void GroupFeed::check(Milliseconds wait, std::function<void(bool answered)> callback)
{
    const TimePoint sentAt = clock_.now();
    store_.check(group_, version_, wait, checkTimeout,
                 [this, alive = alive_, sentAt,
                  callback = std::move(callback)](const StoreOutcome<GroupChanges> &outcome) {
                     if (!*alive)
                         return;
                     const auto *changes = std::get_if<GroupChanges>(&outcome);
                     if (changes)
                         applyAndConfirm(sentAt, *changes);
                     callback(changes != nullptr);
                 });
}

void GroupFeed::applyAndConfirm(TimePoint sentAt, const GroupChanges &changes)
{
    if (changes.version >= version_)
        applyChanges(changes);
    // An answer older than the copy confirms it, too: the copy holds all of its changes.
    handlers_.confirmed(sentAt);
}

void GroupFeed::applyChanges(const GroupChanges &changes)
{
    bool changed = false;
    for (const auto &[item, deleted] : changes.changes) {
        const auto known = items_.find(item.name);
        if (known != items_.end() && known->second.version >= item.version && !deleted)
            continue;
        changed = true;
        if (deleted) {
            items_.erase(item.name);
            removed_[item.name] = changes.version;
        } else {
            items_[item.name] = item;
            removed_.erase(item.name);
        }
    }
    version_ = changes.version;
    if (removed_.size() > maxKnownRemovals) {
        removed_.clear();
        removalHorizon_ = version_;
    }
    // Own changes are applied before their event, but only the event sets the content version.
    if (!changes.changes.empty())
        contentVersion_ = changes.version;
    if (changed)
        handlers_.changed();
}

void GroupFeed::handleSuccess()
{
    failures_ = 0;
    if (!healthySince_)
        healthySince_ = clock_.now();
    if (std::exchange(failing_, false))
        logEvent(Event::PlatformRecovered, {{"group", groupName(group_)}});
}

void GroupFeed::handleFailure(StoreFailure failure)
{
    if (failure == StoreFailure::HistoryGone) {
        logEvent(Event::ConfigurationRelisted,
                 {{"group", groupName(group_)}, {"revision", version_.value()}});
        listNeeded_ = true;
        list();
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
    scheduleRetry();
}

void GroupFeed::scheduleRetry()
{
    const auto limit =
        std::min(maxRetryDelay_, firstRetryDelayLimit * (1 << std::min(failures_++, 6U)));
    const auto delay = Milliseconds(random_.below(static_cast<std::uint64_t>(limit.count())) + 1);
    loop_.startTimer(delay, [this, alive = alive_] {
        if (*alive)
            start();
    });
}

bool GroupFeed::applySnapshot(const GroupSnapshot &snapshot)
{
    if (loaded_ && raiseContentVersion(snapshot.version))
        return false;
    std::map<std::string, StoredItem> items;
    for (const StoredItem &item : snapshot.items)
        items[item.name] = item;
    // Own changes can be newer than the snapshot.
    for (const auto &[name, item] : items_) {
        if (item.version > snapshot.version)
            items[name] = item;
    }
    items_ = std::move(items);
    removed_.clear();
    removalHorizon_ = snapshot.version;
    contentVersion_ = snapshot.version;
    version_ = std::max(version_, snapshot.version);
    loaded_ = true;
    listNeeded_ = false;
    handlers_.changed();
    return true;
}

void GroupFeed::applyOwnChange(const StoredItem &item)
{
    auto &known = items_[item.name];
    if (known.version >= item.version)
        return;
    known = item;
    handlers_.changed();
}

// Returns whether this copy is at least as new as the version. Nothing changed between the content
// version and version_, so a version between them becomes the content version: otherwise a peer
// with equal content and that version would count as newer.
bool GroupFeed::raiseContentVersion(ResourceVersion version)
{
    if (version > version_)
        return false;
    contentVersion_ = std::max(contentVersion_, version);
    return true;
}

void GroupFeed::applyCopy(const GroupCopy &copy)
{
    const ResourceVersion before = contentVersion_;
    applyPeerItems(copy);
    if (contentVersion_ != before && isLogged(Event::PeerCopyApplied)) {
        logEvent(Event::PeerCopyApplied, {{"group", groupName(group_)},
                                          {"revision", contentVersion_.value()},
                                          {"former_revision", before.value()},
                                          {"items", copy.items.size()}});
    }
}

void GroupFeed::applyPeerItems(const GroupCopy &copy)
{
    if (!copy.since) {
        applySnapshot({copy.version, copy.items});
        return;
    }
    if (!loaded_ || version_ < *copy.since || raiseContentVersion(copy.version))
        return;
    GroupChanges changes{copy.version, {}};
    for (const StoredItem &item : copy.items)
        changes.changes.push_back({item, false});
    for (const std::string &name : copy.removed) {
        const auto known = items_.find(name);
        if (known != items_.end() && known->second.version <= copy.version)
            changes.changes.push_back({known->second, true});
    }
    applyChanges(changes);
    contentVersion_ = copy.version;
}

GroupCopy GroupFeed::copyFor(ResourceVersion known) const
{
    GroupCopy copy{.group = group_, .version = contentVersion_};
    if (known >= removalHorizon_) {
        copy.since = known;
        for (const auto &[name, removedAt] : removed_) {
            if (removedAt > known)
                copy.removed.push_back(name);
        }
    }
    for (const auto &[name, item] : items_) {
        if (peerLacks(known, item))
            copy.items.push_back(item);
    }
    return copy;
}

std::size_t GroupFeed::copySize(ResourceVersion known) const
{
    std::size_t size = 0;
    for (const auto &[name, item] : items_)
        size += peerLacks(known, item) ? item.text.size() : 0;
    return size;
}

// If not all removals since the known version are remembered, the peer needs the whole group.
bool GroupFeed::peerLacks(ResourceVersion known, const StoredItem &item) const
{
    return known < removalHorizon_ || item.version > known;
}

std::optional<ResourceVersion> GroupFeed::versionOf(const std::string &name) const
{
    const auto found = items_.find(name);
    if (found == items_.end())
        return std::nullopt;
    return found->second.version;
}

} // namespace pistachiowood
