#include "configuration/object_codec.h"

#include "base/address.h"
#include "base/json.h"
#include "configuration/selector.h"

#include <array>
#include <charconv>
#include <span>

namespace pistachiowood {

namespace {

namespace json = boost::json;

constexpr std::uint64_t maxDurationMs = 86400000; // one day
constexpr std::size_t maxLabels = 64;
constexpr std::size_t maxReadRules = 64;

constexpr std::array<std::string_view, 5> kindNames{
    "DatabaseService", "Endpoint", "Proxy", "Team", "ServiceStatus",
};

boost::leaf::error_id fieldError(const std::string &path, const std::string &requirement)
{
    return makeError(ErrorCode::InvalidArgument, "field \"" + path + "\" must be " + requirement);
}

std::string rangeText(std::uint64_t low, std::uint64_t high)
{
    return "an integer between " + std::to_string(low) + " and " + std::to_string(high);
}

/// Decodes and encodes one JSON field of T.
template <typename T>
struct Field
{
    std::string_view name;
    bool required;
    Result<void> (*read)(const json::value &, const std::string &path, T &);
    json::value (*write)(const T &);
};

template <auto Member>
struct MemberOf;
template <typename T, typename V, V T::*Member>
struct MemberOf<Member>
{
    using Object = T;
    using Value = V;
};
template <auto Member>
using ObjectOf = typename MemberOf<Member>::Object;
template <auto Member>
using ValueOf = typename MemberOf<Member>::Value;

template <typename T>
Result<void> readFields(const json::object &object, const std::string &prefix,
                        std::span<const Field<T>> fields, T &target)
{
    for (const json::key_value_pair &entry : object) {
        bool known = false;
        for (const Field<T> &field : fields)
            known = known || field.name == std::string_view(entry.key().data(), entry.key().size());
        if (!known)
            return makeError(ErrorCode::InvalidArgument,
                             "unknown field \"" + prefix + std::string(entry.key()) + "\"");
    }
    for (const Field<T> &field : fields) {
        const std::string path = prefix + std::string(field.name);
        const json::value *value =
            object.if_contains(json::string_view(field.name.data(), field.name.size()));
        if (value)
            BOOST_LEAF_CHECK(field.read(*value, path, target));
        else if (field.required)
            return fieldError(path, "present");
    }
    return {};
}

template <typename T>
json::object writeFields(const T &source, std::span<const Field<T>> fields)
{
    json::object object;
    for (const Field<T> &field : fields)
        object[json::string_view(field.name.data(), field.name.size())] = field.write(source);
    return object;
}

Result<std::string> readString(const json::value &value, const std::string &path)
{
    if (!value.is_string())
        return fieldError(path, "a string");
    return std::string(value.as_string());
}

Result<std::uint64_t> readInteger(const json::value &value, const std::string &path,
                                  std::uint64_t low, std::uint64_t high)
{
    json::error_code failure;
    const auto number = value.to_number<std::uint64_t>(failure);
    if (failure || number < low || number > high)
        return fieldError(path, rangeText(low, high));
    return number;
}

/// Names are part of URL paths, so they must not contain '/'.
bool isObjectName(std::string_view text)
{
    return isLabelText(text) && text.find('/') == std::string_view::npos;
}

constexpr const char *nameRequirement =
    "1 to 63 characters of letters, digits, \"-\", \"_\" and \".\"";

template <auto Member>
Field<ObjectOf<Member>> nameField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, true,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                BOOST_LEAF_AUTO(text, readString(value, path));
                if (!isObjectName(text))
                    return fieldError(path, nameRequirement);
                target.*Member = ValueOf<Member>(std::move(text));
                return {};
            },
            [](const T &source) { return json::value((source.*Member).value()); }};
}

