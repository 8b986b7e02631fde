#include "administration/administration_api.h"

#include "base/log.h"
#include "base/settings.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace pistachiowood {

namespace json = boost::json;

namespace {

// As the traffic side assumes for services without a read rule.
constexpr Milliseconds defaultMaxAge{10000};
constexpr std::size_t maxExplainLabels = 16;

constexpr std::array<std::string_view, 4> stateNames{"alive", "suspect", "leaving", "dead"};
constexpr std::array<std::string_view, 3> verdictNames{"healthy", "suspected", "failed"};

json::string toJson(std::string_view text)
{
    return json::string(text.data(), text.size());
}

std::string quote(const std::string &text)
{
    return "\"" + text + "\"";
}

json::array toJson(const std::vector<std::string> &lines)
{
    json::array array;
    for (const std::string &line : lines)
        array.emplace_back(line);
    return array;
}

HttpResponse errorResponse(const Error &error)
{
    return {httpStatusOf(error.code), errorBody(error)};
}

bool matchesPath(std::string_view pattern, const std::vector<std::string> &path)
{
    std::size_t begin = 0;
    for (const std::string &segment : path) {
        if (begin > pattern.size())
            return false;
        const auto end = std::min(pattern.find('/', begin), pattern.size());
        const auto expected = pattern.substr(begin, end - begin);
        if (expected != "*" && expected != segment)
            return false;
        begin = end + 1;
    }
    return begin == pattern.size() + 1;
}

/// Fields as stored; an object that cannot be decoded is shown as it is.
json::object storedFields(const StoredObject *object)
{
    if (!object)
        return {};
    const auto decoded =
        capture([&] { return decodeObject(object->kind, object->name, object->json); });
    const auto *value = std::get_if<ObjectValue>(&decoded);
    const auto parsed =
        capture([&] { return parseJsonObject(value ? encodeObject(*value) : object->json); });
    const auto *fields = std::get_if<json::object>(&parsed);
    return fields ? *fields : json::object();
}

json::object describeObject(const StoredObject &object)
{
    return {{"name", object.name},
            {"version", object.version.value()},
            {"operation_id", object.operationId},
            {"object", storedFields(&object)}};
}

/// JSON merge patch (RFC 7396): objects merge, null removes a field, everything else replaces.
void mergePatch(json::object &target, const json::object &patch)
{
    for (const auto &field : patch) {
        if (field.value().is_null()) {
            target.erase(field.key());
        } else if (const auto *nested = field.value().if_object()) {
            json::value &inner = target[field.key()];
            if (!inner.is_object())
                inner = json::object();
            mergePatch(inner.get_object(), *nested);
        } else {
            target[field.key()] = field.value();
        }
    }
}

Result<void> rejectUnknownFields(const json::object &body, std::set<std::string_view> known)
{
    for (const auto &field : body) {
        const std::string_view name(field.key().data(), field.key().size());
        if (!known.contains(name))
            return makeError(ErrorCode::InvalidArgument,
                             "unknown field " + quote(std::string(name)));
    }
    return {};
}

/// Patch of labels from {"set":{...},"remove":[...]}.
Result<json::object> parseLabelChange(const std::string &text)
{
    BOOST_LEAF_AUTO(body, parseJsonObject(text));
    BOOST_LEAF_CHECK(rejectUnknownFields(body, {"set", "remove"}));
    json::object labels;
    if (const auto *set = body.if_contains("set")) {
        if (!set->is_object())
            return makeError(ErrorCode::InvalidArgument, "field \"set\" must be an object");
        for (const auto &label : set->get_object()) {
            if (!label.value().is_string())
                return makeError(ErrorCode::InvalidArgument,
                                 "field \"set\" must be an object of strings");
            labels[label.key()] = label.value();
        }
    }
    if (const auto *remove = body.if_contains("remove")) {
        if (!remove->is_array())
            return makeError(ErrorCode::InvalidArgument, "field \"remove\" must be an array");
        for (const auto &key : remove->get_array()) {
            if (!key.is_string())
                return makeError(ErrorCode::InvalidArgument,
                                 "field \"remove\" must be an array of strings");
            labels[key.get_string()] = nullptr;
        }
    }
    return json::object{{"labels", std::move(labels)}};
}

/// Labels from "key=value,key=value".
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

std::string conflictBody(std::optional<ResourceVersion> current)
{
    json::object body{{"accepted", false},
                      {"error",
                       {{"code", "conflict"},
                        {"message", "another change came first; read the object and try again"}}}};
    if (current)
        body["current_version"] = current->value();
    return json::serialize(body);
}

} // namespace

