#ifndef PISTACHIOWOOD_DAEMON_DAEMON_H
#define PISTACHIOWOOD_DAEMON_DAEMON_H

#include "daemon/daemon_settings.h"

#include <memory>

namespace pistachiowood {

/// The whole daemon: the control thread is the caller of run(), the traffic thread is started by
/// it.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();

    /// Runs until shutdown; an error means that an address could not be used.
    Result<void> run();
    /// Begins a graceful shutdown: new work is refused, running work finishes. Safe from any
    /// thread.
    void shutdown();

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
