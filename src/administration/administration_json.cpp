#include "administration/administration_json.h"

#include "base/json.h"

namespace pistachiowood {

namespace json = boost::json;

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

} // namespace pistachiowood