/// A change that is ready to be checked against the configuration in force.
struct AdministrationApi::Change
{
    ObjectKind kind = ObjectKind::DatabaseService;
    std::string name;
    const StoredObject *stored = nullptr; ///< valid until the current event ends
    ResourceVersion expected; ///< 0: the object is created
    std::optional<ObjectValue> proposed; ///< nullopt: removal
    bool outdated = false; ///< the object has another version than expected
    std::vector<std::string> diff;
};

std::span<const AdministrationApi::Route> AdministrationApi::routes()
{
    using Api = AdministrationApi;
    static constexpr std::array<Route, 13> table{{
        {"GET", "objects/*", &Api::listObjects, nullptr},
        {"GET", "objects/*/*", &Api::getObject, nullptr},
        {"PUT", "objects/*/*", nullptr, &Api::putObject},
        {"PATCH", "objects/*/*", nullptr, &Api::patchObject},
        {"DELETE", "objects/*/*", nullptr, &Api::deleteObject},
        {"POST", "labels/*/*", nullptr, &Api::changeLabels},
        {"POST", "drain/endpoint/*", nullptr, &Api::drainEndpoint},
        {"POST", "undrain/endpoint/*", nullptr, &Api::undrainEndpoint},
        {"POST", "drain/daemon", &Api::drainDaemon, nullptr},
        {"GET", "status", &Api::showStatus, nullptr},
        {"GET", "in-force", &Api::showInForce, nullptr},
        {"GET", "history/*/*", &Api::showHistory, nullptr},
        {"GET", "explain", &Api::explainRead, nullptr},
    }};
    return table;
}

AdministrationApi::AdministrationApi(AdministrationBackend &backend, CredentialList credentials,
                                     const Clock &clock, Settings settings)
    : backend_(backend)
    , credentials_(std::move(credentials))
    , settings_(settings)
    , reads_(settings.routing, clock)
{
    handleConfiguration();
}

void AdministrationApi::handleConfiguration()
{
    history_.observe(backend_.view(), [this](ObjectKind kind, const std::string &name) {
        return backend_.find(kind, name);
    });
}

void AdministrationApi::observeReport(const EndpointId &endpoint, const EndpointReport &report)
{
    reports_[endpoint] = report;
    reads_.observe(endpoint, report);
}

void AdministrationApi::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    handleConfiguration();
    const auto access = capture([&] { return credentials_.authenticate(request.bearer); });
    auto target = capture([&] { return parseRequestTarget(request.target); });
    const Error *failure = std::get_if<Error>(&access);
    if (!failure)
        failure = std::get_if<Error>(&target);
    if (failure) {
        respond(errorResponse(*failure));
        return;
    }
    Call call{std::get<Access>(access), std::get<RequestTarget>(std::move(target)), request.body,
              respond};
    auto &path = call.target.path;
    const bool hasVersion = !path.empty() && path.front() == "v1";
    if (hasVersion)
        path.erase(path.begin());
    bool pathExists = false;
    for (const Route &route : routes()) {
        if (!hasVersion || !matchesPath(route.path, path))
            continue;
        pathExists = true;
        if (route.method == request.method) {
            dispatch(route, call);
            return;
        }
    }
    if (pathExists)
        respond({405, errorBody({ErrorCode::InvalidArgument, "the operation has another method"})});
    else
        respond(errorResponse({ErrorCode::NotFound, "no such operation"}));
}

void AdministrationApi::dispatch(const Route &route, const Call &call)
{
    std::optional<Error> failure;
    if (route.read) {
        const auto outcome = capture([&] { return (this->*route.read)(call); });
        if (const auto *body = std::get_if<json::object>(&outcome))
            call.respond({200, json::serialize(*body)});
        else
            failure = std::get<Error>(outcome);
    } else {
        const auto outcome = capture([&] { return (this->*route.change)(call); });
        if (const auto *change = std::get_if<Change>(&outcome))
            submit(call, *change);
        else
            failure = std::get<Error>(outcome);
    }
    if (!failure)
        return;
    if (failure->code == ErrorCode::PermissionDenied)
        logEvent(Event::AdministrationDenied,
                 {{"operation", std::string(route.method) + " " + std::string(route.path)},
                  {"team", call.access.team ? call.access.team->value() : "*"},
                  {"role", accessRoleName(call.access.role)},
                  {"reason", failure->message}});
    call.respond(errorResponse(*failure));
}

// Reading

bool AdministrationApi::isVisible(const Access &access, const StoredObject &object) const
{
    if (!access.team)
        return true;
    const auto decoded =
        capture([&] { return decodeObject(object.kind, object.name, object.json); });
    const auto *value = std::get_if<ObjectValue>(&decoded);
    return value && maySee(access, *value, *backend_.view());
}

