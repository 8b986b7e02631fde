#ifndef PISTACHIOWOOD_ADMINISTRATION_ADMINISTRATION_JSON_H
#define PISTACHIOWOOD_ADMINISTRATION_ADMINISTRATION_JSON_H

#include "configuration/configuration_store.h"

#include <boost/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

boost::json::string toJson(std::string_view text);
boost::json::array toJson(const std::vector<std::string> &lines);
std::string quote(const std::string &text);

/// Fields as stored; an object that cannot be decoded is shown as it is. Null has no fields.
boost::json::object storedFields(const StoredObject *object);
/// Object with name, version and operation id, as the administration API shows it.
boost::json::object describeObject(const StoredObject &object);

} // namespace pistachiowood

#endif
