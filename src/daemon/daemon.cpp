#include "daemon/daemon.h"

#include "daemon/admin_server.h"
#include "daemon/administration_adapter.h"

#include <pthread.h>

#include <future>
#include <thread>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds drainPollInterval{20};
// Lets the load balancer and the other daemons learn of the shutdown before the port closes.
constexpr Milliseconds leaveNoticeDelay{500};

} // namespace

struct Daemon::Private
{
    explicit Private(DaemonSettings daemonSettings)
        : settings(std::move(daemonSettings))
        , controlRandom(drawSeed())
        , trafficRandom(drawSeed())
        , control(controlLoop, clock, controlRandom, settings.control)
        , traffic(trafficLoop, clock, trafficRandom, settings.traffic)
        , metrics(settings.control.vm, clock)
        , adminBackend(control, [this] { controlLoop.post([this] { beginDrain(); }); })
        , adminApi(adminBackend, settings.adminCredentials, clock,
                   {.routing = settings.traffic.router.reads})
        , adminServer(controlLoop, adminApi, settings.adminCredentials,
                      [this](std::function<void(const TrafficStats &)> deliver) {
                          requestStats(std::move(deliver));
                      })
    {
        connectPlanes();
    }

    // The planes exchange immutable values, each posted to the other plane's event loop.
    void connectPlanes()
    {
        control.setTableHandler([this](std::shared_ptr<const RoutingTable> table) {
            trafficLoop.post([this, table = std::move(table)] { applyTable(table); });
            adminApi.handleConfiguration();
        });
        control.setReportHandler([this](const EndpointId &endpoint, const EndpointReport &report) {
            trafficLoop.post([this, endpoint, report] { traffic.observeReport(endpoint, report); });
            adminApi.observeReport(endpoint, report);
        });
        traffic.setStatusRequester([this](const ServiceName &service) {
            controlLoop.post([this, service] { control.requestStatus(service); });
        });
        traffic.setStatementObserver(
            [this](const StatementRequest &request, const StatementAnswer &answer,
                   Milliseconds latency) { metrics.record(request, answer, latency); });
    }

    void applyTable(const std::shared_ptr<const RoutingTable> &table)
    {
        traffic.setRoutingTable(table);
        ServiceMetrics::ObjectivesMap objectives;
        for (const auto &[name, routes] : table->services)
            objectives.emplace(name, routes->spec.objectives);
        metrics.setObjectives(std::move(objectives));
    }

    // Copies the statistics in the traffic thread and delivers them in the control thread.
    void requestStats(std::function<void(const TrafficStats &)> deliver)
    {
        trafficLoop.post([this, deliver = std::move(deliver)] {
            TrafficStats stats{metrics.snapshot(), {}};
            for (const auto &[endpoint, poolStats] : traffic.poolStats())
                stats.pools.push_back({traffic.serviceOf(endpoint), endpoint, poolStats});
            controlLoop.post([deliver, stats = std::move(stats)] { deliver(stats); });
        });
    }

    std::optional<Error> startTraffic()
    {
        std::promise<std::optional<Error>> started;
        trafficThread = std::thread([this, &started] {
            pthread_setname_np(pthread_self(), "traffic");
            const auto outcome = capture([this] { return traffic.start(); });
            const auto *error = std::get_if<Error>(&outcome);
            started.set_value(error ? std::optional(*error) : std::nullopt);
            if (!error)
                trafficLoop.run();
        });
        return started.get_future().get();
    }

    void beginDrain()
    {
        if (std::exchange(draining, true))
            return;
        logEvent(Event::DaemonDraining, {{"vm", settings.control.vm.value()}});
        control.leave();
        drainDeadline = clock.now() + settings.drainLimit;
        trafficLoop.post([this] { traffic.drain(); });
        controlLoop.startTimer(leaveNoticeDelay, [this] { pollDrain(); });
    }

    void pollDrain()
    {
        trafficLoop.post([this] {
            const bool idle = traffic.isIdle();
            controlLoop.post([this, idle] { handleDrainPoll(idle); });
        });
    }

    void handleDrainPoll(bool idle)
    {
        if (idle || clock.now() >= drainDeadline)
            controlLoop.stop();
        else
            controlLoop.startTimer(drainPollInterval, [this] { pollDrain(); });
    }

    SteadyClock clock;
    DaemonSettings settings;
    SeededRandom controlRandom;
    SeededRandom trafficRandom;
    EventLoop controlLoop;
    EventLoop trafficLoop;
    ControlPlane control;
    TrafficPlane traffic;
    ServiceMetrics metrics; ///< traffic thread
    AdministrationAdapter adminBackend;
    AdministrationApi adminApi;
    AdminServer adminServer;
    std::thread trafficThread;
    bool draining = false;
    TimePoint drainDeadline;
};

Daemon::Daemon(DaemonSettings settings)
    : private_(std::make_unique<Private>(std::move(settings)))
{
}

Daemon::~Daemon()
{
    private_->trafficLoop.stop();
    if (private_->trafficThread.joinable())
        private_->trafficThread.join();
}

Result<void> Daemon::run()
{
    if (const auto error = private_->startTraffic())
        return makeError(error->code, error->message);
    warnIfNoCredentials(private_->settings.adminCredentials);
    BOOST_LEAF_CHECK(private_->adminServer.listen(private_->settings.control.adminAddress));
    BOOST_LEAF_CHECK(private_->control.start());
    logEvent(Event::DaemonStarted,
             {{"vm", private_->settings.control.vm.value()},
              {"zone", private_->settings.control.zone.value()},
              {"callers", formatAddress(private_->settings.traffic.callerAddress)}});
    private_->controlLoop.run();
    logEvent(Event::DaemonStopped, {{"vm", private_->settings.control.vm.value()}});
    return {};
}

void Daemon::shutdown()
{
    private_->controlLoop.post([this] { private_->beginDrain(); });
}

} // namespace pistachiowood