// An object of another team is reported like one that does not exist.
Result<const StoredObject *> AdministrationApi::findVisible(const Call &call, ObjectKind kind,
                                                            const std::string &name) const
{
    const StoredObject *object = backend_.find(kind, name);
    if (!object || !isVisible(call.access, *object))
        return makeError(ErrorCode::NotFound,
                         std::string(objectKindName(kind)) + " " + quote(name) + " does not exist");
    return object;
}

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
    // The team of a deleted object is no longer known.
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
                        {"since_version", history_.since().value()},
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
        daemons.emplace_back(
            json::object{{"vm", member.id.value()},
                         {"zone", member.zone.value()},
                         {"region", member.region.value()},
                         {"state", toJson(stateNames.at(static_cast<std::size_t>(member.state)))},
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
                        {"platform_reachable", backend_.platformAnswers()},
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

std::string AdministrationApi::explainPlace(const EndpointRoute &route, const ServiceRoutes &routes,
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
            {"reason", explainPlace(*routes->findEndpoint(id), *routes, requirement, locality)}});
    json::array left;
    for (const auto &[id, reason] : excluded)
        left.emplace_back(json::object{{"endpoint", id}, {"reason", reason}});
    return json::object{{"service", name.value()},
                        {"zone", locality.zone.value()},
                        {"region", locality.region.value()},
                        {"term", routes->term.value()},
                        {"primary", routes->primary.value()},
                        {"read_rule", policy ? json::value(policy - routes->readPolicies.data())
                                             : json::value(nullptr)},
                        {"max_age_ms", requirement.maxAge.count()},
                        {"endpoints", std::move(order)},
                        {"excluded", std::move(left)}};
}

Result<json::object> AdministrationApi::drainDaemon(const Call &call)
{
    // A daemon serves every team.
    if (call.access.team || call.access.role < AccessRole::Operator)
        return makeError(ErrorCode::PermissionDenied,
                         "draining a daemon needs the role operator for all teams");
    const std::string vm = backend_.self().id.value();
    logEvent(Event::DaemonDrainRequested, {{"vm", vm}});
    backend_.drainDaemon();
    return json::object{{"accepted", true}, {"vm", vm}};
}

// Changes

Result<AdministrationApi::Change> AdministrationApi::putObject(const Call &call)
{
    BOOST_LEAF_AUTO(kind, parseObjectKind(call.target.path[1]));
    return prepareChange(call, kind, call.target.path[2], call.body);
}

Result<AdministrationApi::Change> AdministrationApi::patchObject(const Call &call)
{
    BOOST_LEAF_AUTO(kind, parseObjectKind(call.target.path[1]));
    BOOST_LEAF_AUTO(patch, parseJsonObject(call.body));
    return mergeFields(call, kind, call.target.path[2], patch);
}

Result<AdministrationApi::Change> AdministrationApi::deleteObject(const Call &call)
{
    BOOST_LEAF_AUTO(kind, parseObjectKind(call.target.path[1]));
    BOOST_LEAF_CHECK(findVisible(call, kind, call.target.path[2]));
    return prepareChange(call, kind, call.target.path[2], std::nullopt);
}

Result<AdministrationApi::Change> AdministrationApi::changeLabels(const Call &call)
{
    BOOST_LEAF_AUTO(kind, parseObjectKind(call.target.path[1]));
    BOOST_LEAF_AUTO(patch, parseLabelChange(call.body));
    return mergeFields(call, kind, call.target.path[2], patch);
}

Result<AdministrationApi::Change> AdministrationApi::drainEndpoint(const Call &call)
{
    return mergeFields(call, ObjectKind::Endpoint, call.target.path[2], {{"leaving", true}});
}

Result<AdministrationApi::Change> AdministrationApi::undrainEndpoint(const Call &call)
{
    return mergeFields(call, ObjectKind::Endpoint, call.target.path[2], {{"leaving", false}});
}

Result<AdministrationApi::Change> AdministrationApi::mergeFields(const Call &call, ObjectKind kind,
                                                                 const std::string &name,
                                                                 const json::object &patch)
{
    BOOST_LEAF_AUTO(stored, findVisible(call, kind, name));
    json::object fields = storedFields(stored);
    mergePatch(fields, patch);
    return prepareChange(call, kind, name, json::serialize(fields));
}

Result<AdministrationApi::Change>
AdministrationApi::prepareChange(const Call &call, ObjectKind kind, const std::string &name,
                                 std::optional<std::string> proposedJson)
{
    Change change;
    change.kind = kind;
    change.name = name;
    change.stored = backend_.find(kind, name);
    json::object proposedFields;
    if (proposedJson) {
        BOOST_LEAF_ASSIGN(change.proposed, decodeObject(kind, name, *proposedJson));
        BOOST_LEAF_ASSIGN(proposedFields, parseJsonObject(encodeObject(*change.proposed)));
    }
    BOOST_LEAF_CHECK(checkAccess(call, change));
    BOOST_LEAF_CHECK(checkExpected(call, change));
    if (change.outdated)
        return change;
    BOOST_LEAF_CHECK(
        validateChange(*backend_.view(), {kind, name, change.proposed}, settings_.limits));
    change.diff = diffObjects(storedFields(change.stored), proposedFields);
    return change;
}

