#include "takeover/fleet_members.h"
#include "takeover/primary_permission.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(FleetMembers)
{
    FleetSettings settings{.vm = VmId("self"), .zone = ZoneName("z"), .region = RegionName("r")};
    FleetMembers members{settings};
    std::map<VmId, DaemonRecord> present;
    std::map<VmId, DaemonRecord> removed;
    TimePoint now{std::chrono::hours(1)};

    void add(const std::string &name, const std::string &zone = "z")
    {
        const VmId vm(name);
        present[vm] = {vm, RegionName("r"), ZoneName(zone), {"127.0.0.1", 9}};
    }

    void update()
    {
        members.update(present, removed, true, now);
    }

    // Updates the members and lets the longest lifetime of a permission pass.
    void updateAndPassLongestLifetime()
    {
        update();
        now += PrimaryPermission::longestLifetime;
    }

    bool otherDaemonsMakeHalf(const std::set<std::string> &meeting)
    {
        return members.halfMeet(
            true, [&](const VmId &vm) { return meeting.count(vm.value()) > 0; }, now);
    }
};

// Guards against a replacement while a majority of the daemons, counting removed ones, can still
// renew their permissions by promises.
TEST(FleetMembers, halfCountsRemovedDaemons)
{
    for (const auto *name : {"a", "b", "c"})
        add(name);
    updateAndPassLongestLifetime();
    CHECK_FALSE(otherDaemonsMakeHalf({}));
    CHECK_TRUE(otherDaemonsMakeHalf({"a"}));
    removed[VmId("c")] = present[VmId("c")];
    present.erase(VmId("c"));
    update();
    CHECK_TRUE(otherDaemonsMakeHalf({"a"}));
    CHECK_FALSE(otherDaemonsMakeHalf({}));
    CHECK_FALSE(members.allMeet([](const VmId &) { return true; }));
}

// Guards against counting daemons that the other half of the fleet does not know yet.
TEST(FleetMembers, halfIgnoresNewDaemons)
{
    for (const auto *name : {"a", "b", "c"})
        add(name);
    updateAndPassLongestLifetime();
    add("new");
    update();
    CHECK_FALSE(otherDaemonsMakeHalf({"new"}));
    CHECK_FALSE(otherDaemonsMakeHalf({"a", "new"}));
    now += PrimaryPermission::longestLifetime;
    CHECK_TRUE(otherDaemonsMakeHalf({"a", "new"}));
}

// Guards against a daemon that counts members although it can't know which ones were removed before
// its start.
TEST(FleetMembers, halfIsNotMetBeforeMembersAreEstablished)
{
    add("a");
    update();
    CHECK_FALSE(otherDaemonsMakeHalf({"a"}));
    CHECK_TRUE(members.allMeet([](const VmId &) { return true; }));
}

// Guards against deletion of a removed daemon's record while its permission may be in force.
TEST(FleetMembers, removedDaemonExpiresOnceAfterTheLongestPermission)
{
    removed[VmId("gone")] = {VmId("gone"), RegionName("r"), ZoneName("z"), {"127.0.0.1", 9}, true};
    update();
    CHECK_TRUE(members.takeExpired(now + PrimaryPermission::longestLifetime - 1ms).empty());
    LONGS_EQUAL(1, members.takeExpired(now + PrimaryPermission::longestLifetime).size());
    CHECK_TRUE(members.takeExpired(now + PrimaryPermission::longestLifetime).empty());
}

// Guards against confirmers that are all in one zone, so that most requests to them cross zones.
TEST(FleetMembers, confirmersAreSpreadOverZones)
{
    for (int i = 0; i < 30; ++i)
        add("vm-" + std::to_string(i), i % 2 == 0 ? "z" : "y");
    update();
    LONGS_EQUAL(2, members.confirmers().size());
    const auto zoneOf = [&](const VmId &vm) {
        return vm == settings.vm ? settings.zone : present.at(vm).zone;
    };
    CHECK_FALSE(zoneOf(members.confirmers().at(0)) == zoneOf(members.confirmers().at(1)));
    CHECK_TRUE(zoneOf(members.confirmers().at(members.nearestConfirmer())) == settings.zone);
}
