#ifndef PISTACHIOWOOD_ADMINISTRATION_CHANGE_VALIDATION_H
#define PISTACHIOWOOD_ADMINISTRATION_CHANGE_VALIDATION_H

#include "configuration/configuration_store.h"

#include <pistachiowood/error.h>

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <vector>

namespace pistachiowood {

/// A change of one object before it is sent to the platform.
struct ProposedChange
{
    ObjectKind kind = ObjectKind::DatabaseService;
    std::string name;
    std::optional<ObjectValue> proposed; ///< nullopt: removal
};

struct ValidationLimits
{
    /// Connections of each endpoint that its owner leaves to other daemons.
    std::uint32_t reservedConnections = 6;
};

/// Checks a change against the configuration in force; InvalidArgument with the reason.
///
/// A change of an endpoint is refused for a selector only when it takes away the selector's last
/// match, so that the endpoints of a new service can be created in any order.
Result<void> validateChange(const ConfigurationView &view, const ProposedChange &change,
                            const ValidationLimits &limits);

/// Lines "- field: old" and "+ field: new", in order of the field names.
std::vector<std::string> diffObjects(const boost::json::object &stored,
                                     const boost::json::object &proposed);

} // namespace pistachiowood

#endif