// Both the stored and the proposed object must belong to the credential's team.
Result<void> AdministrationApi::checkAccess(const Call &call, const Change &change) const
{
    const auto view = backend_.view();
    if (change.proposed) {
        // A service that does not exist belongs to no team; validation gives the better reason.
        const auto *endpoint = std::get_if<EndpointSpec>(&*change.proposed);
        if (endpoint && !view->services.contains(endpoint->service)
            && call.access.role >= AccessRole::Operator)
            return makeError(ErrorCode::InvalidArgument,
                             "service " + quote(endpoint->service.value()) + " does not exist");
        BOOST_LEAF_CHECK(checkMayChange(call.access, *change.proposed, *view));
    }
    if (!change.stored)
        return {};
    const auto decoded = capture([&] {
        return decodeObject(change.stored->kind, change.stored->name, change.stored->json);
    });
    if (const auto *value = std::get_if<ObjectValue>(&decoded))
        return checkMayChange(call.access, *value, *view);
    if (call.access.team)
        return makeError(ErrorCode::PermissionDenied,
                         "the stored object is invalid, so its team is not known");
    return {};
}

/// The diff and the checks hold only for the version that this daemon applies, so a change must
/// expect exactly that version.
Result<void> AdministrationApi::checkExpected(const Call &call, Change &change) const
{
    const ResourceVersion applied = change.stored ? change.stored->version : ResourceVersion();
    BOOST_LEAF_AUTO(given, call.target.queryUnsigned("expected_version"));
    change.expected = given ? ResourceVersion(*given) : applied;
    if (change.expected == applied)
        return {};
    if (change.expected > backend_.view()->version)
        return makeError(ErrorCode::Unavailable,
                         "this daemon has not yet applied the expected version; nothing was "
                         "changed, try again later or at another daemon");
    change.outdated = true;
    return {};
}

void AdministrationApi::submit(const Call &call, const Change &change)
{
    if (change.outdated) {
        call.respond(
            {409, conflictBody(change.stored ? change.stored->version : ResourceVersion())});
        return;
    }
    json::array diff = toJson(change.diff);
    if (const auto dryRun = call.target.queryText("dry_run"); !dryRun.empty() && dryRun != "0") {
        call.respond(
            {200, json::serialize(json::object{{"accepted", false},
                                               {"dry_run", true},
                                               {"expected_version", change.expected.value()},
                                               {"diff", std::move(diff)}})});
        return;
    }

    struct Answer
    {
        HttpResponse operator()(const ChangeAccepted &accepted) const
        {
            logEvent(Event::ChangeAccepted, {{"kind", objectKindName(kind)},
                                             {"name", name},
                                             {"version", accepted.version.value()},
                                             {"team", team},
                                             {"role", accessRoleName(role)}});
            return {200, json::serialize(json::object{{"accepted", true},
                                                      {"version", accepted.version.value()},
                                                      {"diff", diff}})};
        }
        HttpResponse operator()(const ChangeConflict &conflict) const
        {
            return {409, conflictBody(conflict.current)};
        }
        HttpResponse operator()(const ChangeRefused &refused) const
        {
            Error error = refused.error;
            if (error.code == ErrorCode::Unavailable)
                error.message += "; the change was not made, it is safe to try again";
            return errorResponse(error);
        }
        HttpResponse operator()(const ChangeUndetermined &open) const
        {
            std::string message = "the change may have been made or may still be made ("
                                  + open.reason + "); read the object again: ";
            // A second creation could bring back an object that was deleted in between; a second
            // update of the same version conflicts.
            if (expected.value() == 0)
                message += "if it does not exist, the change was not made yet";
            else
                message += "an operation_id that begins with "
                           + quote(std::to_string(expected.value()) + ".")
                           + " belongs to the change that replaced version "
                           + std::to_string(expected.value())
                           + ". Trying again with the same expected version is safe";
            return {504, errorBody({ErrorCode::OutcomeUnknown, std::move(message)})};
        }
        ObjectKind kind;
        std::string name;
        std::string team;
        AccessRole role;
        ResourceVersion expected;
        json::array diff;
    };
    Answer answer{
        change.kind,      change.name,     call.access.team ? call.access.team->value() : "*",
        call.access.role, change.expected, std::move(diff)};
    backend_.submitChange({change.kind, change.name, change.expected, !change.proposed,
                           change.proposed ? encodeObject(*change.proposed) : std::string()},
                          [respond = call.respond, answer = std::move(answer)](
                              const ChangeResult &result) { respond(std::visit(answer, result)); });
}

} // namespace pistachiowood
