#ifndef PISTACHIOWOOD_IDS_H
#define PISTACHIOWOOD_IDS_H

#include <pistachiowood/strong_value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace pistachiowood {

using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
using EndpointId = StrongValue<struct EndpointIdTag, std::string>;
using VmId = StrongValue<struct VmIdTag, std::string>;
using ZoneName = StrongValue<struct ZoneNameTag, std::string>;
using RegionName = StrongValue<struct RegionNameTag, std::string>;
using CustomerName = StrongValue<struct CustomerNameTag, std::string>;
using TeamName = StrongValue<struct TeamNameTag, std::string>;
using RequestId = StrongValue<struct RequestIdTag, std::string>;
using TransactionId = StrongValue<struct TransactionIdTag, std::string>;

/// Number of a primary's term in a database group, as in Raft; grows with each change of primary.
using Term = StrongValue<struct TermTag, std::uint64_t>;
/// Position of an entry in a group's log; 0 is the empty log.
using LogPosition = StrongValue<struct LogPositionTag, std::uint64_t>;
/// Version that the platform's object API assigns to each change.
using ResourceVersion = StrongValue<struct ResourceVersionTag, std::uint64_t>;
/// Distinguishes successive uses of the same connection slot.
using Generation = StrongValue<struct GenerationTag, std::uint64_t>;
/// Distinguishes successive runs of a daemon in the membership protocol; also grows when the daemon
/// refutes a suspicion.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;

/// IPv4 address and port of a process.
struct SocketAddress
{
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
    // Not defaulted: clang-tidy's modernize-use-nullptr reports the 0 in the generated body.
    friend auto operator<=>(const SocketAddress &left, const SocketAddress &right)
    {
        return std::tie(left.host, left.port) <=> std::tie(right.host, right.port);
    }
};

} // namespace pistachiowood

#endif