template <auto Member>
Field<ObjectOf<Member>> selectorField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, false,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                BOOST_LEAF_AUTO(text, readString(value, path));
                const auto parsed = capture([&text] { return Selector::parse(text); });
                if (const Error *error = std::get_if<Error>(&parsed))
                    return makeError(error->code, "field \"" + path + "\": " + error->message);
                target.*Member = std::move(text);
                return {};
            },
            [](const T &source) { return json::value(source.*Member); }};
}

template <auto Member, std::uint64_t Low, std::uint64_t High>
Field<ObjectOf<Member>> integerField(std::string_view name, bool required = false)
{
    using T = ObjectOf<Member>;
    return {name, required,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                BOOST_LEAF_AUTO(number, readInteger(value, path, Low, High));
                target.*Member = ValueOf<Member>(number);
                return {};
            },
            [](const T &source) {
                if constexpr (requires { (source.*Member).value(); })
                    return json::value((source.*Member).value());
                else if constexpr (requires { (source.*Member).count(); })
                    return json::value((source.*Member).count());
                else
                    return json::value(source.*Member);
            }};
}

/// Shares are below 1, because burn rates divide by the error budget (1 - objective).
template <auto Member>
Field<ObjectOf<Member>> shareField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, false,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                json::error_code failure;
                const double number = value.to_number<double>(failure);
                if (failure || !(number >= 0.5 && number <= 0.99999))
                    return fieldError(path, "a number between 0.5 and 0.99999");
                target.*Member = number;
                return {};
            },
            [](const T &source) { return json::value(source.*Member); }};
}

template <auto Member>
Field<ObjectOf<Member>> booleanField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, false,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                if (!value.is_bool())
                    return fieldError(path, "true or false");
                target.*Member = value.as_bool();
                return {};
            },
            [](const T &source) { return json::value(source.*Member); }};
}

template <auto Member>
Field<ObjectOf<Member>> addressField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, true,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                BOOST_LEAF_AUTO(text, readString(value, path));
                BOOST_LEAF_ASSIGN(target.*Member, decodeAddress(text, path));
                return {};
            },
            [](const T &source) { return json::value(formatAddress(source.*Member)); }};
}

template <auto Member>
Field<ObjectOf<Member>> labelsField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, false,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                if (!value.is_object() || value.as_object().size() > maxLabels)
                    return fieldError(path, "an object of at most " + std::to_string(maxLabels)
                                                + " strings");
                Labels labels;
                for (const json::key_value_pair &entry : value.as_object()) {
                    std::string key(entry.key());
                    BOOST_LEAF_AUTO(text, readString(entry.value(), path + "." + key));
                    if (!isLabelText(key) || !isLabelText(text))
                        return fieldError(path + "." + key,
                                          "1 to 63 characters of letters, digits, \"-\", \"_\", "
                                          "\".\" and \"/\", key and value");
                    labels.emplace(std::move(key), std::move(text));
                }
                target.*Member = std::move(labels);
                return {};
            },
            [](const T &source) {
                json::object object;
                for (const auto &[key, value] : source.*Member)
                    object[key] = value;
                return json::value(std::move(object));
            }};
}

/// Field whose value is a nested object. Fields() returns the fields of that object.
template <auto Member, auto Fields>
Field<ObjectOf<Member>> objectField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, false,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                if (!value.is_object())
                    return fieldError(path, "an object");
                return readFields(value.as_object(), path + ".", Fields(), target.*Member);
            },
            [](const T &source) { return json::value(writeFields(source.*Member, Fields())); }};
}

