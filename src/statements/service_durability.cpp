#include "statements/service_durability.h"

#include "endpoints/endpoint_protocol.h"
#include "net/http.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds pollWait{1000};
constexpr Milliseconds pollSlack{500}; // beyond the wait, before the poll counts as lost
constexpr Milliseconds failedPollPause{50};
// Nearby replicas are polled first to keep bytes off the link between regions; the others join when
// a wait is older than this, several round trips inside a region.
constexpr Milliseconds widenAfter{30};

} // namespace

struct ServiceDurability::Private : public std::enable_shared_from_this<Private>
{
    struct Poll
    {
        std::unique_ptr<HttpConnection> connection;
        SocketAddress address;
        LogPosition seen;
        bool running = false;
        TimePoint notBefore;
    };

    Private(EventLoop &eventLoop, const Clock &steadyClock, Locality ownLocality)
        : loop(eventLoop)
        , clock(steadyClock)
        , locality(std::move(ownLocality))
        , tracker(steadyClock)
    {
    }

    // Replicas by distance, the nearest first.
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
        const bool isWide = !waits.empty() && clock.now() - oldestWait() > widenAfter;
        const std::size_t enough = routes->endpoints.size() / 2; // with the primary a majority
        const std::size_t count = isWide ? replicas.size() : std::min(enough, replicas.size());
        for (std::size_t i = 0; i < count; ++i)
            startPoll(replicas[i]->spec);
    }

    TimePoint oldestWait() const
    {
        TimePoint oldest = clock.now();
        for (const auto &[ticket, wait] : waits)
            oldest = std::min(oldest, wait.startedAt);
        return oldest;
    }

    void startPoll(const EndpointSpec &spec)
    {
        Poll &poll = polls[spec.id];
        if (poll.running || clock.now() < poll.notBefore)
            return;
        if (!poll.connection || poll.address != spec.address) {
            poll.connection = std::make_unique<HttpConnection>(
                loop, spec.address, &byteCounter(ConnectionClass::EndpointTraffic));
            poll.address = spec.address;
        }
        poll.running = true;
        poll.connection->send(encodePositionWait(routes->term, poll.seen, pollWait),
                              pollWait + pollSlack,
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
            poll.seen = report->position;
            // A replica in another term answers at once; asking again without a pause would spin.
            if (report->term != routes->term)
                poll.notBefore = clock.now() + failedPollPause;
            tracker.recordReport(id, *report);
            settle();
        } else {
            poll.notBefore = clock.now() + failedPollPause;
        }
        if (!waits.empty())
            startPolls();
    }

    void settle()
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

ServiceDurability::ServiceDurability(EventLoop &loop, const Clock &clock, Locality locality)
    : private_(std::make_shared<Private>(loop, clock, std::move(locality)))
{
}

ServiceDurability::~ServiceDurability() = default;

void ServiceDurability::setRoutes(std::shared_ptr<const ServiceRoutes> routes)
{
    private_->routes = std::move(routes);
    std::vector<EndpointId> members;
    for (const EndpointRoute &route : private_->routes->endpoints)
        members.push_back(route.spec.id);
    private_->tracker.setGroup(private_->routes->term, private_->routes->primary, members);
    private_->settle();
}

void ServiceDurability::report(const EndpointId &endpoint, const EndpointReport &report)
{
    private_->tracker.recordReport(endpoint, report);
    private_->settle();
}

void ServiceDurability::expectWrite()
{
    private_->startPolls();
}

void ServiceDurability::wait(Term term, LogPosition position, TimePoint deadline, Callback callback)
{
    const Ticket ticket(++private_->lastTicket);
    private_->waits.emplace(ticket, Private::Wait{std::move(callback), private_->clock.now()});
    private_->tracker.addWait(ticket, term, position, deadline);
    private_->startPolls();
    private_->settle();
}

bool ServiceDurability::isDurable(Term term, LogPosition position) const
{
    return private_->tracker.term() == term && private_->tracker.durablePosition() >= position;
}

void ServiceDurability::tick()
{
    private_->settle();
    if (!private_->waits.empty())
        private_->startPolls();
}

} // namespace pistachiowood
