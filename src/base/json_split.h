#ifndef PISTACHIOWOOD_BASE_JSON_SPLIT_H
#define PISTACHIOWOOD_BASE_JSON_SPLIT_H

#include <pistachiowood/error.h>

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// Part of a JSON text, not decoded.
struct JsonMember
{
    std::string name;
    std::string_view value;
};

/// Members of an object. Members whose name cannot be decoded are left out.
class JsonMembers
{
public:
    explicit JsonMembers(std::vector<JsonMember> members)
        : members_(std::move(members))
    {
    }

    /// Text of the last member of that name; nullopt if there is none.
    std::optional<std::string_view> find(std::string_view name) const;

private:
    std::vector<JsonMember> members_;
};

/// Text of the member; fails if there is none.
Result<std::string_view> requireMember(const JsonMembers &members, std::string_view name);
/// The decoded member alone, as an object that holds nothing else. Fails if there is none or it
/// cannot be decoded.
Result<boost::json::object> decodeMember(const JsonMembers &members, std::string_view name);

/// Splits a JSON object into its members without decoding their values, so that a value that cannot
/// be decoded does not hide the others. A value may nest to any depth and hold any bytes as long as
/// its quotes are closed and each opening bracket has a closing one; otherwise the result is
/// InvalidArgument. The parts refer to `text`.
Result<JsonMembers> splitJsonObject(std::string_view text);
/// Splits a JSON array into its elements in the same way.
Result<std::vector<std::string_view>> splitJsonArray(std::string_view text);

} // namespace pistachiowood

#endif
