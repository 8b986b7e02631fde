#ifndef PISTACHIOWOOD_CONFIGURATION_OBJECT_CODEC_H
#define PISTACHIOWOOD_CONFIGURATION_OBJECT_CODEC_H

#include "configuration/objects.h"

#include <pistachiowood/error.h>

#include <string>
#include <string_view>
#include <variant>

namespace pistachiowood {

/// Kinds of objects on the platform, in the order of the alternatives of ObjectValue.
enum class ObjectKind { DatabaseService, Endpoint, Proxy, Team, ServiceStatus };

using ObjectValue = std::variant<ServiceSpec, EndpointSpec, ProxySpec, TeamSpec, ServiceStatus>;

std::string_view objectKindName(ObjectKind kind);
Result<ObjectKind> parseObjectKind(std::string_view name);

inline ObjectKind kindOf(const ObjectValue &value)
{
    return static_cast<ObjectKind>(value.index());
}
/// Returns the name under which the platform stores the object. The JSON body does not contain it.
const std::string &objectName(const ObjectValue &value);

/// Decodes and validates an object body. Fails with InvalidArgument and a message that names the
/// field and its valid range. Unknown fields and selectors with syntax errors are rejected.
Result<ObjectValue> decodeObject(ObjectKind kind, std::string_view name, std::string_view text);

/// Encodes every field, including default values, so that a later change of a default does not
/// change stored objects.
std::string encodeObject(const ObjectValue &value);

/// Parses "host:port" with a numeric IPv4 host. The error message names `field`.
Result<SocketAddress> decodeAddress(std::string_view text, std::string_view field);

} // namespace pistachiowood

#endif
