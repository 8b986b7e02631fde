#include "takeover/group_replica.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

constexpr std::uint64_t restoredEra = 2;

StoredItem writtenItem(const std::string &name, StoreVersion version, WriterCount written,
                       const std::string &text = "{}")
{
    return {name, {version, written}, text};
}

} // namespace

TEST_GROUP(GroupReplica)
{
    GroupReplica replica{ObjectGroup::Records};

    void list(std::uint64_t revision, std::uint64_t era, std::vector<StoredItem> items)
    {
        replica.applyList({storeVersion(revision, era), std::move(items)});
    }

    void change(std::uint64_t revision, std::uint64_t era, const StoredItem &item)
    {
        replica.applyChanges({storeVersion(revision, era), {{item, false}}});
    }

    void remove(std::uint64_t revision, std::uint64_t era, const std::string &name)
    {
        const StoredItem gone = storedItem(name, storeVersion(revision, era));
        replica.applyChanges({storeVersion(revision, era), {{gone, true}}});
    }

    std::uint64_t changeOf(const std::string &name)
    {
        const auto found = replica.items().find(name);
        return found == replica.items().end() ? 0 : found->second.version.written.change;
    }

    static GroupReplica restoredPeer(const std::vector<StoredItem> &items)
    {
        GroupReplica peer(ObjectGroup::Records);
        peer.applyList({storeVersion(6, restoredEra), items});
        return peer;
    }
};

// Guards against whole copies for the fleet after the store has dropped its history, and against
// objects that are kept although they were removed meanwhile.
TEST(GroupReplica, peersGetWholeCopiesAfterAList)
{
    list(5, 1, {storedItem("a", storeVersion(4)), storedItem("b", storeVersion(5))});
    GroupReplica peer = replica;
    list(9, 1, {storedItem("a", storeVersion(4)), storedItem("c", storeVersion(9))});
    CHECK_FALSE(replica.copyFor({storeVersion(7)}).since.has_value());
    const GroupCopy copy = replica.copyFor(peer.state());
    CHECK_TRUE(copy.since == storeVersion(5));
    LONGS_EQUAL(1, copy.items.size());
    peer.applyOwnChange(storedItem("d", storeVersion(8)));
    CHECK_TRUE(peer.applyCopy(copy));
    CHECK_TRUE(peer.items().size() == 2 && peer.items().count("b") + peer.items().count("d") == 0);
}

// Guards against a change that is never seen, because the store gave its revision out before it was
// restored from an older copy.
TEST(GroupReplica, changeUnderAReusedRevisionIsMissed)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5)});
    list(8, restoredEra, {storedItem("a", storeVersion(8, restoredEra), 5)});
    CHECK_TRUE(replica.version() == storeVersion(8, restoredEra));
    change(9, restoredEra, storedItem("a", storeVersion(9, restoredEra), 6));
    LONGS_EQUAL(6, changeOf("a"));
}

// Guards against a confirmed configuration that comes back older, until it is written again.
TEST(GroupReplica, objectInForceComesBackOlder)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5)});
    list(4, restoredEra, {storedItem("a", storeVersion(3, restoredEra), 2)});
    LONGS_EQUAL(5, changeOf("a"));
    CHECK_TRUE(replica.storedVersion("a") == storeVersion(3, restoredEra));
    change(5, restoredEra, storedItem("a", storeVersion(5, restoredEra), 4));
    LONGS_EQUAL(5, changeOf("a"));
    change(6, restoredEra, storedItem("a", storeVersion(6, restoredEra), 5));
    CHECK_TRUE(replica.carried().empty());
    CHECK_TRUE(replica.items().at("a").version.stored == storeVersion(6, restoredEra));
}

// Guards against an older state that comes back with the second of two losses.
TEST(GroupReplica, objectInForceComesBackOlderAfterTwoLosses)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5)});
    list(7, 2, {storedItem("a", storeVersion(3, 2), 2), storedItem("b", storeVersion(7, 2), 8)});
    list(5, 3, {storedItem("a", storeVersion(2, 3), 1)});
    LONGS_EQUAL(5, changeOf("a"));
    LONGS_EQUAL(8, changeOf("b"));
}