/// Field whose value is an array of objects. Fields() returns the fields of one element.
template <auto Member, auto Fields, std::size_t Limit>
Field<ObjectOf<Member>> arrayField(std::string_view name)
{
    using T = ObjectOf<Member>;
    return {name, false,
            [](const json::value &value, const std::string &path, T &target) -> Result<void> {
                if (!value.is_array() || value.as_array().size() > Limit)
                    return fieldError(path,
                                      "an array of at most " + std::to_string(Limit) + " objects");
                ValueOf<Member> elements;
                for (const json::value &element : value.as_array()) {
                    const std::string elementPath =
                        path + "[" + std::to_string(elements.size()) + "]";
                    if (!element.is_object())
                        return fieldError(elementPath, "an object");
                    BOOST_LEAF_CHECK(readFields(element.as_object(), elementPath + ".", Fields(),
                                                elements.emplace_back()));
                }
                target.*Member = std::move(elements);
                return {};
            },
            [](const T &source) {
                json::array array;
                for (const auto &element : source.*Member)
                    array.emplace_back(writeFields(element, Fields()));
                return json::value(std::move(array));
            }};
}

std::span<const Field<ReadRule>> readRuleFields()
{
    static const std::array fields{
        selectorField<&ReadRule::sessionSelector>("session_selector"),
        selectorField<&ReadRule::endpointSelector>("endpoint_selector"),
        integerField<&ReadRule::defaultMaxAge, 0, maxDurationMs>("default_max_age_ms"),
    };
    return fields;
}

std::span<const Field<ServiceObjectives>> objectivesFields()
{
    static const std::array fields{
        shareField<&ServiceObjectives::availability>("availability"),
        integerField<&ServiceObjectives::latency, 1, maxDurationMs>("latency_ms"),
        shareField<&ServiceObjectives::latencyShare>("latency_share"),
        integerField<&ServiceObjectives::freshness, 1, maxDurationMs>("freshness_ms"),
        integerField<&ServiceObjectives::failoverGap, 1, maxDurationMs>("failover_gap_ms"),
    };
    return fields;
}

std::span<const Field<TermStart>> termStartFields()
{
    static const std::array fields{
        integerField<&TermStart::term, 1, UINT64_MAX>("term", true),
        integerField<&TermStart::start, 0, UINT64_MAX>("start", true),
    };
    return fields;
}

std::span<const Field<ServiceSpec>> fieldsOf(const ServiceSpec *)
{
    static const std::array fields{
        nameField<&ServiceSpec::team>("team"),
        labelsField<&ServiceSpec::labels>("labels"),
        selectorField<&ServiceSpec::primarySelector>("primary_selector"),
        arrayField<&ServiceSpec::readRules, &readRuleFields, maxReadRules>("read_rules"),
        integerField<&ServiceSpec::queueLimit, 1, 100000>("queue_limit"),
        integerField<&ServiceSpec::weight, 1, 1000>("weight"),
        objectField<&ServiceSpec::objectives, &objectivesFields>("objectives"),
    };
    return fields;
}

std::span<const Field<EndpointSpec>> fieldsOf(const EndpointSpec *)
{
    static const std::array fields{
        nameField<&EndpointSpec::service>("service"),
        addressField<&EndpointSpec::address>("address"),
        nameField<&EndpointSpec::zone>("zone"),
        nameField<&EndpointSpec::region>("region"),
        integerField<&EndpointSpec::slots, 1, 1024>("slots"),
        integerField<&EndpointSpec::connections, 1, 10000>("connections"),
        labelsField<&EndpointSpec::labels>("labels"),
        booleanField<&EndpointSpec::leaving>("leaving"),
    };
    return fields;
}

std::span<const Field<ProxySpec>> fieldsOf(const ProxySpec *)
{
    static const std::array fields{
        nameField<&ProxySpec::team>("team"),
        labelsField<&ProxySpec::labels>("labels"),
        selectorField<&ProxySpec::serviceSelector>("service_selector"),
    };
    return fields;
}

std::span<const Field<TeamSpec>> fieldsOf(const TeamSpec *)
{
    static const std::array fields{
        integerField<&TeamSpec::weight, 1, 1000>("weight"),
    };
    return fields;
}

