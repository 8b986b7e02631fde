#include "daemon/routing_builder.h"

#include <utility>

namespace pistachiowood {

namespace {

Selector parseSelector(const std::string &text)
{
    // The codec has rejected objects with invalid selectors before they came into force.
    auto parsed = capture([&] { return Selector::parse(text); });
    return std::holds_alternative<Selector>(parsed) ? std::get<Selector>(std::move(parsed))
                                                    : Selector();
}

std::uint32_t teamWeight(const ConfigurationView &view, const TeamName &team)
{
    const auto found = view.teams.find(team);
    return found == view.teams.end() ? 1 : found->second->weight;
}

EndpointRoute buildRoute(const EndpointSpec &endpoint, const std::map<VmId, SocketAddress> &daemons,
                         OwnerTable &owners)
{
    EndpointRoute route;
    route.spec = endpoint;
    const auto owner = owners.endpointOwner(endpoint);
    if (!owner)
        return route;
    if (const auto address = daemons.find(*owner); address != daemons.end()) {
        route.owner = *owner;
        route.ownerAddress = address->second;
    }
    return route;
}

std::shared_ptr<const ServiceRoutes> buildService(const ConfigurationView &view,
                                                  const ServiceSpec &service,
                                                  const std::map<VmId, SocketAddress> &daemons,
                                                  OwnerTable &owners)
{
    auto routes = std::make_shared<ServiceRoutes>();
    routes->spec = service;
    routes->teamWeight = teamWeight(view, service.team) * service.weight;
    for (const ReadRule &rule : service.readRules)
        routes->readPolicies.push_back({parseSelector(rule.sessionSelector),
                                        parseSelector(rule.endpointSelector), rule.defaultMaxAge});
    if (const auto status = view.statuses.find(service.name); status != view.statuses.end()) {
        routes->term = status->second->term;
        routes->primary = status->second->primary;
        routes->history = TermHistory(status->second->history);
    }
    if (const auto group = view.endpointsByService.find(service.name);
        group != view.endpointsByService.end()) {
        for (const auto &endpoint : group->second)
            routes->endpoints.push_back(buildRoute(*endpoint, daemons, owners));
    }
    return routes;
}

} // namespace

std::shared_ptr<const RoutingTable> buildRoutingTable(const ConfigurationView &view,
                                                      const std::vector<MemberRecord> &members,
                                                      OwnerTable &owners)
{
    auto table = std::make_shared<RoutingTable>();
    table->version = view.version;
    for (const MemberRecord &member : members) {
        // A leaving daemon still finishes the transactions that it holds.
        if (member.state != MemberState::Dead)
            table->daemons.emplace(member.id, member.traffic);
    }
    for (const auto &[name, service] : view.services)
        table->services.emplace(name, buildService(view, *service, table->daemons, owners));
    return table;
}

} // namespace pistachiowood