// Guards against an endpoint that gets new work again, because the store lost its report that it
// drains.
TEST(GroupReplica, lostReportOfAnEndpointIsForgotten)
{
    const WriterCount ready{17, 8};
    const WriterCount draining{17, 9};
    list(9, 1, {writtenItem("e", storeVersion(9, 1), draining, "draining")});
    list(4, restoredEra, {writtenItem("e", storeVersion(4, restoredEra), ready, "ready")});
    STRCMP_EQUAL("draining", replica.items().at("e").text.c_str());
    // Started again under its id: its count starts anew, and it does not drain.
    change(5, restoredEra, writtenItem("e", storeVersion(5, restoredEra), {30, 1}, "new"));
    STRCMP_EQUAL("new", replica.items().at("e").text.c_str());
}

// Guards against the use of an endpoint that has left, because the store lost its removal.
TEST(GroupReplica, removedObjectIsInUseAgain)
{
    list(4, 1, {storedItem("e", storeVersion(4, 1), 8)});
    remove(9, 1, "e");
    list(5, restoredEra, {storedItem("e", storeVersion(4, restoredEra), 8)});
    LONGS_EQUAL(0, replica.items().size());
    LONGS_EQUAL(1, replica.lostRemovals().size());
    change(6, restoredEra, storedItem("e", storeVersion(6, restoredEra), 8));
    LONGS_EQUAL(0, replica.items().size());
    change(7, restoredEra, storedItem("e", storeVersion(7, restoredEra), 9));
    LONGS_EQUAL(1, replica.items().size());
    LONGS_EQUAL(0, replica.lostRemovals().size());
}

// Guards against an object that stays out of use although it was created again with a count that
// starts anew.
TEST(GroupReplica, objectCreatedAgainCountsAsRemoved)
{
    list(4, 1, {storedItem("m", storeVersion(4, 1), 8)});
    remove(9, 1, "m");
    list(3, restoredEra, {});
    change(5, restoredEra, storedItem("m", storeVersion(5, restoredEra), 1));
    LONGS_EQUAL(1, changeOf("m"));
}

// Guards against a record that is lost with the store's last changes, and against endpoints that
// stay in use because the store lost their registration.
TEST(GroupReplica, lostEntryKeepsAnEndpointOrLosesARecord)
{
    GroupReplica endpoints(ObjectGroup::Endpoints);
    for (GroupReplica *kept : {&replica, &endpoints}) {
        kept->applyList({storeVersion(9), {storedItem("e", storeVersion(9), 3)}});
        kept->applyList({storeVersion(4, restoredEra), {}});
    }
    LONGS_EQUAL(1, replica.items().size());
    LONGS_EQUAL(0, endpoints.items().size());
}

// Guards against a peer's state of before the restore that counts as newer.
TEST(GroupReplica, peerBringsBackTheFormerEra)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5)});
    GroupReplica peer = replica;
    list(4, restoredEra, {});
    change(5, restoredEra, storedItem("a", storeVersion(5, restoredEra), 6));
    CHECK_FALSE(replica.isBehind(peer.state()));
    CHECK_FALSE(replica.applyCopy(peer.copyFor({})));
    LONGS_EQUAL(6, changeOf("a"));
    CHECK_TRUE(replica.isAheadOf(peer.state()));
    peer.applyCopy(replica.copyFor(peer.state()));
    CHECK_TRUE(peer.state() == replica.state());
}

// Guards against a daemon that was started after the loss and never learns what its peers kept.
TEST(GroupReplica, peerWithoutMemoryMissesWhatOthersKept)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5)});
    const std::vector<StoredItem> restored{storedItem("a", storeVersion(3, restoredEra), 2)};
    list(6, restoredEra, restored);
    GroupReplica peer = restoredPeer(restored);
    CHECK_TRUE(replica.isAheadOf(peer.state()));
    CHECK_TRUE(peer.isBehind(replica.state()));
    peer.applyCopy(replica.copyFor(peer.state()));
    LONGS_EQUAL(5, peer.items().at("a").version.written.change);
    CHECK_TRUE(peer.state() == replica.state());
    CHECK_FALSE(replica.isAheadOf(peer.state()));
}

