#ifndef PISTACHIOWOOD_BASE_JSON_H
#define PISTACHIOWOOD_BASE_JSON_H

#include <pistachiowood/error.h>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowood {

/// Nesting limit for JSON from outside; deeper input is rejected.
inline constexpr std::size_t maxJsonDepth = 32;

/// Parses a JSON object; anything else is InvalidArgument.
Result<boost::json::object> parseJsonObject(std::string_view text);

/// Field readers: the error message names the field and the expected type.
Result<std::string> requireString(const boost::json::object &object, std::string_view field);
Result<std::uint64_t> requireUnsigned(const boost::json::object &object, std::string_view field);
Result<std::optional<std::string>> optionalString(const boost::json::object &object,
                                                  std::string_view field);
Result<std::optional<std::uint64_t>> optionalUnsigned(const boost::json::object &object,
                                                      std::string_view field);
Result<std::optional<bool>> optionalBool(const boost::json::object &object, std::string_view field);

/// Text for people: strings without quotes, doubles in their shortest form.
std::string formatScalar(const boost::json::value &value);

/// Body of an error answer: {"error":{"code":...,"message":...}}.
std::string errorBody(const Error &error);

/// HTTP status that stands for an error code.
unsigned httpStatusOf(ErrorCode code);

} // namespace pistachiowood

#endif
