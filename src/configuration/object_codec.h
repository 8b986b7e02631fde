#ifndef PISTACHIOWOOD_CONFIGURATION_OBJECT_CODEC_H
#define PISTACHIOWOOD_CONFIGURATION_OBJECT_CODEC_H

#include "configuration/objects.h"

#include <pistachiowood/error.h>

#include <string>
#include <string_view>
#include <variant>

namespace pistachiowood {

/// Kinds of objects on the platform, in the order of ObjectValue's alternatives.
enum class ObjectKind { DatabaseService, Endpoint, Proxy, Team, ServiceStatus };

using ObjectValue = std::variant<ServiceSpec, EndpointSpec, ProxySpec, TeamSpec, ServiceStatus>;

std::string_view objectKindName(ObjectKind kind);
Result<ObjectKind> parseObjectKind(std::string_view name);

inline ObjectKind kindOf(const ObjectValue &value)
{
    return static_cast<ObjectKind>(value.index());
}
/// Name under which the platform stores the object; the JSON body does not repeat it.
const std::string &objectName(const ObjectValue &value);

/// Decodes an object body. InvalidArgument: the message names the field and its range; unknown
/// fields and selectors with syntax errors are rejected too.
Result<ObjectValue> decodeObject(ObjectKind kind, std::string_view name, std::string_view text);

/// Writes every field, so that an object reads the same when a default changes later.
std::string encodeObject(const ObjectValue &value);

/// "host:port" with a numeric IPv4 host; `field` names the source in the error.
Result<SocketAddress> decodeAddress(std::string_view text, std::string_view field);

} // namespace pistachiowood

#endif
