#include "daemon/routing_builder.h"

#include <utility>

namespace pistachiowood {

namespace {

Selector parseSelector(const std::string &text)
{
    // Always valid: the object codec rejects objects with invalid selectors.
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

// Returns true when both maps have the same object, or none, under the key.
template <typename Map, typename Key>
bool hasSameEntry(const Map &before, const Map &after, const Key &key)
{
    const auto old = before.find(key);
    const auto current = after.find(key);
    if (old == before.end() || current == after.end())
        return (old == before.end()) == (current == after.end());
    return old->second == current->second;
}

} // namespace

std::shared_ptr<const ServiceRoutes> RoutingBuilder::findUnchanged(const ConfigurationView &view,
                                                                   const ServiceSpec &service,
                                                                   const RoutingTable &next,
                                                                   bool ownersChanged,
                                                                   OwnerTable &owners) const
{
    if (!previousTable_ || !hasSameEntry(previousView_->services, view.services, service.name)
        || !hasSameEntry(previousView_->endpointsByService, view.endpointsByService, service.name)
        || !hasSameEntry(previousView_->statuses, view.statuses, service.name)
        || !hasSameEntry(previousView_->teams, view.teams, service.team))
        return nullptr;
    auto routes = previousTable_->findService(service.name);
    if (!routes || !ownersChanged)
        return routes;
    for (const EndpointRoute &route : routes->endpoints) {
        const auto owner = owners.endpointOwner(route.spec);
        const auto address = owner ? next.daemons.find(*owner) : next.daemons.end();
        const bool isOwned = address != next.daemons.end();
        if (route.owner != (isOwned ? *owner : VmId())
            || (isOwned && route.ownerAddress != address->second))
            return nullptr;
    }
    return routes;
}

std::shared_ptr<const RoutingTable>
RoutingBuilder::build(std::shared_ptr<const ConfigurationView> view,
                      const std::vector<MemberRecord> &members, OwnerTable &owners)
{
    auto table = std::make_shared<RoutingTable>();
    table->version = view->version;
    for (const MemberRecord &member : members) {
        // Includes leaving daemons, which still finish their open transactions.
        if (member.state != MemberState::Dead)
            table->daemons.emplace(member.id, member.traffic);
    }
    const bool ownersChanged = !previousTable_ || previousOwnersVersion_ != owners.version()
                               || previousTable_->daemons != table->daemons;
    for (const auto &[name, service] : view->services) {
        auto routes = findUnchanged(*view, *service, *table, ownersChanged, owners);
        if (!routes)
            routes = buildService(*view, *service, table->daemons, owners);
        table->services.emplace_hint(table->services.end(), name, std::move(routes));
    }
    previousView_ = std::move(view);
    previousTable_ = table;
    previousOwnersVersion_ = owners.version();
    return table;
}

} // namespace pistachiowood
