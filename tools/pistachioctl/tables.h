#ifndef PISTACHIOWOOD_PISTACHIOCTL_TABLES_H
#define PISTACHIOWOOD_PISTACHIOCTL_TABLES_H

#include <boost/json/object.hpp>

#include <ostream>

namespace pistachiowood::ctl {

/// Prints an answer of the administration API for people.
using Renderer = void (*)(const boost::json::object &body, std::ostream &output);

void renderObject(const boost::json::object &body, std::ostream &output);
void renderList(const boost::json::object &body, std::ostream &output);
void renderChange(const boost::json::object &body, std::ostream &output);
void renderStatus(const boost::json::object &body, std::ostream &output);
void renderInForce(const boost::json::object &body, std::ostream &output);
void renderHistory(const boost::json::object &body, std::ostream &output);
void renderExplain(const boost::json::object &body, std::ostream &output);

} // namespace pistachiowood::ctl

#endif
