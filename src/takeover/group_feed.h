#ifndef PISTACHIOWOOD_TAKEOVER_GROUP_FEED_H
#define PISTACHIOWOOD_TAKEOVER_GROUP_FEED_H

#include "base/random.h"
#include "net/event_loop.h"
#include "takeover/platform_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pistachiowood {

/// Keeps a local copy of one group of the platform's objects up to date: by a list, then by
/// consecutive watches, and by newer copies from peers. The version never decreases.
class GroupFeed
{
public:
    struct Handlers
    {
        std::function<void()> changed; ///< the items changed
        /// The copy holds every change made before the given time.
        std::function<void(TimePoint confirmedAt)> confirmed;
    };

    GroupFeed(EventLoop &loop, const Clock &clock, RandomSource &random, PlatformStore &store,
              ObjectGroup group, Milliseconds watchPeriod, Handlers handlers);
    ~GroupFeed();

    void start();
    /// Starts or ends the watches. Without them, only checks and peers update the copy.
    void setWatching(bool watching);
    /// Sets the longest delay before a failed call is retried.
    void setMaxRetryDelay(Milliseconds delay) { maxRetryDelay_ = delay; }
    bool watching() const { return watching_; }
    /// Applies a copy from a peer, if it is newer and, for a partial copy, this copy holds the
    /// version that it builds on.
    void applyCopy(const GroupCopy &copy);
    /// Copy for a peer that has the given content version: only what it lacks if all removals since
    /// then are known, otherwise the whole group.
    GroupCopy copyFor(ResourceVersion known) const;
    /// Size in bytes of the texts in that copy.
    std::size_t copySize(ResourceVersion known) const;
    /// Asks the store for changes while a watch is waiting; a watch alone would confirm the copy
    /// only when it ends. The callback is told whether the store answered.
    void check(Milliseconds wait, std::function<void(bool answered)> callback);
    /// Applies a change that this daemon made in the store, before a watch reports it.
    void applyOwnChange(const StoredItem &item);

    const std::map<std::string, StoredItem> &items() const { return items_; }
    /// Version of the named object; nullopt if there is none.
    std::optional<ResourceVersion> versionOf(const std::string &name) const;
    ResourceVersion version() const { return version_; }
    /// Version at which the content last changed. Peers compare it, so that copies of equal content
    /// are not exchanged.
    ResourceVersion contentVersion() const { return contentVersion_; }
    /// Whether the last call to the store failed.
    bool failing() const { return failing_; }
    /// Time since which the store has answered every list and watch; nullopt after a failure.
    std::optional<TimePoint> healthySince() const { return healthySince_; }
    /// Whether the copy has been complete once, from the store or from a peer.
    bool loaded() const { return loaded_; }

private:
    void list();
    void applyPeerItems(const GroupCopy &copy);
    bool applySnapshot(const GroupSnapshot &snapshot);
    bool raiseContentVersion(ResourceVersion version);
    bool peerLacks(ResourceVersion known, const StoredItem &item) const;
    void watch();
    void continueWatching();
    void handleList(TimePoint sentAt, StoreOutcome<GroupSnapshot> outcome);
    void applyAndConfirm(TimePoint sentAt, const GroupChanges &changes);
    void applyChanges(const GroupChanges &changes);
    void handleChanges(TimePoint sentAt, StoreOutcome<GroupChanges> outcome);
    void handleFailure(StoreFailure failure);
    void handleSuccess();
    void scheduleRetry();

    EventLoop &loop_;
    const Clock &clock_;
    RandomSource &random_;
    PlatformStore &store_;
    ObjectGroup group_;
    Milliseconds watchPeriod_;
    Handlers handlers_;
    std::map<std::string, StoredItem> items_;
    /// Objects removed since the horizon, each with a version that no longer has it.
    std::map<std::string, ResourceVersion> removed_;
    ResourceVersion removalHorizon_; ///< removals up to this version are not known
    ResourceVersion version_;
    ResourceVersion contentVersion_;
    bool loaded_ = false;
    bool listNeeded_ = true;
    Milliseconds maxRetryDelay_{800}; ///< a small fleet makes a few calls a second in an outage
    bool watching_ = true;
    bool idle_ = true; ///< no list, watch or retry is pending
    bool failing_ = false;
    unsigned failures_ = 0;
    std::optional<TimePoint> healthySince_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
