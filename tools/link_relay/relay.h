#ifndef LINK_RELAY_RELAY_H
#define LINK_RELAY_RELAY_H

#include "net/event_loop.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <array>
#include <cstdint>
#include <memory>

namespace pistachiowood::relay {

/// Forward is from the connecting side to the target, except for pairs that were added in reverse.
enum Direction : std::size_t { Forward, Backward };

struct LinkSettings
{
    /// Bytes of a cut direction are held, as TCP would retransmit them after the cut, and both ends
    /// see silent connections. While either direction is cut, new connections do not reach the
    /// target.
    std::array<bool, 2> cut{};
    bool freeze = false; ///< like a cut of both directions, and nothing is accepted
    std::chrono::microseconds delay{0}; ///< one way
    double megabitsPerSecond = 0; ///< each way; 0 is unlimited
};

struct LinkCounters
{
    std::array<std::uint64_t, 2> deliveredBytes{};
    std::uint64_t acceptedConnections = 0;
    std::uint64_t openConnections = 0;
};

/// TCP relay for one link: all its address pairs share the delay, the rate and the faults.
class Relay
{
public:
    Relay(EventLoop &loop, const LinkSettings &settings);
    ~Relay();

    /// Returns the port; port 0 in the address picks a free one. With connectDirection Backward the
    /// bytes from the connecting side use the link's backward direction, so that connections opened
    /// from both ends of a link share it.
    Result<std::uint16_t> addPair(const SocketAddress &listen, const SocketAddress &target,
                                  Direction connectDirection = Forward);
    void apply(const LinkSettings &settings);
    const LinkSettings &settings() const;
    /// Closes all connections with a TCP reset.
    void resetConnections();
    LinkCounters counters() const;

    struct Private;

private:
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood::relay

#endif
