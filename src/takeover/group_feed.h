#ifndef PISTACHIOWOOD_TAKEOVER_GROUP_FEED_H
#define PISTACHIOWOOD_TAKEOVER_GROUP_FEED_H

#include "base/random.h"
#include "net/event_loop.h"
#include "takeover/group_replica.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pistachiowood {

/// Keeps a local copy of one group of the platform's objects up to date: by a list, then by
/// consecutive watches, and by newer copies from peers.
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
    /// Sets the longest delay before the list after a lost history: the daemons of a large fleet
    /// would otherwise all list at once. A copy of a peer makes the list unnecessary.
    void setListDelay(Milliseconds delay) { listDelay_ = delay; }
    bool watching() const { return watching_; }
    /// Applies a copy from a peer, if it is newer.
    void applyCopy(const GroupCopy &copy);
    /// Asks the store for changes while a watch is waiting; a watch alone would confirm the copy
    /// only when it ends. The callback is told whether the store answered.
    void check(Milliseconds wait, std::function<void(bool answered)> callback);
    /// Applies a change that this daemon made in the store, before a watch reports it.
    void applyOwnChange(const StoredItem &item);
    /// See GroupReplica::dropCarried().
    void dropCarried();

    const GroupReplica &replica() const { return replica_; }
    const GroupReplica::Items &items() const { return replica_.items(); }
    /// Version of the named object; nullopt if there is none.
    std::optional<StoreVersion> versionOf(const std::string &name) const;
    StoreVersion version() const { return replica_.version(); }
    /// When the copy entered the era of its version.
    TimePoint eraSince() const { return eraSince_; }
    /// Whether the last call to the store failed.
    bool failing() const { return failing_; }
    /// Time since which the store has answered every list and watch; nullopt after a failure.
    std::optional<TimePoint> healthySince() const { return healthySince_; }
    /// Whether the copy has been complete once, from the store or from a peer.
    bool loaded() const { return replica_.loaded(); }

private:
    void list();
    void watch();
    void continueWatching();
    void handleList(TimePoint sentAt, StoreOutcome<GroupSnapshot> outcome);
    void handleChanges(StoreVersion from, TimePoint sentAt, StoreOutcome<GroupChanges> outcome);
    void handleFailure(StoreFailure failure);
    void handleHistoryGone();
    void handleSuccess();
    bool applyAndConfirm(StoreVersion from, TimePoint sentAt, const GroupChanges &changes);
    void listAgain();
    void noteEra(StoreEra former);
    void scheduleRetry(unsigned &attempts);

    EventLoop &loop_;
    const Clock &clock_;
    RandomSource &random_;
    PlatformStore &store_;
    ObjectGroup group_;
    Milliseconds watchPeriod_;
    Handlers handlers_;
    GroupReplica replica_;
    TimePoint eraSince_{};
    bool listNeeded_ = true;
    bool listing_ = false; ///< a list is open
    bool watchOpen_ = false;
    unsigned relists_ = 0; ///< lists because of a lost history, until a watch is answered
    Milliseconds maxRetryDelay_{800}; ///< a small fleet makes a few calls a second in an outage
    Milliseconds listDelay_{0};
    bool watching_ = true;
    bool idle_ = true; ///< no list, watch or retry is pending
    bool failing_ = false;
    unsigned failures_ = 0;
    std::optional<TimePoint> healthySince_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
