#include "takeover/group_feed.h"

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

    void watch(ObjectGroup, ResourceVersion, Milliseconds, Milliseconds,
               Callback<GroupChanges> callback) override
    {
        ++watches;
        waitingWatch = std::move(callback);
    }

    void check(ObjectGroup, ResourceVersion, Milliseconds, Milliseconds,
               Callback<GroupChanges>) override
    {
    }

    void putRecord(const std::string &, std::optional<ResourceVersion>, const std::string &,
                   Milliseconds, Callback<ResourceVersion>) override
    {
    }

    void deleteRecord(const std::string &, ResourceVersion, Milliseconds,
                      Callback<ResourceVersion>) override
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
    unsigned lists = 0;
    unsigned watches = 0;
};

StoredItem item(const std::string &name, std::uint64_t version)
{
    return {name, ResourceVersion(version), "{}"};
}

} // namespace

TEST_GROUP(GroupFeed)
{
    struct Peer
    {
        ScriptedStore store;
        std::unique_ptr<GroupFeed> feed;
        unsigned changes = 0;
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
            GroupFeed::Handlers{[&peer] { ++peer.changes; }, [](TimePoint) {}});
        peer.feed->start();
    }

    GroupCopy sendCopy()
    {
        const GroupCopy copy = sender.feed->copyFor(receiver.feed->contentVersion());
        receiver.feed->applyCopy(copy);
        return copy;
    }
};

// Guards against sending the whole group at each change: one scale run sent 83 MB between regions.
TEST(GroupFeed, copyHoldsOnlyWhatThePeerLacks)
{
    start(sender, {ResourceVersion(10), {item("a", 3), item("b", 4), item("c", 5)}});
    start(receiver, {ResourceVersion(10), {item("a", 3), item("b", 4), item("c", 5)}});
    sender.store.answer({ResourceVersion(12), {{item("b", 11), false}, {item("c", 12), true}}});
    const GroupCopy copy = sendCopy();
    CHECK_TRUE(copy.since == ResourceVersion(10));
    LONGS_EQUAL(1, copy.items.size());
    LONGS_EQUAL(1, copy.removed.size());
    LONGS_EQUAL(2, receiver.feed->items().size());
    LONGS_EQUAL(11, receiver.feed->items().at("b").version.value());
    CHECK_TRUE(receiver.feed->contentVersion() == sender.feed->contentVersion());
}

// Guards against an object that stays in a peer's copy because the sender does not know that it was
// removed.
TEST(GroupFeed, peerOlderThanTheFirstListGetsTheWholeGroup)
{
    start(receiver, {ResourceVersion(6), {item("a", 3), item("gone", 5)}});
    start(sender, {ResourceVersion(10), {item("a", 3)}});
    CHECK_FALSE(sendCopy().since.has_value());
    LONGS_EQUAL(1, receiver.feed->items().size());
}

// Guards against a partial copy that is applied to an older version than the one it builds on.
TEST(GroupFeed, partialCopyForANewerVersionIsIgnored)
{
    start(receiver, {ResourceVersion(6), {item("a", 3)}});
    GroupCopy copy{ObjectGroup::Endpoints, ResourceVersion(12), ResourceVersion(8), {}, {}};
    copy.items.push_back(item("b", 11));
    receiver.feed->applyCopy(copy);
    LONGS_EQUAL(1, receiver.feed->items().size());
    LONGS_EQUAL(6, receiver.feed->contentVersion().value());
}

// Guards against equal content under different content versions: the peer's confirmations would not
// count, and it would request copies for ever.
TEST(GroupFeed, equalContentTakesTheNewerVersion)
{
    start(sender, {ResourceVersion(10), {item("a", 3)}});
    start(receiver, {ResourceVersion(10), {item("a", 3)}});
    sender.store.answer({ResourceVersion(13), {{item("a", 11), false}}});
    receiver.store.answer({ResourceVersion(11), {{item("a", 11), false}}});
    receiver.store.answer({ResourceVersion(20), {}});
    const unsigned changes = receiver.changes;
    sendCopy();
    LONGS_EQUAL(13, receiver.feed->contentVersion().value());
    LONGS_EQUAL(changes, receiver.changes);
}

// Guards against the loss of a change that this daemon made after the peer's copy.
TEST(GroupFeed, wholeCopyKeepsNewerOwnChanges)
{
    start(receiver, {ResourceVersion(6), {item("a", 3)}});
    receiver.feed->applyOwnChange(item("own", 15));
    receiver.feed->applyCopy({ObjectGroup::Endpoints, ResourceVersion(12), {}, {item("a", 9)}, {}});
    LONGS_EQUAL(2, receiver.feed->items().size());
    LONGS_EQUAL(9, receiver.feed->items().at("a").version.value());
}

// Guards against store calls while watching is switched off, and against watches that do not resume
// when it is switched on.
TEST(GroupFeed, watchesOnlyWhileEnabled)
{
    start(sender, {ResourceVersion(6), {}});
    sender.feed->setWatching(false);
    LONGS_EQUAL(1, sender.store.watches);
    sender.store.answer({ResourceVersion(7), {}});
    LONGS_EQUAL(1, sender.store.watches);
    sender.feed->setWatching(true);
    sender.feed->setWatching(true);
    LONGS_EQUAL(2, sender.store.watches);
    LONGS_EQUAL(1, sender.store.lists);
}
