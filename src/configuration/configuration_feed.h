#ifndef PISTACHIOWOOD_CONFIGURATION_CONFIGURATION_FEED_H
#define PISTACHIOWOOD_CONFIGURATION_CONFIGURATION_FEED_H

#include "base/random.h"
#include "configuration/configuration_store.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Command: list all objects, then call handleList().
struct ListObjects
{
    std::uint64_t request = 0;
    Milliseconds timeout{0};
};

/// Command: watch changes after version `from`, then call handleWatch(). The platform answers after
/// `wait` if nothing changes; the client waits for `wait` plus `timeout`.
struct WatchObjects
{
    std::uint64_t request = 0;
    ResourceVersion from;
    Milliseconds wait{0};
    Milliseconds timeout{0};
};

/// Command: fetch the configuration of a random live peer that reports a version greater than
/// `above`, in the same zone if possible, then call handlePeerSnapshot() (with NotFound if no peer
/// reports one).
struct FetchFromPeer
{
    std::uint64_t request = 0;
    ResourceVersion above;
    Milliseconds timeout{0};
};

/// Command: call tick() at this time or earlier.
struct ScheduleFeedTick
{
    TimePoint at;
};

using FeedCommand = std::variant<ListObjects, WatchObjects, FetchFromPeer, ScheduleFeedTick>;
using FeedCommands = std::vector<FeedCommand>;

/// Intervals and timeouts of the feed. They keep the load of all daemons on the platform's store
/// below its limit of about 2,000 reads per second:
/// - Watches: each daemon starts at most one per watchIntervalPerMember x members, so all daemons
///   together start at most 1 / 1 ms = 1,000 per second, also while every change completes every
///   watch.
/// - Retries after an outage: the first delay is uniformly distributed over a window of at least
///   2 ms x members (1.6 s for 800), so 800 daemons make about 500 requests per second at first and
///   fewer as the delays double up to 4 s (200 per second).
/// - Relists after an outage: uniformly distributed over 10 ms x members (8 s for 800), 100 lists
///   per second; a peer's copy replaces most of them.
/// A daemon does one of these at a time, so the sum stays near 1,000 reads per second. The longest
/// delay after an outage is 6 s + 8 s, below the 15 s within which a change must take effect. With
/// six daemons the intervals are 6 ms, 100 ms and 60 ms.
struct FeedOptions
{
    Milliseconds listTimeout{5000};
    Milliseconds watchWait{20000}; ///< longest time that the platform holds a watch without changes
    Milliseconds watchTimeout{2000}; ///< for the answer, after watchWait has passed
    Milliseconds peerFetchTimeout{2000};
    Milliseconds peerFetchDelay{1000}; ///< before a peer is asked while the platform is unavailable
    Milliseconds watchIntervalPerMember{1}; ///< between watches of one daemon, times members
    Milliseconds retryDelayPerMember{2}; ///< first retry window, times members
    Milliseconds minRetryDelay{100}; ///< lower bound of the first retry window
    Milliseconds maxRetryDelay{4000}; ///< upper bound of the doubled retry windows
    Milliseconds relistDelayPerMember{10}; ///< window of a relist, times members
};

/// Keeps the store up to date: lists all objects once, then watches for changes. The feed decides
/// when to send a request and whether to the platform or to a peer; the store decides which objects
/// it applies. Answers to requests other than the outstanding one are ignored.
class ConfigurationFeed
{
public:
    using ListOutcome = std::variant<ConfigurationSnapshot, Error>;
    using WatchOutcome = std::variant<WatchAnswer, Error>;

    ConfigurationFeed(ConfigurationStore &store, RandomSource &random, FeedOptions options = {});

    FeedCommands start(TimePoint now);
    FeedCommands handleList(TimePoint now, std::uint64_t request, const ListOutcome &outcome);
    FeedCommands handleWatch(TimePoint now, std::uint64_t request, const WatchOutcome &outcome);
    FeedCommands handlePeerSnapshot(TimePoint now, std::uint64_t request,
                                    const ListOutcome &outcome);
    FeedCommands tick(TimePoint now);

    /// Sets the number of daemons, which the intervals and delays are proportional to.
    void setMemberCount(std::size_t members);
    /// Handles the highest version that a live member has applied. If the store stays below it,
    /// because the watch hangs or the platform is unreachable, a peer's copy is fetched.
    FeedCommands handlePeerVersion(TimePoint now, ResourceVersion version);

    /// Returns whether the last request to the platform succeeded.
    bool platformAnswers() const { return failures_ == 0 && answered_; }

private:
    enum class Action { List, Watch };

    FeedCommands startList(TimePoint now);
    FeedCommands startWatch(TimePoint now);
    FeedCommands fetchFromPeer(TimePoint now);
    FeedCommands scheduleRetry(TimePoint now, const Error &error);
    FeedCommands scheduleAction(TimePoint at, Action action);
    FeedCommands withSchedule(FeedCommands commands) const;
    void handlePlatformAnswer();
    bool needsPeer() const;

    ConfigurationStore &store_;
    RandomSource &random_;
    FeedOptions options_;
    std::size_t members_ = 1;
    std::uint64_t lastRequest_ = 0;

    std::uint64_t outstanding_ = 0; ///< request to the platform; 0: none
    Action action_ = Action::List; ///< kind of the outstanding request, or of the next one
    TimePoint platformActionAt_; ///< deadline of the outstanding request, or start of the next
    TimePoint watchStarted_;
    ResourceVersion watchFrom_;
    bool answered_ = false;
    unsigned failures_ = 0;

    std::uint64_t peerRequest_ = 0; ///< outstanding request to a peer; 0: none
    std::optional<TimePoint> peerActionAt_; ///< deadline of a fetch, or start of the next
    ResourceVersion targetVersion_; ///< fetches are repeated until the store has this version
    bool relistFromPeer_ = false; ///< the next relist first tries to fetch a peer's copy
};

} // namespace pistachiowood

#endif
