#include "daemon/session_daemon.h"

#include "allotments/allotment_exchange.h"
#include "base/log.h"
#include "rpc/peer_rpc.h"

#include <algorithm>
#include <thread>

namespace pistachiowood {

namespace {

// The load balancer probes once a second and removes a daemon after two failed probes.
constexpr Milliseconds balancerRemovalDelay{2200};
constexpr int drainDelayDivisor = 3; // draining starts within a third of the grace period
// The daemon stops this long before the end of the grace period, so that it is not killed.
constexpr Milliseconds exitReserve{500};
constexpr Milliseconds lastRepliesDelay{150}; // for sending replies and refusals
constexpr Milliseconds drainPollInterval{50};
constexpr Milliseconds readinessUpdateInterval{50};
constexpr Milliseconds allotmentTick{50}; // well below the delay of the first probe

} // namespace

struct SessionDaemon::Private final : public TrafficPort
{
    Private(SessionDaemonSettings daemonSettings, PlatformFactories platformFactories)
        : settings(std::move(daemonSettings))
        , factories(std::move(platformFactories))
        , random(drawSeed())
        , store(factories.makeStore(control))
        , promotions(factories.makePromotions(control))
        , readiness(factories.makeReadiness(control))
        , dialer(factories.makeDialer(traffic))
        , trafficRandom(drawSeed())
        , gateway(traffic, clock, trafficRandom, *dialer)
        , callers(factories.makeCallers(traffic, gateway))
        , peers(control,
                [this](const PeerReport &report) { return fleet->handlePeerReport(report); })
        , allotments(settings.fleet.vm, drawSeed() | 1, settings.allotments, clock, peers)
    {
        peers.setAllotmentHandler(
            [this](const AllotmentRequest &request) { return allotments.handleRequest(request); });
        gateway.admission().setSettings(settings.allotments);
        gateway.admission().setSender([this](std::vector<GroupNeeds> needs) {
            control.post([this, needs = std::move(needs)] { sendNeeds(needs); });
        });
        fleet = std::make_unique<FleetControl>(control, clock, random, settings.fleet, *store,
                                               *promotions, peers, *this);
    }

    void setView(std::shared_ptr<const DeploymentView> view,
                 std::function<void()> onApplied) override
    {
        allotments.setMembers(fleet->otherDaemons());
        allotments.setCustomers(view->customers);
        traffic.post([this, view = std::move(view), onApplied = std::move(onApplied)] {
            const bool wasConfigured = gateway.configured();
            gateway.setView(view);
            if (!wasConfigured)
                callers->startWaitingSessions();
            control.post(onApplied);
        });
    }

    void permitPrimaries(TimePoint until) override
    {
        traffic.post([this, until] { gateway.permitPrimaries(until); });
    }

    void recordPeerPosition(const ServiceName &service, std::uint64_t primaryEpoch,
                            PositionHistory::Sample sample) override
    {
        traffic.post([this, service, primaryEpoch, sample] {
            gateway.recordPeerPosition(service, primaryEpoch, sample);
        });
    }

    void setProbing(bool probing) override
    {
        traffic.post([this, probing] { gateway.setProbing(probing); });
    }

    void queryStatus(const ServiceName &service, const EndpointId &endpoint,
                     SessionStatement statement, Milliseconds timeout,
                     Gateway::StatusCallback callback) override
    {
        traffic.post([this, service, endpoint, statement = std::move(statement), timeout,
                      callback = std::move(callback)] {
            gateway.queryStatus(service, endpoint, statement, timeout,
                                [this, callback](auto status) {
                                    control.post([callback, status] { callback(status); });
                                });
        });
    }

    // Runs in the control thread.
    void sendNeeds(const std::vector<GroupNeeds> &needs)
    {
        allotments.send(
            needs, [this](std::vector<GroupGrants> answered, std::vector<unsigned> failed) {
                traffic.post([this, answered = std::move(answered), failed = std::move(failed)] {
                    gateway.admission().handleAnswer(answered, failed);
                });
            });
    }

