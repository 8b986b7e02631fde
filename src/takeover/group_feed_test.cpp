#include "takeover/group_feed.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

/// Answers lists at once and keeps each watch waiting until the test answers it.
class ScriptedStore final : public PlatformStore
{
public:
    void list(ObjectGroup, Milliseconds, Callback<GroupSnapshot> callback) override
    {
        ++lists;
        callback(listed);
    }

    void watch(ObjectGroup, StoreVersion from, Milliseconds, Milliseconds,
               Callback<GroupChanges> callback) override
    {
        watchedFrom = from;
        ++watches;
        waitingWatch = std::move(callback);
    }

    void cancelWatch(ObjectGroup) override
    {
        ++cancelledWatches;
        waitingWatch = nullptr;
    }

    void check(ObjectGroup, StoreVersion, Milliseconds, Milliseconds,
               Callback<GroupChanges>) override
    {
    }

    void putRecord(const std::string &, std::optional<StoreVersion>, const std::string &,
                   Milliseconds, Callback<StoreVersion>) override
    {
    }

    void deleteRecord(const std::string &, StoreVersion, Milliseconds,
                      Callback<StoreVersion>) override
    {
    }

    Result<DeploymentConfiguration> decodeConfiguration(const StoredItem &) override
    {
        return DeploymentConfiguration{};
    }

    Result<EndpointEntry> decodeEndpoint(const StoredItem &) override { return EndpointEntry{}; }

    void answer(GroupChanges changes) { std::exchange(waitingWatch, nullptr)(std::move(changes)); }

    GroupSnapshot listed;
    Callback<GroupChanges> waitingWatch;
    StoreVersion watchedFrom;
    unsigned lists = 0;
    unsigned watches = 0;
    unsigned cancelledWatches = 0;
};

StoredItem item(const std::string &name, std::uint64_t version)
{
    return storedItem(name, storeVersion(version));
}

} // namespace

