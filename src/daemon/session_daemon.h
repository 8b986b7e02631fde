#ifndef PISTACHIOWOOD_DAEMON_SESSION_DAEMON_H
#define PISTACHIOWOOD_DAEMON_SESSION_DAEMON_H

#include "gateway/gateway.h"
#include "takeover/fleet_control.h"
#include "takeover/platform_store.h"

#include <pistachiowood/error.h>

#include <functional>
#include <memory>

namespace pistachiowood {

/// Accepts the connections of callers in their protocol and passes their sessions to a gateway.
class CallerListener
{
public:
    virtual ~CallerListener() = default;
    virtual Result<void> listen() = 0;
    /// Starts or refuses the sessions that waited until the gateway answers them.
    virtual void startWaitingSessions() = 0;
    virtual std::size_t openConnections() const = 0;
};

/// Answers the load balancer's readiness probes.
class ReadinessListener
{
public:
    virtual ~ReadinessListener() = default;
    virtual Result<void> listen() = 0;
    virtual void setReady(bool ready) = 0;
};

/// Factories of the platform-specific parts; each is called once, before the threads start.
struct PlatformFactories
{
    std::function<std::unique_ptr<PlatformStore>(EventLoop &control)> makeStore;
    std::function<std::unique_ptr<PromotionService>(EventLoop &control)> makePromotions;
    std::function<std::unique_ptr<ReadinessListener>(EventLoop &control)> makeReadiness;
    std::function<std::unique_ptr<EndpointDialer>(EventLoop &traffic)> makeDialer;
    std::function<std::unique_ptr<CallerListener>(EventLoop &traffic, Gateway &gateway)>
        makeCallers;
};

struct SessionDaemonSettings
{
    FleetSettings fleet;
    AllotmentSettings allotments;
    Milliseconds gracePeriod{6000}; ///< from shutdown() until the process is killed
};

/// Daemon for callers with long-lived sessions. Runs a control thread, a traffic thread and a
/// thread for the RPC between daemons.
class SessionDaemon
{
public:
    SessionDaemon(SessionDaemonSettings settings, PlatformFactories factories);
    ~SessionDaemon();

    /// Runs until a shutdown completes; returns an error when it cannot listen on an address.
    Result<void> run();
    /// Reports not ready to the load balancer, finishes running work and stops; may be called from
    /// any thread.
    void shutdown();
    /// Runs a task in the control thread; may be called from any thread.
    void post(std::function<void()> task);
    void setGracePeriod(Milliseconds gracePeriod);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
