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

/// Copy of one group of the platform's objects: one list, then one watch after the other. A copy
/// from a peer takes its place when it is newer. The version never goes back.
class GroupFeed
{
public:
    struct Handlers
    {
        std::function<void()> changed;
        /// The copy holds every change made before the time.
        std::function<void(TimePoint confirmedAt)> confirmed;
    };

    GroupFeed(EventLoop &loop, const Clock &clock, RandomSource &random, PlatformStore &store,
              ObjectGroup group, Milliseconds watchPeriod, Handlers handlers);
    ~GroupFeed();

    void start();
    /// Whether the copy is kept up to date by watches; else only by checks and by peers.
    void setWatching(bool watching);
    /// Longest wait before a call that failed is repeated.
    void setRetryLimit(Milliseconds limit) { retryLimit_ = limit; }
    bool watching() const { return watching_; }
    /// Takes what a peer passed on, if it is newer and fits.
    void takeCopy(const GroupCopy &copy);
    /// What a peer with that content version lacks.
    GroupCopy copyFor(ResourceVersion known) const;
    /// Bytes of the texts in that copy.
    std::size_t copySize(ResourceVersion known) const;
    /// Asks the store for changes beside the waiting watch, which may hear nothing for long. The
    /// callback tells whether it answered.
    void check(Milliseconds wait, std::function<void(bool answered)> callback);
    /// Adds the result of a change that this daemon made.
    void takeOwnChange(const StoredItem &item);

    const std::map<std::string, StoredItem> &items() const { return items_; }
    /// Version of the object of that name, if there is one.
    std::optional<ResourceVersion> versionOf(const std::string &name) const;
    ResourceVersion version() const { return version_; }
    /// Version with which the content last changed; copies of equal content are not exchanged.
    ResourceVersion contentVersion() const { return contentVersion_; }
    /// Whether the last call to the store failed.
    bool failing() const { return failing_; }
    /// Time since which the store has answered every call.
    std::optional<TimePoint> healthySince() const { return healthySince_; }
    /// True after the first list or snapshot.
    bool loaded() const { return loaded_; }

private:
    void list();
    bool takeSnapshot(const GroupSnapshot &snapshot);
    bool holds(ResourceVersion version);
    bool lacks(ResourceVersion known, const StoredItem &item) const;
    void watch();
    void watchAgain();
    void handleList(TimePoint sentAt, StoreOutcome<GroupSnapshot> outcome);
    void takeChanges(TimePoint sentAt, const GroupChanges &changes);
    void applyChanges(const GroupChanges &changes);
    void handleChanges(TimePoint sentAt, StoreOutcome<GroupChanges> outcome);
    void handleFailure(StoreFailure failure);
    void handleAnswer();
    void retryLater();

    EventLoop &loop_;
    const Clock &clock_;
    RandomSource &random_;
    PlatformStore &store_;
    ObjectGroup group_;
    Milliseconds watchPeriod_;
    Handlers handlers_;
    std::map<std::string, StoredItem> items_;
    std::map<std::string, ResourceVersion> removed_; ///< since the horizon, with a version at which
                                                     ///< the object was gone
    ResourceVersion removalHorizon_; ///< earlier removals are not known
    ResourceVersion version_;
    ResourceVersion contentVersion_;
    bool loaded_ = false;
    bool listNeeded_ = true;
    Milliseconds retryLimit_{800}; ///< a few calls a second of a small fleet during an outage
    bool watching_ = true;
    bool idle_ = true; ///< no list, watch or retry is on its way
    bool failing_ = false;
    unsigned failures_ = 0;
    std::optional<TimePoint> healthySince_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
