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

/// Lists all objects; answer with handleList.
struct ListObjects
{
    std::uint64_t request = 0;
    Milliseconds timeout{0};
};

/// Watches from a version; answer with handleWatch. The client waits `wait` plus `timeout`.
struct WatchObjects
{
    std::uint64_t request = 0;
    ResourceVersion from;
    Milliseconds wait{0};
    Milliseconds timeout{0};
};

/// Fetches the copy of a random live peer that reports a version above the given one, in the same
/// zone if possible; answer with handlePeerSnapshot (NotFound if there is none).
struct FetchFromPeer
{
    std::uint64_t request = 0;
    ResourceVersion above;
    Milliseconds timeout{0};
};

/// Calls tick at this time at the latest.
struct Schedule
{
    TimePoint at;
};

using FeedCommand = std::variant<ListObjects, WatchObjects, FetchFromPeer, Schedule>;
using FeedCommands = std::vector<FeedCommand>;

/// Load on the platform's store: the limit is about 2,000 reads a second.
/// - Watches: each daemon starts at most one per memberInterval x members, so all together start
///   at most 1 / 1 ms = 1,000 a second, also while every change wakes every watch.
/// - Retries after an outage: the first delay is uniform over a window of at least
///   2 ms x members (1.6 s for 800), so 800 daemons make about 500 calls a second at first and
///   fewer as the delays double up to 4 s (200 a second).
/// - Relists after an outage: uniform over 10 ms x members (8 s for 800), 100 lists a second, and
///   most of them are replaced by a peer's copy.
/// A daemon does one of these at a time, so the sum stays near 1,000 reads a second. The longest
/// delay after an outage is 6 s + 8 s, below the 15 s in which a change must be in force. With six
/// daemons the spreads are 6 ms, 100 ms and 60 ms.
struct FeedOptions
{
    Milliseconds listTimeout{5000};
    Milliseconds watchWait{20000};
    Milliseconds watchTimeout{2000}; ///< beyond the wait
    Milliseconds peerTimeout{2000};
    Milliseconds peerDelay{1000}; ///< time without the platform before a peer is asked
    Milliseconds memberInterval{1};
    Milliseconds retryPerMember{2};
    Milliseconds minimumRetry{100};
    Milliseconds maximumRetry{4000};
    Milliseconds relistPerMember{10};
};

/// List-then-watch over all kinds. Decides when to ask whom; the store decides what applies.
/// Answers to requests other than the outstanding one are ignored.
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

    /// Size of the membership; spreads the load over all daemons.
    void setMemberCount(std::size_t members);
    /// Highest applied version among the live members. If this daemon stays below it, because its
    /// watch hangs or it cannot reach the platform, it takes a peer's copy.
    FeedCommands notePeerVersion(TimePoint now, ResourceVersion version);

    bool platformAnswers() const { return failures_ == 0 && answered_; }

private:
    enum class Action { List, Watch };

    FeedCommands list(TimePoint now);
    FeedCommands watch(TimePoint now);
    FeedCommands fetch(TimePoint now);
    FeedCommands retry(TimePoint now, const Error &error);
    FeedCommands wait(TimePoint at, Action action);
    FeedCommands withSchedule(FeedCommands commands) const;
    void noteAnswer();
    bool needsPeer() const;

    ConfigurationStore &store_;
    RandomSource &random_;
    FeedOptions options_;
    std::size_t members_ = 1;
    std::uint64_t lastRequest_ = 0;

    std::uint64_t outstanding_ = 0; ///< request to the platform, 0 for none
    Action action_ = Action::List; ///< outstanding, or next at nextAt_
    TimePoint nextAt_; ///< deadline of the outstanding request, or start of the next
    TimePoint watchStarted_;
    ResourceVersion watchFrom_;
    bool answered_ = false;
    unsigned failures_ = 0;

    std::uint64_t peerRequest_ = 0;
    std::optional<TimePoint> peerAt_; ///< next fetch, or deadline of the outstanding one
    ResourceVersion peerGoal_;
    bool relistFromPeer_ = false; ///< a relist asks a peer first
};

} // namespace pistachiowood

#endif