// Guards against equal revisions of two eras that make a partial copy fit.
TEST(GroupReplica, partialCopyOfAnotherEraIsIgnored)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5)});
    GroupReplica peer = restoredPeer({storedItem("a", storeVersion(6, restoredEra), 6)});
    CHECK_FALSE(peer.copyFor(replica.state()).since.has_value());
    GroupCopy partial{ObjectGroup::Endpoints,
                      storeVersion(9, restoredEra),
                      storeVersion(9, restoredEra),
                      {},
                      {},
                      {}};
    CHECK_FALSE(replica.applyCopy(partial));
    CHECK_TRUE(replica.version() == storeVersion(9, 1));
}

// Guards against a confirmation or promise that counts although the peer knows more: one of the
// former era may hold an announcement that this replica has not seen.
TEST(GroupReplica, peerThatKnowsMoreOfTheFormerEraCountsAsCovered)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5)});
    list(4, restoredEra, {});
    CHECK_TRUE(replica.covers({storeVersion(9, 1), 0}));
    CHECK_FALSE(replica.covers({storeVersion(10, 1), 0}));
    CHECK_FALSE(replica.covers({storeVersion(9, 1), 77}));
    CHECK_FALSE(replica.covers({storeVersion(5, restoredEra), 0}));
    CHECK_TRUE(replica.covers({storeVersion(4, restoredEra), 77}));
}

// Guards against minority knowledge that outlives the recovery of the records.
TEST(GroupReplica, carriedObjectsReturnAfterTheyWereDropped)
{
    list(9, 1, {storedItem("a", storeVersion(9, 1), 5), storedItem("b", storeVersion(8, 1), 1)});
    GroupReplica peer = replica;
    const GroupSnapshot restored{storeVersion(4, restoredEra),
                                 {storedItem("a", storeVersion(3, restoredEra), 2)}};
    replica.applyList(restored);
    peer.applyList(restored);
    replica.dropCarried();
    LONGS_EQUAL(2, changeOf("a"));
    LONGS_EQUAL(1, replica.items().size());
    CHECK_FALSE(replica.applyCopy(peer.copyFor(replica.state())));
    LONGS_EQUAL(2, changeOf("a"));
}

// Guards against links that are filled with objects which a restore has not changed: one daemon
// sent 1.5 MB in half a second over a link of 10 Mbit/s.
TEST(GroupReplica, copyOfALaterEraRepeatsUnchangedObjects)
{
    const StoredItem same = storedItem("a", storeVersion(3, 1), 2);
    const StoredItem changed = storedItem("b", storeVersion(9, 1), 5);
    list(9, 1, {same, changed});
    GroupReplica peer = replica;
    list(6, restoredEra,
         {storedItem("a", storeVersion(3, restoredEra), 2),
          storedItem("b", storeVersion(6, restoredEra), 6)});
    const GroupCopy copy = replica.copyFor(peer.state());
    LONGS_EQUAL(1, copy.items.size());
    LONGS_EQUAL(1, copy.known.size());
    CHECK_TRUE(peer.applyCopy(copy));
    CHECK_TRUE(peer.state() == replica.state());
    LONGS_EQUAL(2, peer.items().size());
    CHECK_TRUE(peer.items().at("a").version.stored == storeVersion(3, restoredEra));
}

// Guards against a daemon that never enters an era, because it missed an object of the former one.
TEST(GroupReplica, peerThatMissedAnObjectStaysInTheFormerEra)
{
    list(2, 1, {});
    GroupReplica peer = replica;
    change(3, 1, storedItem("a", storeVersion(3, 1), 2));
    list(3, restoredEra, {storedItem("a", storeVersion(3, restoredEra), 2)});
    CHECK_FALSE(peer.applyCopy(replica.copyFor(peer.state())));
    CHECK_TRUE(peer.lacksKnownObject());
    CHECK_TRUE(peer.applyCopy(replica.copyFor(peer.state(), true)));
    CHECK_FALSE(peer.lacksKnownObject());
    LONGS_EQUAL(1, peer.items().size());
}
