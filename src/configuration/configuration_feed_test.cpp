#include "configuration/configuration_feed.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

const Error unavailable{ErrorCode::Unavailable, "down"};

ConfigurationSnapshot snapshot(std::uint64_t version)
{
    return {ResourceVersion(version),
            {{ObjectKind::Team, "a", ResourceVersion(version), "", R"({"weight":2})"}}};
}

template <typename T>
const T *findCommand(const FeedCommands &commands)
{
    for (const FeedCommand &command : commands) {
        if (const T *found = std::get_if<T>(&command))
            return found;
    }
    return nullptr;
}

} // namespace

TEST_GROUP(ConfigurationFeed)
{
    ConfigurationStore store;
    SeededRandom random{7};
    ConfigurationFeed feed{store, random};
    TimePoint now{std::chrono::hours(1)};

    /// Ticks at the scheduled times until the feed returns a command of type T.
    template <typename T>
    T advanceTo(FeedCommands commands)
    {
        for (int step = 0; step < 100; ++step) {
            if (const T *found = findCommand<T>(commands))
                return *found;
            if (const ScheduleFeedTick *schedule = findCommand<ScheduleFeedTick>(commands))
                now = std::max(now, schedule->at);
            commands = feed.tick(now);
        }
        FAIL("the command was not issued");
        return {};
    }

    WatchObjects beginWatch(std::uint64_t version)
    {
        const auto list = advanceTo<ListObjects>(feed.start(now));
        return advanceTo<WatchObjects>(feed.handleList(now, list.request, snapshot(version)));
    }
};

// Guards against a daemon that cannot start while the platform is down.
TEST(ConfigurationFeed, startsFromAPeerIfThePlatformDoesNotAnswer)
{
    const TimePoint started = now;
    const auto fetch = advanceTo<FetchFromPeer>(feed.start(now));
    CHECK_TRUE(now - started <= Milliseconds(1000));
    const auto commands = feed.handlePeerSnapshot(now, fetch.request, snapshot(5));
    CHECK_EQUAL(5U, store.version().value());
    CHECK_EQUAL(5U, advanceTo<WatchObjects>(commands).from.value());
}

// Guards against a daemon that stops asking peers after one of them had no copy.
TEST(ConfigurationFeed, asksPeersAgainWhileItHasNothing)
{
    const auto first = advanceTo<FetchFromPeer>(feed.start(now));
    const auto second =
        advanceTo<FetchFromPeer>(feed.handlePeerSnapshot(now, first.request, unavailable));
    CHECK_TRUE(second.request != first.request);
}

// Guards against a platform restored from a backup, or a stale replica of it, that reverts the
// configuration.
TEST(ConfigurationFeed, watchThatGoesBackwardsIsRefused)
{
    const auto watch = beginWatch(10);
    const auto commands = feed.handleWatch(now, watch.request, WatchAnswer{ResourceVersion(9), {}});
    CHECK_EQUAL(10U, store.version().value());
    CHECK_FALSE(feed.platformAnswers());
    CHECK_EQUAL(10U, advanceTo<WatchObjects>(commands).from.value());
}

// Guards against a daemon that reports the platform as unreachable until the next change or the
// end of a long watch.
TEST(ConfigurationFeed, noticesRecoveryWithoutAChange)
{
    const auto watch = beginWatch(10);
    CHECK_TRUE(watch.wait > Milliseconds(0));
    const auto retry =
        advanceTo<WatchObjects>(feed.handleWatch(now, watch.request, Error{unavailable}));
    CHECK_FALSE(feed.platformAnswers());
    CHECK_EQUAL(0, retry.wait.count());
    const auto answered =
        feed.handleWatch(now, retry.request, WatchAnswer{ResourceVersion(10), {}});
    CHECK_TRUE(feed.platformAnswers());
    CHECK_TRUE(advanceTo<WatchObjects>(answered).wait == watch.wait);
}

