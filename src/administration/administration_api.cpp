#include "administration/administration_api.h"

#include "administration/administration_json.h"
#include "base/log.h"
#include "base/settings.h"
#include "net/http_error.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace pistachiowood {

namespace json = boost::json;

namespace {

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

/// Returns the merge patch for a label change {"set":{...},"remove":[...]}.
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

/// A decoded change and the stored object that it replaces.
struct AdministrationApi::Change
{
    ObjectKind kind = ObjectKind::DatabaseService;
    std::string name;
    const StoredObject *stored = nullptr; ///< nullptr: none; valid until the current event ends
    ResourceVersion expected; ///< 0: the change creates the object
    std::optional<ObjectValue> proposed; ///< nullopt: removal
    bool hasVersionConflict = false; ///< the stored version differs from the expected one
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
    reads_.recordReport(endpoint, report);
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
        respond({405, errorBody({ErrorCode::InvalidArgument,
                                 "the method is not allowed for this path"})});
    else
        respond(errorResponse({ErrorCode::NotFound, "no such operation"}));
}

void AdministrationApi::dispatch(const Route &route, const Call &call)
{
    std::optional<Error> failure;
    if (route.local) {
        const auto outcome = capture([&] { return (this->*route.local)(call); });
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

// Operations that change no configuration

bool AdministrationApi::isVisible(const Access &access, const StoredObject &object) const
{
    if (!access.team)
        return true;
    const auto decoded =
        capture([&] { return decodeObject(object.kind, object.name, object.json); });
    const auto *value = std::get_if<ObjectValue>(&decoded);
    return value && maySee(access, *value, *backend_.view());
}

// An object of another team gets the same error as one that does not exist, so that names of other
// teams are not revealed.
Result<const StoredObject *> AdministrationApi::findVisible(const Call &call, ObjectKind kind,
                                                            const std::string &name) const
{
    const StoredObject *object = backend_.find(kind, name);
    if (!object || !isVisible(call.access, *object))
        return makeError(ErrorCode::NotFound,
                         std::string(objectKindName(kind)) + " " + quote(name) + " does not exist");
    return object;
}

Result<json::object> AdministrationApi::drainDaemon(const Call &call)
{
    // A daemon serves all teams, so access to one team does not suffice.
    if (call.access.team || call.access.role < AccessRole::Operator)
        return makeError(ErrorCode::PermissionDenied,
                         "draining a daemon needs the role operator for all teams");
    const std::string vm = backend_.self().id.value();
    logEvent(Event::DaemonDrainRequested, {{"vm", vm}});
    backend_.drainDaemon();
    return json::object{{"accepted", true}, {"vm", vm}};
}

// Configuration changes

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
    BOOST_LEAF_CHECK(checkExpectedVersion(call, change));
    if (change.hasVersionConflict)
        return change;
    BOOST_LEAF_CHECK(
        validateChange(*backend_.view(), {kind, name, change.proposed}, settings_.limits));
    change.diff = diffObjects(storedFields(change.stored), proposedFields);
    return change;
}

// The credential must allow changes of both the stored and the proposed object, so that no object
// moves to or from another team.
Result<void> AdministrationApi::checkAccess(const Call &call, const Change &change) const
{
    const auto view = backend_.view();
    if (change.proposed) {
        // A service that does not exist belongs to no team; checkMayChange would report a denied
        // permission instead of the missing service.
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

/// The diff and the validation hold only for the stored version that this daemon has applied, so a
/// change must expect exactly that version.
Result<void> AdministrationApi::checkExpectedVersion(const Call &call, Change &change) const
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
    change.hasVersionConflict = true;
    return {};
}

void AdministrationApi::submit(const Call &call, const Change &change)
{
    if (change.hasVersionConflict) {
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

    struct ResponseBuilder
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
        HttpResponse operator()(const ChangeUndetermined &undetermined) const
        {
            std::string message = "the change may have been made or may still be made ("
                                  + undetermined.reason + "); read the object again: ";
            // Retrying a creation is not safe: it could restore an object that was deleted in
            // between. Retrying an update is, because the same expected version conflicts.
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
    ResponseBuilder buildResponse{
        change.kind,      change.name,     call.access.team ? call.access.team->value() : "*",
        call.access.role, change.expected, std::move(diff)};
    backend_.submitChange({change.kind, change.name, change.expected, !change.proposed,
                           change.proposed ? encodeObject(*change.proposed) : std::string()},
                          [respond = call.respond,
                           buildResponse = std::move(buildResponse)](const ChangeResult &result) {
                              respond(std::visit(buildResponse, result));
                          });
}

} // namespace pistachiowood
