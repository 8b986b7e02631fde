#ifndef PISTACHIOWOOD_BASE_JSON_H
#define PISTACHIOWOOD_BASE_JSON_H

#include <pistachiowood/error.h>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowood {

/// Maximum nesting depth of parsed JSON; deeper input is rejected.
inline constexpr std::size_t maxJsonDepth = 32;

/// Parses a JSON text of any kind; invalid or too deeply nested input fails with InvalidArgument.
Result<boost::json::value> parseJsonValue(std::string_view text);
/// Parses a JSON object; any other input fails with InvalidArgument.
Result<boost::json::object> parseJsonObject(std::string_view text);

/// Read a field of an object; the error message names the field and the expected type.
Result<std::string> requireString(const boost::json::object &object, std::string_view field);
Result<std::uint64_t> requireUnsigned(const boost::json::object &object, std::string_view field);
Result<std::optional<std::string>> optionalString(const boost::json::object &object,
                                                  std::string_view field);
Result<std::optional<std::uint64_t>> optionalUnsigned(const boost::json::object &object,
                                                      std::string_view field);
Result<std::optional<bool>> optionalBool(const boost::json::object &object, std::string_view field);

/// Formats a scalar for display: strings without quotes, doubles in their shortest form.
std::string formatScalar(const boost::json::value &value);

/// Body of an error answer: {"error":{"code":...,"message":...}}.
std::string errorBody(const Error &error);

/// HTTP status that corresponds to an error code.
unsigned httpStatusOf(ErrorCode code);

} // namespace pistachiowood

#endif