std::span<const Field<ServiceStatus>> fieldsOf(const ServiceStatus *)
{
    static const std::array fields{
        integerField<&ServiceStatus::term, 1, UINT64_MAX>("term", true),
        nameField<&ServiceStatus::primary>("primary"),
        arrayField<&ServiceStatus::history, &termStartFields, maxTermHistory>("history"),
    };
    return fields;
}

void setName(ServiceSpec &spec, std::string_view name)
{
    spec.name = ServiceName(std::string(name));
}
void setName(EndpointSpec &spec, std::string_view name)
{
    spec.id = EndpointId(std::string(name));
}
void setName(ProxySpec &spec, std::string_view name)
{
    spec.name = std::string(name);
}
void setName(TeamSpec &spec, std::string_view name)
{
    spec.name = TeamName(std::string(name));
}
void setName(ServiceStatus &status, std::string_view name)
{
    status.service = ServiceName(std::string(name));
}

// Checks conditions that involve several fields.
Result<void> checkConsistency(const ServiceStatus &status)
{
    Term last;
    for (const TermStart &entry : status.history) {
        if (entry.term <= last || entry.term > status.term)
            return fieldError("history", "in increasing order of terms up to \"term\"");
        last = entry.term;
    }
    return {};
}
template <typename T>
Result<void> checkConsistency(const T &)
{
    return {};
}

template <typename T>
Result<ObjectValue> decodeAs(std::string_view name, const json::object &object)
{
    T value;
    setName(value, name);
    BOOST_LEAF_CHECK(readFields(object, "", fieldsOf(&value), value));
    BOOST_LEAF_CHECK(checkConsistency(value));
    return ObjectValue(std::move(value));
}

} // namespace

std::string_view objectKindName(ObjectKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

Result<ObjectKind> parseObjectKind(std::string_view name)
{
    for (std::size_t index = 0; index < kindNames.size(); ++index) {
        if (kindNames.at(index) == name)
            return static_cast<ObjectKind>(index);
    }
    return makeError(ErrorCode::InvalidArgument, "unknown kind \"" + std::string(name) + "\"");
}

const std::string &objectName(const ObjectValue &value)
{
    struct Visitor
    {
        const std::string &operator()(const ServiceSpec &spec) const { return spec.name.value(); }
        const std::string &operator()(const EndpointSpec &spec) const { return spec.id.value(); }
        const std::string &operator()(const ProxySpec &spec) const { return spec.name; }
        const std::string &operator()(const TeamSpec &spec) const { return spec.name.value(); }
        const std::string &operator()(const ServiceStatus &status) const
        {
            return status.service.value();
        }
    };
    return std::visit(Visitor{}, value);
}

Result<ObjectValue> decodeObject(ObjectKind kind, std::string_view name, std::string_view text)
{
    if (!isObjectName(name))
        return fieldError("name", nameRequirement);
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    switch (kind) {
    case ObjectKind::DatabaseService:
        return decodeAs<ServiceSpec>(name, object);
    case ObjectKind::Endpoint:
        return decodeAs<EndpointSpec>(name, object);
    case ObjectKind::Proxy:
        return decodeAs<ProxySpec>(name, object);
    case ObjectKind::Team:
        return decodeAs<TeamSpec>(name, object);
    case ObjectKind::ServiceStatus:
        return decodeAs<ServiceStatus>(name, object);
    }
    return makeError(ErrorCode::Internal, "kind out of range");
}

std::string encodeObject(const ObjectValue &value)
{
    return std::visit(
        [](const auto &typed) { return json::serialize(writeFields(typed, fieldsOf(&typed))); },
        value);
}

Result<SocketAddress> decodeAddress(std::string_view text, std::string_view field)
{
    const auto parsed = capture([&] { return parsePeerAddress(std::string(text)); });
    if (const auto *address = std::get_if<SocketAddress>(&parsed))
        return *address;
    return fieldError(std::string(field),
                      "\"host:port\" with a numeric IPv4 host and a port between 1 and 65535");
}

} // namespace pistachiowood
