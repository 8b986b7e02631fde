#ifndef PISTACHIOWOOD_DAEMON_DAEMON_H
#define PISTACHIOWOOD_DAEMON_DAEMON_H

#include "daemon/daemon_settings.h"

#include <memory>

namespace pistachiowood {

/// Daemon for HTTP callers. The thread that calls run() is the control thread; run() starts the
/// traffic thread.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();

    /// Runs until shutdown; returns an error when it cannot listen on an address.
    Result<void> run();
    /// Starts a graceful shutdown: new requests are refused, running ones finish. May be called
    /// from any thread.
    void shutdown();

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
