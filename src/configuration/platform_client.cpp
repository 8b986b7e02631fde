#include "configuration/platform_client.h"

#include "base/json.h"
#include "base/json_split.h"
#include "base/log.h"

#include <map>
#include <utility>

namespace pistachiowood {

namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusGone = 410;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned firstServerError = 500;

ErrorCode errorCodeOf(unsigned status)
{
    switch (status) {
    case statusNotFound:
        return ErrorCode::NotFound;
    case statusConflict:
        return ErrorCode::Conflict;
    case statusGone:
        return ErrorCode::VersionTooOld;
    case statusTooManyRequests:
        return ErrorCode::Unavailable;
    default:
        return status >= firstServerError ? ErrorCode::OutcomeUnknown : ErrorCode::InvalidArgument;
    }
}

std::string errorMessageOf(const HttpResponse &response)
{
    const auto message = capture([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(body, parseJsonObject(response.body));
        const json::value *error = body.if_contains("error");
        if (!error || !error->is_object())
            return makeError(ErrorCode::Internal, "");
        return requireString(error->as_object(), "message");
    });
    const auto *text = std::get_if<std::string>(&message);
    return text ? *text : "the platform answered with status " + std::to_string(response.status);
}

// Returns the text of a successful answer. The code of an error tells whether a change that was
// sent may have been carried out.
Result<std::string_view> readText(const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        if (!failure->requestSent)
            return makeError(ErrorCode::Unavailable,
                             "the platform cannot be reached: " + failure->message);
        const bool timedOut = failure->kind == HttpFailure::Kind::Timeout;
        return makeError(timedOut ? ErrorCode::DeadlineExceeded : ErrorCode::OutcomeUnknown,
                         "the platform did not answer: " + failure->message);
    }
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status != statusOk)
        return makeError(errorCodeOf(response.status), errorMessageOf(response));
    return std::string_view(response.body);
}

Result<json::object> readAnswer(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(text, readText(outcome));
    return parseJsonObject(text);
}

Result<JsonMembers> splitAnswer(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(text, readText(outcome));
    return splitJsonObject(text);
}

// Decodes each element of an array member. Invalid ones are logged and left out: other systems
// write objects too, and one of them must not hide the rest.
template <typename Function>
Result<void> decodeEach(const JsonMembers &answer, std::string_view name, Function function)
{
    BOOST_LEAF_AUTO(text, requireMember(answer, name));
    BOOST_LEAF_AUTO(elements, splitJsonArray(text));
    for (const std::string_view element : elements) {
        const auto read = capture([&]() -> Result<void> {
            BOOST_LEAF_AUTO(members, splitJsonObject(element));
            return function(members);
        });
        if (const auto *error = std::get_if<Error>(&read))
            logEvent(Event::EntryRefused, {{"reason", error->message}});
    }
    return {};
}

Result<ResourceVersion> decodeVersion(const JsonMembers &answer)
{
    BOOST_LEAF_AUTO(member, decodeMember(answer, "version"));
    BOOST_LEAF_AUTO(version, requireUnsigned(member, "version"));
    return ResourceVersion(version);
}

Result<std::string> decodeString(const JsonMembers &members, std::string_view name)
{
    BOOST_LEAF_AUTO(member, decodeMember(members, name));
    return requireString(member, name);
}

Result<ObjectKind> readKind(const JsonMembers &stored)
{
    BOOST_LEAF_AUTO(kind, decodeString(stored, "kind"));
    return parseObjectKind(kind);
}

// Text of the object itself. One that is no JSON is kept as it is, so that the former version of
// the object stays in force.
std::string readObjectText(const JsonMembers &stored)
{
    const std::string_view text = stored.find("object").value_or("");
    const auto value = capture([&] { return parseJsonValue(text); });
    const auto *decoded = std::get_if<json::value>(&value);
    return decoded ? json::serialize(*decoded) : std::string(text);
}