TEST_GROUP(GroupFeed)
{
    struct Peer
    {
        ScriptedStore store;
        std::unique_ptr<GroupFeed> feed;
        unsigned changes = 0;
        unsigned confirmations = 0;
    };
    EventLoop loop;
    BootClock clock;
    SeededRandom random{3};
    Peer sender;
    Peer receiver;

    void start(Peer & peer, GroupSnapshot listed)
    {
        peer.store.listed = std::move(listed);
        peer.feed = std::make_unique<GroupFeed>(
            loop, clock, random, peer.store, ObjectGroup::Endpoints, 20s,
            GroupFeed::Handlers{[&peer] { ++peer.changes; },
                                [&peer](TimePoint) { ++peer.confirmations; }});
        peer.feed->start();
    }

    void runFor(Milliseconds time)
    {
        loop.startTimer(time, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }

    GroupCopy sendCopy()
    {
        const GroupCopy copy = sender.feed->replica().copyFor(receiver.feed->replica().state());
        receiver.feed->applyCopy(copy);
        return copy;
    }
};

// Guards against sending the whole group at each change: one scale run sent 83 MB between regions.
TEST(GroupFeed, copyHoldsOnlyWhatThePeerLacks)
{
    start(sender, {storeVersion(10), {item("a", 3), item("b", 4), item("c", 5)}});
    start(receiver, {storeVersion(10), {item("a", 3), item("b", 4), item("c", 5)}});
    sender.store.answer({storeVersion(12), {{item("b", 11), false}, {item("c", 12), true}}});
    const GroupCopy copy = sendCopy();
    CHECK_TRUE(copy.since == storeVersion(10));
    LONGS_EQUAL(1, copy.items.size());
    LONGS_EQUAL(1, copy.removed.size());
    LONGS_EQUAL(2, receiver.feed->items().size());
    LONGS_EQUAL(11, receiver.feed->items().at("b").version.stored.revision.value());
    CHECK_TRUE(receiver.feed->replica().state() == sender.feed->replica().state());
}

// Guards against an object that stays in a peer's copy because the sender does not know that it was
// removed.
TEST(GroupFeed, peerOlderThanTheFirstListGetsTheWholeGroup)
{
    start(receiver, {storeVersion(6), {item("a", 3), item("gone", 5)}});
    start(sender, {storeVersion(10), {item("a", 3)}});
    CHECK_FALSE(sendCopy().since.has_value());
    LONGS_EQUAL(1, receiver.feed->items().size());
}

// Guards against a partial copy that is applied to an older version than the one it builds on.
TEST(GroupFeed, partialCopyForANewerVersionIsIgnored)
{
    start(receiver, {storeVersion(6), {item("a", 3)}});
    GroupCopy copy{ObjectGroup::Endpoints, storeVersion(12), storeVersion(8), {}, {}};
    copy.items.push_back(item("b", 11));
    receiver.feed->applyCopy(copy);
    LONGS_EQUAL(1, receiver.feed->items().size());
    LONGS_EQUAL(6, receiver.feed->replica().state().content.revision.value());
}

// Guards against equal content under different content versions: the peer's confirmations would not
// count, and it would request copies for ever.
TEST(GroupFeed, equalContentTakesTheNewerVersion)
{
    start(sender, {storeVersion(10), {item("a", 3)}});
    start(receiver, {storeVersion(10), {item("a", 3)}});
    sender.store.answer({storeVersion(13), {{item("a", 11), false}}});
    receiver.store.answer({storeVersion(11), {{item("a", 11), false}}});
    receiver.store.answer({storeVersion(20), {}});
    const unsigned changes = receiver.changes;
    sendCopy();
    LONGS_EQUAL(13, receiver.feed->replica().state().content.revision.value());
    LONGS_EQUAL(changes, receiver.changes);
}

// Guards against the loss of a change that this daemon made after the peer's copy.
TEST(GroupFeed, wholeCopyKeepsNewerOwnChanges)
{
    start(receiver, {storeVersion(6), {item("a", 3)}});
    receiver.feed->applyOwnChange(item("own", 15));
    receiver.feed->applyCopy({ObjectGroup::Endpoints, storeVersion(12), {}, {item("a", 9)}, {}});
    LONGS_EQUAL(2, receiver.feed->items().size());
    LONGS_EQUAL(9, receiver.feed->items().at("a").version.stored.revision.value());
}

// Guards against store calls while watching is switched off, and against watches that do not resume
// when it is switched on.
TEST(GroupFeed, watchesOnlyWhileEnabled)
{
    start(sender, {storeVersion(6), {}});
    sender.feed->setWatching(false);
    LONGS_EQUAL(1, sender.store.watches);
    sender.store.answer({storeVersion(7), {}});
    LONGS_EQUAL(1, sender.store.watches);
    sender.feed->setWatching(true);
    sender.feed->setWatching(true);
    LONGS_EQUAL(2, sender.store.watches);
    LONGS_EQUAL(1, sender.store.lists);
}

// Guards against a store that is called without pause (15,314 calls in 5 s) when it has lost the
// revision of each watch.
TEST(GroupFeed, listAndWatchFollowEachOtherWithoutPause)
{
    start(sender, {storeVersion(9), {item("a", 3)}});
    for (unsigned i = 0; i < 5; ++i) {
        if (sender.store.waitingWatch)
            std::exchange(sender.store.waitingWatch, nullptr)(StoreFailure::HistoryGone);
    }
    LONGS_EQUAL(2, sender.store.lists);
    runFor(250ms);
    CHECK_TRUE(sender.store.waitingWatch != nullptr);
    CHECK_TRUE(sender.store.lists <= 4);
}

// Guards against answers that confirm a copy of another era of the store.
TEST(GroupFeed, answerOfAnotherEraConfirmsTheCopy)
{
    start(receiver, {storeVersion(9), {item("a", 3)}});
    const unsigned confirmed = receiver.confirmations;
    receiver.store.listed = {storeVersion(4, 2), {item("a", 3)}};
    receiver.store.answer({storeVersion(9, 2), {}});
    LONGS_EQUAL(2, receiver.store.lists);
    CHECK_TRUE(receiver.feed->version() == storeVersion(4, 2));
    LONGS_EQUAL(confirmed + 1, receiver.confirmations); // by the list
    receiver.store.answer({storeVersion(12, 1), {{item("a", 12), false}}});
    LONGS_EQUAL(confirmed + 1, receiver.confirmations);
    LONGS_EQUAL(3, receiver.feed->items().at("a").version.stored.revision.value());
}

// Guards against a watch from a revision of the former era, which misses changes or is never
// answered.
TEST(GroupFeed, watchOfTheFormerEraGoesOn)
{
    start(sender, {storeVersion(4, 2), {item("a", 3)}});
    start(receiver, {storeVersion(9), {item("a", 3)}});
    sendCopy();
    LONGS_EQUAL(1, receiver.store.cancelledWatches);
    CHECK_TRUE(receiver.store.watchedFrom == storeVersion(4, 2));
}

// Guards against lists of all daemons at once after the store has dropped its history, although a
// peer has what they lack.
TEST(GroupFeed, copyOfAPeerDoesNotReplaceADelayedList)
{
    start(sender, {storeVersion(9), {item("a", 3)}});
    start(receiver, {storeVersion(9), {item("a", 3)}});
    receiver.feed->setListDelay(1ms);
    sender.store.answer({storeVersion(12), {{item("a", 12), false}}});
    std::exchange(receiver.store.waitingWatch, nullptr)(StoreFailure::HistoryGone);
    sendCopy();
    runFor(50ms);
    LONGS_EQUAL(1, receiver.store.lists);
    CHECK_TRUE(receiver.store.watchedFrom == storeVersion(12));
    std::exchange(receiver.store.waitingWatch, nullptr)(StoreFailure::HistoryGone);
    runFor(250ms);
    LONGS_EQUAL(2, receiver.store.lists);
}
