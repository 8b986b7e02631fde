#include "base/json.h"

#include <array>
#include <charconv>

namespace pistachiowood {

namespace json = boost::json;

Result<json::value> parseJsonValue(std::string_view text)
{
    json::parse_options options;
    options.max_depth = maxJsonDepth;
    json::error_code failure;
    json::value value =
        json::parse(json::string_view(text.data(), text.size()), failure, {}, options);
    if (failure)
        return makeError(ErrorCode::InvalidArgument, "invalid JSON: " + failure.message());
    return value;
}

Result<json::object> parseJsonObject(std::string_view text)
{
    if (text.empty())
        return makeError(ErrorCode::InvalidArgument, "the body is empty; it must be a JSON object");
    BOOST_LEAF_AUTO(value, parseJsonValue(text));
    if (!value.is_object())
        return makeError(ErrorCode::InvalidArgument, "the body must be a JSON object");
    return std::move(value.as_object());
}

namespace {

boost::leaf::error_id wrongType(std::string_view field, std::string_view expected)
{
    return makeError(ErrorCode::InvalidArgument,
                     "field \"" + std::string(field) + "\" must be " + std::string(expected));
}

const json::value *findField(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(json::string_view(field.data(), field.size()));
    return value && !value->is_null() ? value : nullptr;
}

} // namespace

Result<std::optional<std::string>> optionalString(const json::object &object,
                                                  std::string_view field)
{
    const json::value *value = findField(object, field);
    if (!value)
        return std::optional<std::string>{};
    if (!value->is_string())
        return wrongType(field, "a string");
    return std::optional<std::string>{std::string(value->as_string())};
}

Result<std::optional<std::uint64_t>> optionalUnsigned(const json::object &object,
                                                      std::string_view field)
{
    const json::value *value = findField(object, field);
    if (!value)
        return std::optional<std::uint64_t>{};
    json::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    if (failure)
        return wrongType(field, "a non-negative integer");
    return std::optional<std::uint64_t>{number};
}

Result<std::optional<bool>> optionalBool(const json::object &object, std::string_view field)
{
    const json::value *value = findField(object, field);
    if (!value)
        return std::optional<bool>{};
    if (!value->is_bool())
        return wrongType(field, "true or false");
    return std::optional<bool>{value->as_bool()};
}

Result<std::string> requireString(const json::object &object, std::string_view field)
{
    BOOST_LEAF_AUTO(value, optionalString(object, field));
    if (!value)
        return wrongType(field, "present and a string");
    return std::move(*value);
}

Result<std::uint64_t> requireUnsigned(const json::object &object, std::string_view field)
{
    BOOST_LEAF_AUTO(value, optionalUnsigned(object, field));
    if (!value)
        return wrongType(field, "present and a non-negative integer");
    return *value;
}

std::string formatScalar(const json::value &value)
{
    if (value.is_string())
        return std::string(value.get_string());
    if (!value.is_double())
        return json::serialize(value);
    std::array<char, 32> digits{};
    const auto [end, failure] =
        std::to_chars(digits.data(), digits.data() + digits.size(), value.get_double());
    return failure == std::errc() ? std::string(digits.data(), end) : json::serialize(value);
}

std::string errorBody(const Error &error)
{
    json::object inner;
    inner["code"] =
        json::string_view(errorCodeName(error.code).data(), errorCodeName(error.code).size());
    inner["message"] = error.message;
    return json::serialize(json::object{{"error", std::move(inner)}});
}

unsigned httpStatusOf(ErrorCode code)
{
    // Indexed by ErrorCode.
    static constexpr std::array<unsigned, 13> statuses{
        400, 404, 409, 403, 401, 413, 503, 504, 410, 409, 503, 504, 500,
    };
    return statuses.at(static_cast<std::size_t>(code));
}

} // namespace pistachiowood