Result<StoredObject> readStored(const JsonMembers &stored)
{
    StoredObject object;
    BOOST_LEAF_ASSIGN(object.kind, readKind(stored));
    BOOST_LEAF_ASSIGN(object.name, decodeString(stored, "name"));
    BOOST_LEAF_ASSIGN(object.version, decodeVersion(stored));
    if (stored.find("operation_id")) {
        BOOST_LEAF_AUTO(member, decodeMember(stored, "operation_id"));
        BOOST_LEAF_AUTO(operationId, optionalString(member, "operation_id"));
        object.operationId = operationId.value_or("");
    }
    object.json = readObjectText(stored);
    return object;
}

// Other systems may store objects of other kinds on the platform; these are skipped.
bool isKnownKind(const JsonMembers &stored)
{
    return std::holds_alternative<ObjectKind>(capture([&] { return readKind(stored); }));
}

Result<ConfigurationSnapshot> readList(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(body, splitAnswer(outcome));
    ConfigurationSnapshot snapshot;
    BOOST_LEAF_ASSIGN(snapshot.version, decodeVersion(body));
    BOOST_LEAF_CHECK(decodeEach(body, "items", [&](const JsonMembers &item) -> Result<void> {
        if (!isKnownKind(item))
            return {};
        BOOST_LEAF_AUTO(object, readStored(item));
        snapshot.items.push_back(std::move(object));
        return {};
    }));
    return snapshot;
}

Result<WatchAnswer> readWatch(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(body, splitAnswer(outcome));
    WatchAnswer answer;
    BOOST_LEAF_ASSIGN(answer.version, decodeVersion(body));
    BOOST_LEAF_CHECK(decodeEach(body, "events", [&](const JsonMembers &event) -> Result<void> {
        if (!isKnownKind(event))
            return {};
        BOOST_LEAF_AUTO(object, readStored(event));
        BOOST_LEAF_AUTO(type, decodeString(event, "type"));
        answer.events.push_back({type == "delete", std::move(object)});
        return {};
    }));
    return answer;
}

Result<ResourceVersion> readVersion(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(body, readAnswer(outcome));
    BOOST_LEAF_AUTO(version, requireUnsigned(body, "version"));
    return ResourceVersion(version);
}

Result<std::optional<StoredObject>> readObject(const HttpOutcome &outcome)
{
    const auto *response = std::get_if<HttpResponse>(&outcome);
    if (response && response->status == statusNotFound)
        return std::optional<StoredObject>{};
    BOOST_LEAF_AUTO(body, splitAnswer(outcome));
    BOOST_LEAF_AUTO(object, readStored(body));
    return std::optional<StoredObject>{std::move(object)};
}

Result<std::vector<PlatformVm>> readVms(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(body, splitAnswer(outcome));
    std::vector<PlatformVm> entries;
    BOOST_LEAF_CHECK(decodeEach(body, "vms", [&](const JsonMembers &item) -> Result<void> {
        PlatformVm entry;
        BOOST_LEAF_AUTO(vm, decodeString(item, "vm"));
        BOOST_LEAF_AUTO(zone, decodeString(item, "zone"));
        BOOST_LEAF_AUTO(region, decodeString(item, "region"));
        BOOST_LEAF_AUTO(state, decodeString(item, "state"));
        if (item.find("address")) {
            BOOST_LEAF_AUTO(member, decodeMember(item, "address"));
            BOOST_LEAF_AUTO(address, optionalString(member, "address"));
            if (address) {
                BOOST_LEAF_ASSIGN(entry.control, decodeAddress(*address, "address"));
            }
        }
        entry.vm = VmId(vm);
        entry.zone = ZoneName(zone);
        entry.region = RegionName(region);
        entry.leaving = state == "leaving";
        entries.push_back(std::move(entry));
        return {};
    }));
    return entries;
}

std::string objectTarget(ObjectKind kind, const std::string &name)
{
    return "/v1/objects/" + std::string(objectKindName(kind)) + "/" + name;
}