    void updateAllotments()
    {
        allotments.tick();
        control.startTimer(allotmentTick, [this] { updateAllotments(); });
    }

    void updateReadiness()
    {
        readiness->setReady(!stopping && fleet->ready());
        control.startTimer(readinessUpdateInterval, [this] { updateReadiness(); });
    }

    void startShutdown()
    {
        if (std::exchange(stopping, true))
            return;
        logEvent(Event::DaemonDraining);
        readiness->setReady(false);
        fleet->stopReplacements();
        const Milliseconds drainDelay =
            std::min(balancerRemovalDelay, settings.gracePeriod / drainDelayDivisor);
        control.startTimer(drainDelay, [this] {
            traffic.post([this] {
                gateway.startDrain();
                pollDrain();
            });
        });
        control.startTimer(settings.gracePeriod / 2,
                           [this] { traffic.post([this] { gateway.abortTransactions(); }); });
        control.startTimer(std::max(settings.gracePeriod - exitReserve, settings.gracePeriod / 2),
                           [this] { traffic.post([this] { finishTraffic(); }); });
    }

    // Runs in the traffic thread, whose loop goes on until the replies are sent.
    void finishTraffic()
    {
        gateway.abandonStatements();
        callers->startWaitingSessions();
        traffic.startTimer(lastRepliesDelay, [this] { stopLoops(); });
    }

    void stopLoops()
    {
        control.stop();
        traffic.stop();
    }

    // Runs in the traffic thread.
    void pollDrain()
    {
        if (callers->openConnections() == 0) {
            stopLoops();
            return;
        }
        traffic.startTimer(drainPollInterval, [this] { pollDrain(); });
    }

    SessionDaemonSettings settings;
    PlatformFactories factories;
    BootClock clock;
    SeededRandom random;
    EventLoop control;
    EventLoop traffic;
    std::unique_ptr<PlatformStore> store;
    std::unique_ptr<PromotionService> promotions;
    std::unique_ptr<ReadinessListener> readiness;
    std::unique_ptr<EndpointDialer> dialer;
    SeededRandom trafficRandom; ///< used by the traffic thread only
    Gateway gateway;
    std::unique_ptr<CallerListener> callers;
    PeerRpc peers;
    AllotmentExchange allotments;
    std::unique_ptr<FleetControl> fleet;
    bool stopping = false;
};

SessionDaemon::SessionDaemon(SessionDaemonSettings settings, PlatformFactories factories)
    : private_(std::make_unique<Private>(std::move(settings), std::move(factories)))
{
}

SessionDaemon::~SessionDaemon() = default;

Result<void> SessionDaemon::run()
{
    Private &daemon = *private_;
    BOOST_LEAF_CHECK(daemon.readiness->listen());
    BOOST_LEAF_CHECK(daemon.callers->listen());
    BOOST_LEAF_CHECK(daemon.peers.listen(daemon.settings.fleet.peerAddress));
    daemon.gateway.start([&daemon](std::vector<PrimaryReachability> reachability) {
        daemon.control.post([&daemon, reachability = std::move(reachability)]() mutable {
            daemon.fleet->handleReachability(std::move(reachability));
        });
    });
    daemon.fleet->start();
    daemon.updateReadiness();
    daemon.updateAllotments();
    logEvent(Event::DaemonStarted, {{"vm", daemon.settings.fleet.vm.value()}});
    std::thread trafficThread([&daemon] { daemon.traffic.run(); });
    daemon.control.run();
    daemon.traffic.stop();
    trafficThread.join();
    logEvent(Event::DaemonStopped, {{"unanswered", daemon.gateway.runningStatements()}});
    return {};
}

void SessionDaemon::shutdown()
{
    private_->control.post([this] { private_->startShutdown(); });
}

void SessionDaemon::post(std::function<void()> task)
{
    private_->control.post(std::move(task));
}

void SessionDaemon::setGracePeriod(Milliseconds gracePeriod)
{
    private_->settings.gracePeriod = gracePeriod;
}

} // namespace pistachiowood
