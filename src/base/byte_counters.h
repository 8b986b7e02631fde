#ifndef PISTACHIOWOOD_BASE_BYTE_COUNTERS_H
#define PISTACHIOWOOD_BASE_BYTE_COUNTERS_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pistachiowood {

/// Classes of connections whose traffic is counted separately.
enum class ConnectionClass {
    Caller,
    EndpointTraffic,
    EndpointControl,
    Platform,
    ControlRpc,
    TrafficRpc
};
inline constexpr std::size_t connectionClassCount = 6;

std::string_view connectionClassName(ConnectionClass connectionClass);

/// Payload bytes of one class of connections, without TCP and IP headers. Updated from any thread.
struct ByteCounter
{
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> messages{0}; ///< number of writes to a socket
};

/// Process-wide counter of a connection class.
ByteCounter &byteCounter(ConnectionClass connectionClass);

} // namespace pistachiowood

#endif
