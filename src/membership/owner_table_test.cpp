#include "base/random.h"
#include "membership/owner_table.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

MemberRecord member(int index, const char *zone, const char *region)
{
    MemberRecord result;
    result.id = VmId("vm" + std::to_string(index));
    result.zone = ZoneName(zone);
    result.region = RegionName(region);
    return result;
}

std::vector<MemberRecord> sixMembers()
{
    return {member(0, "z1", "r1"), member(1, "z1", "r1"), member(2, "z2", "r1"),
            member(3, "z2", "r1"), member(4, "z3", "r2"), member(5, "z3", "r2")};
}

EndpointSpec endpoint(const char *zone, const char *region)
{
    EndpointSpec result;
    result.id = EndpointId("e1");
    result.zone = ZoneName(zone);
    result.region = RegionName(region);
    return result;
}

} // namespace

TEST_GROUP(OwnerTable)
{
    OwnerTable table;
    std::vector<MemberRecord> members = sixMembers();

    std::string zoneOfOwner(const EndpointSpec &spec)
    {
        const auto owner = table.endpointOwner(spec);
        for (const MemberRecord &record : members) {
            if (owner && record.id == *owner)
                return record.zone.value();
        }
        return "";
    }
};

// Guards against an endpoint without an owner, or with one farther away than needed, when its zone
// has no eligible daemon.
TEST(OwnerTable, ownerFallsBackFromZoneToRegionToAny)
{
    CHECK_FALSE(table.endpointOwner(endpoint("z1", "r1")).has_value());
    table.update(members);
    STRCMP_EQUAL("z1", zoneOfOwner(endpoint("z1", "r1")).c_str());
    members[0].state = MemberState::Dead;
    members[1].state = MemberState::Leaving;
    table.update(members);
    STRCMP_EQUAL("z2", zoneOfOwner(endpoint("z1", "r1")).c_str());
    members[2].state = members[3].state = MemberState::Dead;
    table.update(members);
    STRCMP_EQUAL("z3", zoneOfOwner(endpoint("z1", "r1")).c_str());
}

// Guards against endpoints that change their owner on every suspicion.
TEST(OwnerTable, suspicionMovesNoEndpoint)
{
    table.update(members);
    const auto before = table.endpointOwner(endpoint("z1", "r1"));
    for (MemberRecord &record : members)
        record.state = MemberState::Suspect;
    table.update(members);
    CHECK_TRUE(before == table.endpointOwner(endpoint("z1", "r1")));
}

// Guards against a zone without a responsible daemon, and against rank 0 always in the same zone.
TEST(OwnerTable, everyZoneHasOneResponsibleDaemonAndRanksSpread)
{
    table.update(members);
    std::set<std::string> firstZones;
    for (int index = 0; index < 40; ++index) {
        const auto &daemons = table.responsibleDaemons(ServiceName("s" + std::to_string(index)));
        std::set<std::string> zones;
        for (const VmId &id : daemons)
            zones.insert(members.at(id.value().back() - '0').zone.value());
        CHECK_EQUAL(3U, daemons.size());
        CHECK_EQUAL(3U, zones.size());
        firstZones.insert(members.at(daemons[0].value().back() - '0').zone.value());
    }
    CHECK_EQUAL(3U, firstZones.size());
}

// Guards against a number of responsible daemons that grows with the number of zones, and against
// responsible daemons that are all in one region.
TEST(OwnerTable, threeOfSixZonesAreResponsibleInThreeRegions)
{
    members.push_back(member(6, "z4", "r2"));
    members.push_back(member(7, "z5", "r3"));
    members.push_back(member(8, "z6", "r3"));
    table.update(members);
    for (int index = 0; index < 40; ++index) {
        std::set<std::string> regions;
        const auto &daemons = table.responsibleDaemons(ServiceName("s" + std::to_string(index)));
        for (const VmId &id : daemons)
            regions.insert(members.at(id.value().back() - '0').region.value());
        CHECK_EQUAL(3U, daemons.size());
        CHECK_EQUAL(3U, regions.size());
    }
}

// Guards against cached results that differ from those of a daemon that has just started.
TEST(OwnerTable, changesGiveTheSameResultAsANewTable)
{
    const std::array<const char *, 4> zones{"z1", "z2", "z3", "z4"};
    const std::array<const char *, 4> regions{"r1", "r1", "r2", "r3"};
    SeededRandom random(7);
    std::map<int, MemberRecord> live;
    for (int step = 0; step < 300; ++step) {
        for (std::uint64_t change = 0; change <= random.below(3); ++change) {
            const int index = static_cast<int>(random.below(12));
            if (live.erase(index) == 0)
                live[index] = member(index, zones.at(index % 4U), regions.at(index % 4U));
        }
        std::vector<MemberRecord> current;
        for (const auto &[index, record] : live)
            current.push_back(record);
        OwnerTable fresh;
        fresh.update(current);
        table.update(current);
        for (int index = 0; index < 30; ++index) {
            EndpointSpec spec = endpoint(zones.at(index % 4U), regions.at(index % 4U));
            spec.id = EndpointId("e" + std::to_string(index));
            CHECK_TRUE(fresh.endpointOwner(spec) == table.endpointOwner(spec));
            const ServiceName service("s" + std::to_string(index));
            CHECK_TRUE(fresh.responsibleDaemons(service) == table.responsibleDaemons(service));
        }
    }
}
