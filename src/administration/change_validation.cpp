#include "administration/change_validation.h"

#include "base/address.h"
#include "base/json.h"
#include "configuration/selector.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace pistachiowood {

namespace json = boost::json;

namespace {

// Endpoints of one service.
using Group = std::vector<EndpointSpec>;

boost::leaf::error_id refuse(std::string reason)
{
    return makeError(ErrorCode::InvalidArgument, std::move(reason));
}

std::string quote(const std::string &text)
{
    return "\"" + text + "\"";
}

Group findGroup(const ConfigurationView &view, const ServiceName &service)
{
    Group group;
    if (const auto found = view.endpointsByService.find(service);
        found != view.endpointsByService.end()) {
        for (const auto &endpoint : found->second)
            group.push_back(*endpoint);
    }
    return group;
}

std::shared_ptr<const EndpointSpec> findEndpoint(const ConfigurationView &view,
                                                 const EndpointId &id)
{
    for (const auto &[service, group] : view.endpointsByService) {
        for (const auto &endpoint : group) {
            if (endpoint->id == id)
                return endpoint;
        }
    }
    return nullptr;
}

std::size_t countMatches(const std::string &selector, const Group &group, bool includeLeaving)
{
    const auto parsed = capture([&] { return Selector::parse(selector); });
    const auto *parsedSelector = std::get_if<Selector>(&parsed);
    return static_cast<std::size_t>(
        std::count_if(group.begin(), group.end(), [&](const EndpointSpec &endpoint) {
            return parsedSelector && parsedSelector->matches(endpoint.labels)
                   && (includeLeaving || !endpoint.leaving);
        }));
}

/// Error messages by the selector that they concern.
using SelectorErrors = std::map<std::string, std::string>;

constexpr const char *primarySelectorKey = "primary";

/// Finds selectors of a service that match no usable endpoint of its group. An empty group has no
/// errors, because a service is created before its endpoints.
SelectorErrors findSelectorErrors(const ServiceSpec &service, const Group &group)
{
    SelectorErrors errors;
    if (group.empty())
        return errors;
    const std::string name = quote(service.name.value());
    for (const ReadRule &rule : service.readRules) {
        if (countMatches(rule.endpointSelector, group, true) == 0)
            errors.emplace("read rule " + rule.endpointSelector,
                           "the endpoint selector " + quote(rule.endpointSelector)
                               + " of a read rule matches no endpoint of service " + name);
    }
    if (countMatches(service.primarySelector, group, true) == 0)
        errors.emplace(primarySelectorKey, "the primary selector " + quote(service.primarySelector)
                                               + " matches no endpoint of service " + name);
    else if (countMatches(service.primarySelector, group, false) == 0)
        errors.emplace(primarySelectorKey,
                       "service " + name
                           + " would have no primary candidate: every endpoint that the primary "
                             "selector matches is leaving");
    return errors;
}

Result<void> checkTeamExists(const ConfigurationView &view, const TeamName &team)
{
    if (!view.teams.contains(team))
        return refuse("team " + quote(team.value()) + " does not exist");
    return {};
}

/// Refuses a change of one endpoint that causes a selector error in the service's group. Errors
/// that exist before the change do not block it.
Result<void> checkGroupChange(const ConfigurationView &view, const ServiceName &name,
                              const EndpointId &changed, const EndpointSpec *proposed)
{
    const auto service = view.services.find(name);
    if (service == view.services.end())
        return {};
    const Group before = findGroup(view, name);
    if (before.empty())
        return {};
    Group after = before;
    std::erase_if(after, [&](const EndpointSpec &member) { return member.id == changed; });
    if (proposed)
        after.push_back(*proposed);
    const auto existing = findSelectorErrors(*service->second, before);
    for (const auto &[selector, reason] : findSelectorErrors(*service->second, after)) {
        if (!existing.contains(selector))
            return refuse(reason);
    }
    return {};
}

Result<void> checkEndpoint(const ConfigurationView &view, const EndpointSpec &endpoint,
                           const ValidationLimits &limits)
{
    if (!view.services.contains(endpoint.service))
        return refuse("service " + quote(endpoint.service.value()) + " does not exist");
    if (endpoint.slots > endpoint.connections)
        return refuse("slots (" + std::to_string(endpoint.slots) + ") exceed connections ("
                      + std::to_string(endpoint.connections) + ")");
    if (limits.reservedConnections > endpoint.connections)
        return refuse("connections (" + std::to_string(endpoint.connections)
                      + ") are fewer than the " + std::to_string(limits.reservedConnections)
                      + " that are reserved for daemons that do not own the endpoint");
    for (const auto &[service, group] : view.endpointsByService) {
        for (const auto &other : group) {
            if (other->id != endpoint.id && other->address == endpoint.address)
                return refuse("address " + formatAddress(endpoint.address)
                              + " is already used by endpoint " + quote(other->id.value()));
        }
    }
    return {};
}

Result<void> validateEndpoint(const ConfigurationView &view, const ProposedChange &change,
                              const ValidationLimits &limits)
{
    const EndpointId id(change.name);
    const auto *proposed = change.proposed ? std::get_if<EndpointSpec>(&*change.proposed) : nullptr;
    if (proposed)
        BOOST_LEAF_CHECK(checkEndpoint(view, *proposed, limits));
    const auto stored = findEndpoint(view, id);
    if (stored && (!proposed || stored->service != proposed->service))
        BOOST_LEAF_CHECK(checkGroupChange(view, stored->service, id, nullptr));
    if (proposed)
        BOOST_LEAF_CHECK(checkGroupChange(view, proposed->service, id, proposed));
    return {};
}

Result<void> validateService(const ConfigurationView &view, const ProposedChange &change,
                             const ValidationLimits &)
{
    const Group group = findGroup(view, ServiceName(change.name));
    if (!change.proposed) {
        if (!group.empty())
            return refuse("service " + quote(change.name) + " still has "
                          + std::to_string(group.size()) + " endpoints; delete them first");
        return {};
    }
    const auto &service = std::get<ServiceSpec>(*change.proposed);
    BOOST_LEAF_CHECK(checkTeamExists(view, service.team));
    if (const auto errors = findSelectorErrors(service, group); !errors.empty())
        return refuse(errors.begin()->second);
    return {};
}

Result<void> validateProxy(const ConfigurationView &view, const ProposedChange &change,
                           const ValidationLimits &)
{
    if (change.proposed)
        return checkTeamExists(view, std::get<ProxySpec>(*change.proposed).team);
    return {};
}

Result<void> validateTeam(const ConfigurationView &view, const ProposedChange &change,
                          const ValidationLimits &)
{
    if (change.proposed)
        return {};
    const TeamName team(change.name);
    const auto belongs = [&team](const auto &item) { return item.second->team == team; };
    if (std::any_of(view.services.begin(), view.services.end(), belongs)
        || std::any_of(view.proxies.begin(), view.proxies.end(), belongs))
        return refuse("team " + quote(change.name) + " still has services or proxies");
    return {};
}

Result<void> refuseStatusChange(const ConfigurationView &, const ProposedChange &,
                                const ValidationLimits &)
{
    return refuse("a ServiceStatus is written by promotion and cannot be changed here");
}

/// Adds each leaf value by its path, such as "read_rules[0].endpoint_selector"; empty containers
/// add nothing.
void flatten(const json::value &value, const std::string &path,
             std::map<std::string, std::string> &lines)
{
    if (const auto *object = value.if_object()) {
        for (const auto &field : *object)
            flatten(field.value(),
                    path.empty() ? std::string(field.key()) : path + "." + std::string(field.key()),
                    lines);
    } else if (const auto *array = value.if_array()) {
        for (std::size_t index = 0; index < array->size(); ++index)
            flatten((*array)[index], path + "[" + std::to_string(index) + "]", lines);
    } else {
        lines.emplace(path, formatScalar(value));
    }
}

} // namespace

