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
        waiting = std::move(callback);
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

    void answer(GroupChanges changes) { std::exchange(waiting, nullptr)(std::move(changes)); }

    GroupSnapshot listed;
    Callback<GroupChanges> waiting;
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
    struct Side
    {
        ScriptedStore store;
        std::unique_ptr<GroupFeed> feed;
        unsigned changes = 0;
    };
    EventLoop loop;
    BootClock clock;
    SeededRandom random{3};
    Side left;
    Side right;

    void start(Side & side, GroupSnapshot listed)
    {
        side.store.listed = std::move(listed);
        side.feed = std::make_unique<GroupFeed>(
            loop, clock, random, side.store, ObjectGroup::Endpoints, 20s,
            GroupFeed::Handlers{[&side] { ++side.changes; }, [](TimePoint) {}});
        side.feed->start();
    }

    GroupCopy passOn()
    {
        const GroupCopy copy = left.feed->copyFor(right.feed->contentVersion());
        right.feed->takeCopy(copy);
        return copy;
    }
};

// Guards against sending the whole group at each change: one scale run sent 83 MB between regions.
TEST(GroupFeed, copyHoldsOnlyWhatThePeerLacks)
{
    start(left, {ResourceVersion(10), {item("a", 3), item("b", 4), item("c", 5)}});
    start(right, {ResourceVersion(10), {item("a", 3), item("b", 4), item("c", 5)}});
    left.store.answer({ResourceVersion(12), {{item("b", 11), false}, {item("c", 12), true}}});
    const GroupCopy copy = passOn();
    CHECK_TRUE(copy.since == ResourceVersion(10));
    LONGS_EQUAL(1, copy.items.size());
    LONGS_EQUAL(1, copy.removed.size());
    LONGS_EQUAL(2, right.feed->items().size());
    LONGS_EQUAL(11, right.feed->items().at("b").version.value());
    CHECK_TRUE(right.feed->contentVersion() == left.feed->contentVersion());
}

// Guards against an object that stays in a peer's copy because the sender does not know that it was
// removed.
TEST(GroupFeed, peerOlderThanTheFirstListGetsEverything)
{
    start(right, {ResourceVersion(6), {item("a", 3), item("gone", 5)}});
    start(left, {ResourceVersion(10), {item("a", 3)}});
    CHECK_FALSE(passOn().since.has_value());
    LONGS_EQUAL(1, right.feed->items().size());
}

// Guards against a partial copy that is applied to an older version than the one it builds on.
TEST(GroupFeed, partialCopyForANewerStateIsLeftOut)
{
    start(right, {ResourceVersion(6), {item("a", 3)}});
    GroupCopy copy{ObjectGroup::Endpoints, ResourceVersion(12), ResourceVersion(8), {}, {}};
    copy.items.push_back(item("b", 11));
    right.feed->takeCopy(copy);
    LONGS_EQUAL(1, right.feed->items().size());
    LONGS_EQUAL(6, right.feed->contentVersion().value());
}

// Guards against equal content under different content versions: the peer's confirmations would not
// count, and it would request copies for ever.
TEST(GroupFeed, equalContentTakesTheNewerVersion)
{
    start(left, {ResourceVersion(10), {item("a", 3)}});
    start(right, {ResourceVersion(10), {item("a", 3)}});
    left.store.answer({ResourceVersion(13), {{item("a", 11), false}}});
    right.store.answer({ResourceVersion(11), {{item("a", 11), false}}});
    right.store.answer({ResourceVersion(20), {}});
    const unsigned changes = right.changes;
    passOn();
    LONGS_EQUAL(13, right.feed->contentVersion().value());
    LONGS_EQUAL(changes, right.changes);
}

// Guards against the loss of a change that this daemon made after the peer's copy.
TEST(GroupFeed, wholeCopyKeepsNewerOwnChanges)
{
    start(right, {ResourceVersion(6), {item("a", 3)}});
    right.feed->takeOwnChange(item("own", 15));
    right.feed->takeCopy({ObjectGroup::Endpoints, ResourceVersion(12), {}, {item("a", 9)}, {}});
    LONGS_EQUAL(2, right.feed->items().size());
    LONGS_EQUAL(9, right.feed->items().at("a").version.value());
}

// Guards against store calls while watching is switched off, and against watches that do not resume
// when it is switched on.
TEST(GroupFeed, watchesOnlyWhileItIsAskedTo)
{
    start(left, {ResourceVersion(6), {}});
    left.feed->setWatching(false);
    LONGS_EQUAL(1, left.store.watches);
    left.store.answer({ResourceVersion(7), {}});
    LONGS_EQUAL(1, left.store.watches);
    left.feed->setWatching(true);
    left.feed->setWatching(true);
    LONGS_EQUAL(2, left.store.watches);
    LONGS_EQUAL(1, left.store.lists);
}
