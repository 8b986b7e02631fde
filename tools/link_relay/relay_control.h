#ifndef LINK_RELAY_RELAY_CONTROL_H
#define LINK_RELAY_RELAY_CONTROL_H

#include "link_relay/relay.h"

#include <memory>

namespace pistachiowood::relay {

/// HTTP control of a relay: POST /standin/link changes the link, GET shows settings and counters.
class RelayControl
{
public:
    RelayControl(EventLoop &loop, Relay &relay);
    ~RelayControl();

    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood::relay

#endif
