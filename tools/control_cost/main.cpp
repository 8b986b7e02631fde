// Measures what one change of the configuration or of the members costs a daemon's control thread,
// with members and services that need no processes.

#include "base/log.h"
#include "configuration/configuration_store.h"
#include "daemon/routing_builder.h"
#include "membership/owner_table.h"

#include <cxxopts.hpp>

#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

using namespace pistachiowood;

namespace {

constexpr std::array<std::string_view, 6> zones{"a1", "a2", "b1", "b2", "c1", "c2"};

std::vector<MemberRecord> makeMembers(std::size_t count)
{
    std::vector<MemberRecord> members(count);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string_view zone = zones.at(i % zones.size());
        members[i].id = VmId("vm-" + std::to_string(i));
        members[i].zone = ZoneName(std::string(zone));
        members[i].region = RegionName(std::string(zone.substr(0, 1)));
        members[i].traffic = {"127.0.0.1", static_cast<std::uint16_t>(10000 + i)};
    }
    return members;
}

ObjectEvent makeEvent(ObjectKind kind, std::string name, std::string json, std::uint64_t version)
{
    return {false, {kind, std::move(name), ResourceVersion(version), "operation", std::move(json)}};
}

WatchAnswer makeConfiguration(std::size_t services)
{
    WatchAnswer answer;
    std::uint64_t version = 0;
    const auto add = [&](ObjectKind kind, std::string name, std::string json) {
        answer.events.push_back(makeEvent(kind, std::move(name), std::move(json), ++version));
    };
    add(ObjectKind::Team, "demo", "{}");
    for (std::size_t i = 0; i < services; ++i) {
        const std::string service = "service-" + std::to_string(i);
        add(ObjectKind::DatabaseService, service, R"({"team":"demo"})");
        for (std::size_t j = 0; j < 3; ++j) {
            const std::string zone(zones.at((i + 2 * j) % zones.size()));
            add(ObjectKind::Endpoint, service + "-" + std::to_string(j),
                R"({"service":")" + service + R"(","address":"127.0.0.1:)"
                    + std::to_string(20000 + j) + R"(","zone":")" + zone + R"(","region":")"
                    + zone.substr(0, 1) + R"(","slots":5,"connections":30,"labels":{"zone":")"
                    + zone + R"("}})");
        }
    }
    answer.version = ResourceVersion(version);
    return answer;
}

template <typename Work>
double measure(int repeats, Work &&work)
{
    const std::clock_t start = std::clock();
    for (int i = 0; i < repeats; ++i)
        work(i);
    return 1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / repeats;
}

void run(std::size_t memberCount, std::size_t services, int repeats)
{
    auto members = makeMembers(memberCount);
    ConfigurationStore store;
    store.applyEvents(ResourceVersion(), makeConfiguration(services));
    OwnerTable owners;
    owners.update(members);
    RoutingBuilder builder;
    auto table = builder.build(store.view(), members, owners);
    std::uint64_t version = store.version().value();
    const double publish = measure(repeats, [&](int i) {
        WatchAnswer change;
        change.events.push_back(
            makeEvent(ObjectKind::DatabaseService, "service-0",
                      R"({"team":"demo","weight":)" + std::to_string(i + 1) + "}", ++version));
        change.version = ResourceVersion(version);
        store.applyEvents(store.version(), change);
    });
    const double rebuild =
        measure(repeats, [&](int) { table = builder.build(store.view(), members, owners); });
    const double roster = measure(repeats, [&](int i) {
        members.back().state = i % 2 == 0 ? MemberState::Dead : MemberState::Alive;
        owners.update(members);
        for (const auto &[name, service] : store.view()->services)
            owners.responsibleDaemons(name);
        table = builder.build(store.view(), members, owners);
    });
    std::cout << memberCount << " members, " << services << " services, CPU ms: configuration view "
              << publish << ", routing table after a change " << rebuild
              << ", owners and table after a change of members " << roster << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("control_cost", "CPU time of one change on the control thread.");
    options.add_options()(
        "members", "Members",
        cxxopts::value<std::vector<std::size_t>>()->default_value("6,100,400,800"))(
        "services", "Services with 3 endpoints each",
        cxxopts::value<std::vector<std::size_t>>()->default_value("100,500,1900"))(
        "repeats", "Runs per point", cxxopts::value<int>()->default_value("10"));
    initializeLogging(Severity::Error);
    const auto flags = options.parse(argc, argv);
    for (const std::size_t members : flags["members"].as<std::vector<std::size_t>>()) {
        for (const std::size_t services : flags["services"].as<std::vector<std::size_t>>())
            run(members, services, flags["repeats"].as<int>());
    }
    return 0;
}
