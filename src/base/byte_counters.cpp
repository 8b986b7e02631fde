#include "base/byte_counters.h"

#include <array>

namespace pistachiowood {

namespace {

constexpr std::array<std::string_view, connectionClassCount> names{
    "caller", "endpoint_traffic", "endpoint_control", "platform", "control_rpc", "traffic_rpc"};

} // namespace

std::string_view connectionClassName(ConnectionClass connectionClass)
{
    return names.at(static_cast<std::size_t>(connectionClass));
}

ByteCounter &byteCounter(ConnectionClass connectionClass)
{
    static std::array<ByteCounter, connectionClassCount> counters;
    return counters.at(static_cast<std::size_t>(connectionClass));
}

} // namespace pistachiowood