// Guards against a daemon that keeps watching from a version that the platform has compacted.
TEST(ConfigurationFeed, relistsWhenTheVersionIsTooOld)
{
    const auto watch = beginWatch(10);
    const Error tooOld{ErrorCode::VersionTooOld, "compacted"};
    const auto fetch = advanceTo<FetchFromPeer>(feed.handleWatch(now, watch.request, tooOld));
    CHECK_EQUAL(10U, fetch.above.value());
    const auto list =
        advanceTo<ListObjects>(feed.handlePeerSnapshot(now, fetch.request, unavailable));
    feed.handleList(now, list.request, snapshot(20));
    CHECK_EQUAL(20U, store.version().value());
}

// Guards against a watch that hangs and delays a changed configuration.
TEST(ConfigurationFeed, followsPeersThatAreAhead)
{
    beginWatch(10);
    const TimePoint started = now;
    const auto fetch = advanceTo<FetchFromPeer>(feed.handlePeerVersion(now, ResourceVersion(12)));
    CHECK_TRUE(now - started <= Milliseconds(2500));
    feed.handlePeerSnapshot(now, fetch.request, snapshot(12));
    CHECK_EQUAL(12U, store.version().value());
}

// Guards against a late answer that starts a second series of requests.
TEST(ConfigurationFeed, answersToOtherRequestsAreIgnored)
{
    const auto watch = beginWatch(10);
    CHECK_TRUE(feed.handleWatch(now, watch.request + 9, unavailable).empty());
    CHECK_TRUE(feed.handleList(now, watch.request, snapshot(30)).empty());
    CHECK_EQUAL(10U, store.version().value());
}

// Guards against 800 daemons that exceed the store's read limit when an outage ends.
TEST(ConfigurationFeed, loadOfManyDaemonsStaysBelowTheLimit)
{
    constexpr int daemons = 800;
    std::vector<std::int64_t> callTimes;
    const TimePoint outageBegins = now;
    for (int index = 0; index < daemons; ++index) {
        ConfigurationStore daemonStore;
        SeededRandom daemonRandom(static_cast<std::uint64_t>(index));
        ConfigurationFeed daemonFeed(daemonStore, daemonRandom);
        daemonFeed.setMemberCount(daemons);
        now = outageBegins;
        auto commands = daemonFeed.start(now);
        const auto list = *findCommand<ListObjects>(commands);
        commands = daemonFeed.handleList(now, list.request, snapshot(10));
        // The outage lasts 4 s. After it the watched version is too old and no peer has a newer
        // copy.
        while (now - outageBegins < Milliseconds(24000)) {
            const bool down = now - outageBegins < Milliseconds(4000);
            const auto elapsed =
                std::chrono::duration_cast<Milliseconds>(now - outageBegins).count();
            const auto *listing = findCommand<ListObjects>(commands);
            const auto *watch = findCommand<WatchObjects>(commands);
            const auto *fetch = findCommand<FetchFromPeer>(commands);
            if ((listing || watch) && elapsed > 0)
                callTimes.push_back(elapsed);
            if (listing) {
                commands = daemonFeed.handleList(now, listing->request, snapshot(20));
            } else if (watch && (down || watch->from.value() < 20)) {
                const Error tooOld{ErrorCode::VersionTooOld, ""};
                commands = daemonFeed.handleWatch(now, watch->request, down ? unavailable : tooOld);
            } else if (fetch) {
                commands = daemonFeed.handlePeerSnapshot(now, fetch->request, unavailable);
            } else {
                now = std::max(now + Milliseconds(1), findCommand<ScheduleFeedTick>(commands)->at);
                commands = daemonFeed.tick(now);
            }
        }
        CHECK_EQUAL(20U, daemonStore.version().value());
    }
    std::sort(callTimes.begin(), callTimes.end());
    std::size_t maxCallsPerSecond = 0;
    for (std::size_t first = 0, last = 0; last < callTimes.size(); ++last) {
        while (callTimes[last] - callTimes[first] >= 1000)
            ++first;
        maxCallsPerSecond = std::max(maxCallsPerSecond, last - first + 1);
    }
    CHECK_TRUE(maxCallsPerSecond < 1200);
}