Result<void> validateChange(const ConfigurationView &view, const ProposedChange &change,
                            const ValidationLimits &limits)
{
    using Validator = Result<void> (*)(const ConfigurationView &, const ProposedChange &,
                                       const ValidationLimits &);
    // Indexed by ObjectKind.
    static constexpr std::array<Validator, 5> validators{
        &validateService, &validateEndpoint, &validateProxy, &validateTeam, &refuseStatusChange,
    };
    return validators.at(static_cast<std::size_t>(change.kind))(view, change, limits);
}

std::vector<std::string> diffObjects(const json::object &stored, const json::object &proposed)
{
    std::map<std::string, std::string> before;
    std::map<std::string, std::string> after;
    flatten(stored, "", before);
    flatten(proposed, "", after);
    std::set<std::string> paths;
    for (const auto *side : {&before, &after}) {
        for (const auto &[path, value] : *side)
            paths.insert(path);
    }
    std::vector<std::string> lines;
    for (const std::string &path : paths) {
        const auto removed = before.find(path);
        const auto added = after.find(path);
        if (removed != before.end() && added != after.end() && removed->second == added->second)
            continue;
        if (removed != before.end())
            lines.push_back("- " + path + ": " + removed->second);
        if (added != after.end())
            lines.push_back("+ " + path + ": " + added->second);
    }
    return lines;
}

} // namespace pistachiowood
