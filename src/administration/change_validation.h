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
    /// Connections of each endpoint that are reserved for daemons that do not own it.
    std::uint32_t reservedConnections = 6;
};

/// Validates a change against the applied configuration; InvalidArgument with the reason.
///
/// A change of an endpoint is refused because of a selector only when it removes the selector's
/// last match, so that the endpoints of a new service can be created in any order.
Result<void> validateChange(const ConfigurationView &view, const ProposedChange &change,
                            const ValidationLimits &limits);

/// Returns lines "- field: old" and "+ field: new" for the changed fields, ordered by field path.
std::vector<std::string> diffObjects(const boost::json::object &stored,
                                     const boost::json::object &proposed);

} // namespace pistachiowood

#endif