HttpRequest encodeChange(const PutObject &command)
{
    const ChangeRequest &change = command.change;
    const std::string target = objectTarget(change.kind, change.name);
    const std::string expected = std::to_string(change.expected.value());
    if (change.remove)
        return {.method = "DELETE",
                .target = target + "?expected_version=" + expected
                          + "&operation_id=" + command.operationId};
    json::object body{{"expected_version", change.expected.value()},
                      {"operation_id", command.operationId}};
    json::error_code failure;
    body["object"] = json::parse(change.json, failure);
    return {.method = "PUT", .target = target, .body = json::serialize(body)};
}

} // namespace

struct PlatformClient::Private
{
    Private(EventLoop &eventLoop, SocketAddress platform)
        : loop(eventLoop)
        , address(std::move(platform))
        , watchConnection(eventLoop, address, &byteCounter(ConnectionClass::Platform))
    {
    }

    // Sends each request on its own connection, so that requests run concurrently.
    void sendOnNewConnection(HttpRequest request, Milliseconds timeout,
                             HttpConnection::Callback callback)
    {
        const std::uint64_t id = ++lastConnectionId;
        auto connection = std::make_shared<HttpConnection>(loop, address,
                                                           &byteCounter(ConnectionClass::Platform));
        connections.emplace(id, connection);
        connection->send(std::move(request), timeout,
                         [this, id, callback = std::move(callback)](HttpOutcome outcome) {
                             // This runs in a callback of the connection, so a posted task destroys
                             // it.
                             if (auto node = connections.extract(id))
                                 loop.post([closed = node.mapped()] {});
                             callback(std::move(outcome));
                         });
    }

    EventLoop &loop;
    SocketAddress address;
    HttpConnection watchConnection;
    std::uint64_t lastConnectionId = 0;
    std::map<std::uint64_t, std::shared_ptr<HttpConnection>> connections;
};

PlatformClient::PlatformClient(EventLoop &loop, SocketAddress address)
    : private_(std::make_unique<Private>(loop, std::move(address)))
{
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::list(Milliseconds timeout, ListCallback callback)
{
    private_->sendOnNewConnection({.target = "/v1/objects"}, timeout,
                                  [callback = std::move(callback)](const HttpOutcome &outcome) {
                                      callback(capture([&] { return readList(outcome); }));
                                  });
}

void PlatformClient::watch(ResourceVersion from, Milliseconds wait, Milliseconds timeout,
                           WatchCallback callback)
{
    // At most one watch is outstanding; a previous one that hangs is aborted.
    private_->watchConnection.close();
    const std::string target = "/v1/watch?from=" + std::to_string(from.value())
                               + "&wait_ms=" + std::to_string(wait.count());
    private_->watchConnection.send({.target = target}, wait + timeout,
                                   [callback = std::move(callback)](const HttpOutcome &outcome) {
                                       callback(capture([&] { return readWatch(outcome); }));
                                   });
}

void PlatformClient::change(const PutObject &command, PutCallback callback)
{
    private_->sendOnNewConnection(encodeChange(command), command.timeout,
                                  [callback = std::move(callback)](const HttpOutcome &outcome) {
                                      callback(capture([&] { return readVersion(outcome); }));
                                  });
}

void PlatformClient::read(const ReadObject &command, ReadCallback callback)
{
    private_->sendOnNewConnection({.target = objectTarget(command.kind, command.name)},
                                  command.timeout,
                                  [callback = std::move(callback)](const HttpOutcome &outcome) {
                                      callback(capture([&] { return readObject(outcome); }));
                                  });
}

void PlatformClient::listVms(Milliseconds timeout, VmsCallback callback)
{
    private_->sendOnNewConnection({.target = "/v1/vms"}, timeout,
                                  [callback = std::move(callback)](const HttpOutcome &outcome) {
                                      callback(capture([&] { return readVms(outcome); }));
                                  });
}

} // namespace pistachiowood
