#include "administration/administration_api.h"

#include "administration/administration_json.h"
#include "base/settings.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pistachiowood {

namespace json = boost::json;

namespace {

// Accepted age of reads that match no read rule; must equal the default of the traffic plane.
constexpr Milliseconds defaultMaxAge{10000};
constexpr std::size_t maxExplainLabels = 16;

// Indexed by MemberState and Verdict.
constexpr std::array<std::string_view, 4> memberStateNames{"alive", "suspect", "leaving", "dead"};
constexpr std::array<std::string_view, 3> verdictNames{"healthy", "suspected", "failed"};

/// Parses "key=value,key=value".
Result<Labels> parseLabels(std::string_view text)
{
    Labels labels;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const auto separator = part.find('=');
        if (separator == std::string_view::npos || labels.size() == maxExplainLabels)
            return makeError(ErrorCode::InvalidArgument,
                             "query parameter \"labels\" must be key=value,... with at most "
                                 + std::to_string(maxExplainLabels) + " labels");
        labels.emplace(part.substr(0, separator), part.substr(separator + 1));
    }
    return labels;
}

} // namespace

Result<json::object> AdministrationApi::listObjects(const Call &call)
{
    BOOST_LEAF_AUTO(kind, parseObjectKind(call.target.path[1]));
    std::vector<StoredObject> objects = backend_.objects();
    std::sort(objects.begin(), objects.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    json::array items;
    for (const StoredObject &object : objects) {
        if (object.kind == kind && isVisible(call.access, object))
            items.emplace_back(describeObject(object));
    }
    return json::object{{"kind", toJson(objectKindName(kind))},
                        {"applied_version", backend_.view()->version.value()},
                        {"items", std::move(items)}};
}

Result<json::object> AdministrationApi::getObject(const Call &call)
{
    BOOST_LEAF_AUTO(kind, parseObjectKind(call.target.path[1]));
    BOOST_LEAF_AUTO(object, findVisible(call, kind, call.target.path[2]));
    json::object body = describeObject(*object);
    body["kind"] = toJson(objectKindName(kind));
    return body;
}

Result<json::object> AdministrationApi::showHistory(const Call &call)
{
    BOOST_LEAF_AUTO(kind, parseObjectKind(call.target.path[1]));
    const std::string &name = call.target.path[2];
    const auto entries = history_.find(kind, name);
    const StoredObject *current = backend_.find(kind, name);
    // The team of a deleted object is no longer known, so access to one team covers existing
    // objects only.
    if (call.access.team || (entries.empty() && !current)) {
        BOOST_LEAF_CHECK(findVisible(call, kind, name));
    }
    json::array versions;
    for (const HistoryEntry &entry : entries)
        versions.emplace_back(json::object{{"version", entry.version.value()},
                                           {"operation_id", entry.operationId},
                                           {"deleted", entry.deleted},
                                           {"diff", toJson(entry.diff)}});
    if (entries.empty())
        versions.emplace_back(json::object{{"version", current->version.value()},
                                           {"operation_id", current->operationId},
                                           {"deleted", false},
                                           {"diff", json::array()}});
    return json::object{{"kind", toJson(objectKindName(kind))},
                        {"name", name},
                        {"since_version", history_.baselineVersion().value()},
                        {"versions", std::move(versions)}};
}

Result<json::object> AdministrationApi::showInForce(const Call &call)
{
    BOOST_LEAF_AUTO(version, call.target.queryUnsigned("version"));
    if (!version)
        return makeError(ErrorCode::InvalidArgument, "query parameter \"version\" must be present");
    std::set<std::string> waitingFor;
    for (const MemberRecord &member : backend_.members()) {
        if (member.state != MemberState::Dead && member.appliedVersion.value() < *version)
            waitingFor.insert(member.id.value());
    }
    const std::uint64_t lowest = backend_.lowestAppliedVersion().value();
    return json::object{
        {"in_force", lowest >= *version && waitingFor.empty()},
        {"version", *version},
        {"lowest_applied_version", lowest},
        {"waiting_for", toJson(std::vector<std::string>(waitingFor.begin(), waitingFor.end()))}};
}

json::array AdministrationApi::describeDaemons() const
{
    std::vector<MemberRecord> members = backend_.members();
    std::sort(members.begin(), members.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    json::array daemons;
    for (const MemberRecord &member : members)
        daemons.emplace_back(json::object{
            {"vm", member.id.value()},
            {"zone", member.zone.value()},
            {"region", member.region.value()},
            {"state", toJson(memberStateNames.at(static_cast<std::size_t>(member.state)))},
            {"applied_version", member.appliedVersion.value()},
            {"admin_address", formatAddress(member.admin)}});
    return daemons;
}

json::object AdministrationApi::describeEndpoint(const EndpointSpec &endpoint,
                                                 const ServiceStatus *status,
                                                 const ServiceRoutes *routes) const
{
    const EndpointRoute *route = routes ? routes->findEndpoint(endpoint.id) : nullptr;
    const auto report = reports_.find(endpoint.id);
    const bool reported =
        report != reports_.end() && (!status || report->second.term >= status->term);
    const bool isPrimary = reported ? report->second.role == EndpointRole::Primary
                                    : status && status->primary == endpoint.id;
    json::object body{{"endpoint", endpoint.id.value()},
                      {"zone", endpoint.zone.value()},
                      {"owner", route ? route->owner.value() : std::string()},
                      {"role", !reported && !status ? "unknown"
                               : isPrimary          ? "primary"
                                                    : "replica"},
                      {"leaving", endpoint.leaving}};
    if (report != reports_.end()) {
        body["position"] = report->second.position.value();
        body["age_ms"] = report->second.age.count();
    }
    return body;
}

json::object AdministrationApi::describeService(const ServiceSpec &service,
                                                const ConfigurationView &view,
                                                const RoutingTable &table) const
{
    const auto found = view.statuses.find(service.name);
    const ServiceStatus *status = found == view.statuses.end() ? nullptr : found->second.get();
    const auto assessment = backend_.assessService(service.name);
    const auto routes = table.findService(service.name);
    json::array endpoints;
    if (const auto group = view.endpointsByService.find(service.name);
        group != view.endpointsByService.end()) {
        for (const auto &endpoint : group->second)
            endpoints.emplace_back(describeEndpoint(*endpoint, status, routes.get()));
    }
    const std::string_view verdict =
        assessment ? verdictNames.at(static_cast<std::size_t>(assessment->verdict))
                   : "not_assessed_here";
    return {{"service", service.name.value()},
            {"team", service.team.value()},
            {"term", status ? status->term.value() : 0},
            {"primary", status ? status->primary.value() : std::string()},
            {"verdict", toJson(verdict)},
            {"verdict_reason",
             toJson(assessment ? failureReasonName(assessment->reason) : std::string_view())},
            {"endpoints", std::move(endpoints)}};
}

Result<json::object> AdministrationApi::showStatus(const Call &call)
{
    const auto view = backend_.view();
    const auto table = backend_.routingTable();
    json::array services;
    for (const auto &[name, service] : view->services) {
        if (call.access.coversTeam(service->team))
            services.emplace_back(describeService(*service, *view, *table));
    }
    return json::object{{"vm", backend_.self().id.value()},
                        {"applied_version", view->version.value()},
                        {"lowest_applied_version", backend_.lowestAppliedVersion().value()},
                        {"platform_reachable", backend_.isPlatformReachable()},
                        {"daemons", describeDaemons()},
                        {"services", std::move(services)}};
}

Result<Locality> AdministrationApi::findLocality(const Call &call) const
{
    const MemberRecord self = backend_.self();
    Locality locality{self.zone, self.region};
    const std::string zone = call.target.queryText("zone");
    if (zone.empty() || zone == self.zone.value())
        return locality;
    locality.zone = ZoneName(zone);
    for (const MemberRecord &member : backend_.members()) {
        if (member.zone == locality.zone)
            return Locality{member.zone, member.region};
    }
    const auto view = backend_.view();
    for (const auto &[service, group] : view->endpointsByService) {
        for (const auto &endpoint : group) {
            if (endpoint->zone == locality.zone)
                return Locality{endpoint->zone, endpoint->region};
        }
    }
    return makeError(ErrorCode::NotFound, "zone " + quote(zone) + " has no daemon or endpoint");
}

std::string AdministrationApi::explainRank(const EndpointRoute &route, const ServiceRoutes &routes,
                                           const ReadRequirement &requirement,
                                           const Locality &locality) const
{
    const EndpointSpec &spec = route.spec;
    const bool isPrimary = spec.id == routes.primary;
    std::string reason = isPrimary ? "primary" : "replica";
    reason += spec.zone == locality.zone       ? " in the same zone"
              : spec.region == locality.region ? " in the same region"
                                               : " in another region";
    if (isPrimary)
        return reason + "; holds every entry of its term";
    if (!reports_.contains(spec.id))
        return reason + "; no report seen by this daemon, so it is tried";
    return reason
           + (reads_.isExpectedToSatisfy(spec.id, requirement)
                  ? "; expected to be new enough"
                  : "; expected to be too old, so it is tried last");
}

Result<json::object> AdministrationApi::explainRead(const Call &call)
{
    const ServiceName name(call.target.queryText("service"));
    BOOST_LEAF_AUTO(locality, findLocality(call));
    BOOST_LEAF_AUTO(labels, parseLabels(call.target.queryText("labels")));
    BOOST_LEAF_AUTO(maxAge, call.target.queryUnsigned("max_age_ms"));
    const auto table = backend_.routingTable();
    const auto routes = table->findService(name);
    if (!routes || !call.access.coversTeam(routes->spec.team))
        return makeError(ErrorCode::NotFound, "service " + quote(name.value()) + " does not exist");
    const ReadPolicy *policy = routes->findReadPolicy(labels);
    ReadRequirement requirement;
    requirement.term = routes->term;
    requirement.maxAge = policy ? policy->defaultMaxAge : defaultMaxAge;
    if (maxAge)
        requirement.maxAge = Milliseconds(std::min<std::uint64_t>(*maxAge, UINT32_MAX));

    std::vector<ReadCandidate> candidates;
    std::map<std::string, std::string> excluded;
    for (const EndpointRoute &route : routes->endpoints) {
        const EndpointSpec &spec = route.spec;
        const bool isPrimary = spec.id == routes->primary;
        if (spec.leaving)
            excluded.emplace(spec.id.value(), "it is leaving");
        else if (!isPrimary && policy && !policy->endpoints.matches(spec.labels))
            excluded.emplace(spec.id.value(), "the read rule's endpoint selector does not match");
        else
            candidates.push_back({spec.id, spec.zone, spec.region, isPrimary});
    }
    json::array order;
    for (const EndpointId &id : reads_.rank(candidates, requirement, locality))
        order.emplace_back(json::object{
            {"endpoint", id.value()},
            {"owner", routes->findEndpoint(id)->owner.value()},
            {"reason", explainRank(*routes->findEndpoint(id), *routes, requirement, locality)}});
    json::array excludedItems;
    for (const auto &[id, reason] : excluded)
        excludedItems.emplace_back(json::object{{"endpoint", id}, {"reason", reason}});
    return json::object{{"service", name.value()},
                        {"zone", locality.zone.value()},
                        {"region", locality.region.value()},
                        {"term", routes->term.value()},
                        {"primary", routes->primary.value()},
                        {"read_rule", policy ? json::value(policy - routes->readPolicies.data())
                                             : json::value(nullptr)},
                        {"max_age_ms", requirement.maxAge.count()},
                        {"endpoints", std::move(order)},
                        {"excluded", std::move(excludedItems)}};
}

} // namespace pistachiowood
