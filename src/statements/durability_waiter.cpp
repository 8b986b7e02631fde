#include "statements/durability_waiter.h"

#include "endpoints/endpoint_protocol.h"
#include "net/http.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachiowood {

namespace {

// A replica without a newer position answers after this time.
constexpr Milliseconds longPollWait{1000};
// Added to longPollWait for the timeout of the request.
constexpr Milliseconds pollTimeoutMargin{500};
constexpr Milliseconds pollRetryDelay{50};
// At first only the nearest replicas that complete a majority are polled, to save traffic between
// regions. All are polled once a wait is older than this, several round trips within a region.
constexpr Milliseconds pollAllReplicasDelay{30};

} // namespace

struct DurabilityWaiter::Private : public std::enable_shared_from_this<Private>
{
    struct Poll
    {
        std::unique_ptr<HttpConnection> connection;
        SocketAddress address;
        LogPosition knownPosition;
        bool running = false;
        TimePoint nextPollTime;
    };

    Private(EventLoop &eventLoop, const Clock &steadyClock, Locality ownLocality)
        : loop(eventLoop)
        , clock(steadyClock)
        , locality(std::move(ownLocality))
        , tracker(steadyClock)
    {
    }

    // Sorted by distance, the nearest first.
    std::vector<const EndpointRoute *> listReplicas() const
    {
        std::vector<const EndpointRoute *> replicas;
        for (const EndpointRoute &route : routes->endpoints) {
            if (route.spec.id != routes->primary)
                replicas.push_back(&route);
        }
        std::stable_sort(replicas.begin(), replicas.end(),
                         [this](const auto *first, const auto *second) {
                             return distance(*first) < distance(*second);
                         });
        return replicas;
    }

    int distance(const EndpointRoute &route) const
    {
        if (route.spec.zone == locality.zone)
            return 0;
        return route.spec.region == locality.region ? 1 : 2;
    }

    void startPolls()
    {
        if (!routes || routes->primary.value().empty())
            return;
        const auto replicas = listReplicas();
        const bool pollsAllReplicas =
            !waits.empty() && clock.now() - findOldestWaitStart() > pollAllReplicasDelay;
        // The primary completes the majority.
        const std::size_t replicasForMajority = routes->endpoints.size() / 2;
        const std::size_t count =
            pollsAllReplicas ? replicas.size() : std::min(replicasForMajority, replicas.size());
        for (std::size_t i = 0; i < count; ++i)
            startPoll(replicas[i]->spec);
    }

    TimePoint findOldestWaitStart() const
    {
        TimePoint oldest = clock.now();
        for (const auto &[ticket, wait] : waits)
            oldest = std::min(oldest, wait.startedAt);
        return oldest;
    }

    void startPoll(const EndpointSpec &spec)
    {
        Poll &poll = polls[spec.id];
        if (poll.running || clock.now() < poll.nextPollTime)
            return;
        if (!poll.connection || poll.address != spec.address) {
            poll.connection = std::make_unique<HttpConnection>(
                loop, spec.address, &byteCounter(ConnectionClass::EndpointTraffic));
            poll.address = spec.address;
        }
        poll.running = true;
        poll.connection->send(encodePositionWait(routes->term, poll.knownPosition, longPollWait),
                              longPollWait + pollTimeoutMargin,
                              [weak = weak_from_this(), id = spec.id](const HttpOutcome &outcome) {
                                  if (const auto self = weak.lock())
                                      self->handlePoll(id, outcome);
                              });
    }

    void handlePoll(const EndpointId &id, const HttpOutcome &outcome)
    {
        Poll &poll = polls[id];
        poll.running = false;
        const auto decoded = capture([&] { return decodeReport(outcome); });
        if (const auto *report = std::get_if<EndpointReport>(&decoded)) {
            poll.knownPosition = report->position;
            // A replica in another term answers immediately, so polling it again without a delay
            // would be a busy loop.
            if (report->term != routes->term)
                poll.nextPollTime = clock.now() + pollRetryDelay;
            tracker.recordReport(id, *report);
            deliverResults();
        } else {
            poll.nextPollTime = clock.now() + pollRetryDelay;
        }
        if (!waits.empty())
            startPolls();
    }

    void deliverResults()
    {
        for (const DurabilityResult &result : tracker.takeResults()) {
            if (auto node = waits.extract(result.ticket))
                node.mapped().callback(result.durability, result.term);
        }
    }

    struct Wait
    {
        Callback callback;
        TimePoint startedAt;
    };

    EventLoop &loop;
    const Clock &clock;
    Locality locality;
    DurabilityTracker tracker;
    std::shared_ptr<const ServiceRoutes> routes;
    std::map<EndpointId, Poll> polls;
    std::map<Ticket, Wait> waits;
    std::uint64_t lastTicket = 0;
};

DurabilityWaiter::DurabilityWaiter(EventLoop &loop, const Clock &clock, Locality locality)
    : private_(std::make_shared<Private>(loop, clock, std::move(locality)))
{
}

DurabilityWaiter::~DurabilityWaiter() = default;

void DurabilityWaiter::setRoutes(std::shared_ptr<const ServiceRoutes> routes)
{
    private_->routes = std::move(routes);
    std::vector<EndpointId> members;
    for (const EndpointRoute &route : private_->routes->endpoints)
        members.push_back(route.spec.id);
    private_->tracker.setGroup(private_->routes->term, private_->routes->primary, members);
    private_->deliverResults();
}

void DurabilityWaiter::report(const EndpointId &endpoint, const EndpointReport &report)
{
    private_->tracker.recordReport(endpoint, report);
    private_->deliverResults();
}

void DurabilityWaiter::startPolling()
{
    private_->startPolls();
}

void DurabilityWaiter::wait(Term term, LogPosition position, TimePoint deadline, Callback callback)
{
    const Ticket ticket(++private_->lastTicket);
    private_->waits.emplace(ticket, Private::Wait{std::move(callback), private_->clock.now()});
    private_->tracker.addWait(ticket, term, position, deadline);
    private_->startPolls();
    private_->deliverResults();
}

bool DurabilityWaiter::isDurable(Term term, LogPosition position) const
{
    return private_->tracker.term() == term && private_->tracker.durablePosition() >= position;
}

void DurabilityWaiter::tick()
{
    private_->deliverResults();
    if (!private_->waits.empty())
        private_->startPolls();
}

} // namespace pistachiowood
