#ifndef PLATFORM_STANDIN_PLATFORM_SERVER_H
#define PLATFORM_STANDIN_PLATFORM_SERVER_H

#include "net/event_loop.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <memory>

namespace pistachiowood::platform {

struct PlatformOptions
{
    std::size_t eventHistory = 1000;
    Milliseconds vmListLag{5000};
    double maxWritesPerSecond = 300;
    double maxReadsPerSecond = 2000;
};

/// Serves the platform port and the fault controls.
class PlatformServer
{
public:
    PlatformServer(EventLoop &loop, const PlatformOptions &options);
    ~PlatformServer();

    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood::platform

#endif
