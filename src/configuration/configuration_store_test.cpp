#include "configuration/configuration_store.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

StoredObject team(const std::string &name, std::uint64_t version, unsigned weight = 1)
{
    return {ObjectKind::Team, name, ResourceVersion(version), "op" + std::to_string(version),
            R"({"weight":)" + std::to_string(weight) + "}"};
}

StoredObject service(std::uint64_t version)
{
    return {ObjectKind::DatabaseService, "s", ResourceVersion(version), "", R"({"team":"t"})"};
}

StoredObject status(std::uint64_t version, unsigned term)
{
    return {ObjectKind::ServiceStatus, "s", ResourceVersion(version), "",
            R"({"primary":"e","term":)" + std::to_string(term) + "}"};
}

ConfigurationSnapshot snapshot(std::uint64_t version, std::vector<StoredObject> items)
{
    return {ResourceVersion(version), std::move(items)};
}

WatchAnswer answer(std::uint64_t version, std::vector<ObjectEvent> events)
{
    return {ResourceVersion(version), std::move(events)};
}

} // namespace

TEST_GROUP(ConfigurationStore)
{
    ConfigurationStore store;

    unsigned weight(const char *name) const
    {
        const auto &teams = store.view()->teams;
        const auto found = teams.find(TeamName(name));
        return found == teams.end() ? 0 : found->second->weight;
    }
};

// Guards against a stale list, watch answer or peer copy that reverts an accepted change.
TEST(ConfigurationStore, olderInputIsRefused)
{
    CHECK_TRUE(store.applyList(snapshot(10, {team("a", 9, 2)})));
    CHECK_FALSE(store.applyList(snapshot(9, {team("a", 8, 1)})));
    CHECK_FALSE(store.applyFromPeer(snapshot(9, {})));
    CHECK_FALSE(store.applyEvents(ResourceVersion(8), answer(9, {{true, team("a", 9)}})));
    CHECK_TRUE(store.applyList(snapshot(11, {team("a", 8, 1)})));
    CHECK_EQUAL(2U, weight("a"));
    CHECK_EQUAL(11U, store.version().value());
}

// Guards against a watch answer that skips changes but advances the version.
TEST(ConfigurationStore, answerThatBeginsAboveTheAppliedVersionIsRefused)
{
    store.applyList(snapshot(10, {team("a", 9)}));
    CHECK_FALSE(store.applyEvents(ResourceVersion(12), answer(13, {{false, team("b", 13)}})));
    CHECK_EQUAL(0U, weight("b"));
}

// Guards against an old copy that restores a deleted object.
TEST(ConfigurationStore, deletedObjectStaysDeleted)
{
    store.applyList(snapshot(10, {team("a", 9), team("b", 8)}));
    store.applyEvents(ResourceVersion(10),
                      answer(12, {{true, team("a", 12)}, {false, team("a", 11)}}));
    store.applyList(snapshot(13, {team("a", 11)}));
    store.applyFromPeer(snapshot(14, {team("a", 11), team("b", 8)}));
    store.applyEvents(ResourceVersion(9), answer(14, {{false, team("c", 10)}}));
    CHECK_TRUE(store.view()->teams.empty());
    CHECK_TRUE(store.applyEvents(ResourceVersion(14), answer(15, {{false, team("a", 15, 3)}})));
    CHECK_EQUAL(3U, weight("a"));
}

// Guards against an unlimited number of tombstones, and an old copy that restores an object whose
// tombstone was dropped.
TEST(ConfigurationStore, objectsOlderThanDroppedTombstonesAreRefused)
{
    std::vector<ObjectEvent> events;
    std::uint64_t version = 10;
    for (std::size_t index = 0; index < maxTombstones + 10; ++index)
        events.push_back({true, team("t" + std::to_string(index), ++version)});
    store.applyEvents(ResourceVersion(0), answer(version, events));
    store.applyList(snapshot(version + 1, {team("t0", 5), team("t9", 15), team("new", version)}));
    CHECK_EQUAL(1U, store.view()->teams.size());
}

// Guards against an invalid version of an object that replaces the valid one.
TEST(ConfigurationStore, invalidObjectDoesNotReplaceTheValidOne)
{
    store.applyList(snapshot(10, {team("a", 9, 2)}));
    store.applyEvents(ResourceVersion(10), answer(11, {{false, team("a", 11, 0)}}));
    CHECK_EQUAL(2U, weight("a"));
    CHECK_EQUAL(1U, store.invalidObjects().count({ObjectKind::Team, "a"}));
    store.applyEvents(ResourceVersion(11), answer(12, {{false, team("a", 12, 4)}}));
    CHECK_EQUAL(4U, weight("a"));
    CHECK_TRUE(store.invalidObjects().empty());
}

// Guards against a status from the platform that replaces a newer one received by gossip.
TEST(ConfigurationStore, statusIsOrderedByTerm)
{
    store.applyList(snapshot(10, {service(7), status(9, 3)}));
    CHECK_EQUAL(9U, store.statusBaseVersion("s").value());
    CHECK_EQUAL(1U, store.applyStatuses({status(9, 5)}));
    CHECK_EQUAL(0U, store.applyStatuses({status(20, 4)}));
    const std::uint64_t digest = store.statusDigest();
    store.applyList(snapshot(12, {service(7), status(12, 3)}));
    store.applyList(snapshot(13, {service(7)}));
    CHECK_EQUAL(5U, store.view()->statuses.at(ServiceName("s"))->term.value());
    store.applyEvents(ResourceVersion(13), answer(14, {{false, status(14, 5)}}));
    CHECK_TRUE(digest == store.statusDigest());
}

// Guards against the status of a deleted service that blocks a new service of the same name.
TEST(ConfigurationStore, statusIsRemovedWithItsService)
{
    store.applyList(snapshot(10, {service(7), status(9, 3)}));
    store.applyEvents(ResourceVersion(10), answer(11, {{true, service(11)}}));
    CHECK_TRUE(store.view()->statuses.empty());
    CHECK_EQUAL(0U, store.applyStatuses({status(9, 8)}));
    store.applyEvents(ResourceVersion(11), answer(12, {{false, service(12)}}));
    CHECK_EQUAL(0U, store.applyStatuses({status(9, 8)}));
    CHECK_EQUAL(1U, store.applyStatuses({status(12, 1)}));
}

// Guards against different digests on daemons with the same objects, which would keep exchanging
// them.
TEST(ConfigurationStore, digestIgnoresTheOrderOfArrival)
{
    ConfigurationStore other;
    store.applyList(snapshot(10, {team("a", 9), team("b", 8)}));
    other.applyEvents(ResourceVersion(0),
                      answer(10, {{false, team("b", 8)}, {false, team("a", 9)}}));
    CHECK_TRUE(store.digest() == other.digest());
    other.applyEvents(ResourceVersion(10), answer(11, {{false, team("a", 11)}}));
    CHECK_FALSE(store.digest() == other.digest());
}
