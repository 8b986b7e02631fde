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

/// Returns the fields of an object, with defaults filled in. The fields of an object that cannot be
/// decoded are returned as stored; nullptr has none.
boost::json::object storedFields(const StoredObject *object);
/// Returns name, version, operation id and fields, as the administration API shows an object.
boost::json::object describeObject(const StoredObject &object);

} // namespace pistachiowood

#endif
