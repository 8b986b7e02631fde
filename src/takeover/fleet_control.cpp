#include "takeover/fleet_control.h"

#include "base/log.h"
#include "takeover/link_traffic.h"

#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds tickInterval{50};
constexpr Milliseconds trafficLogInterval{10000}; // shorter than most faults, at one line each
// Longest time that a watch waits for a change. Watches are charged per call, and keep-alive probes
// detect a dead connection in the meantime.
constexpr Milliseconds maxWatchWait{20000};
constexpr Milliseconds viewPublishDelay{2}; // merges simultaneous changes into one view

// Fails if the record is stored under the name of another one.
template <typename Record>
Result<Record> requireName(Result<Record> record, const std::string &stored,
                           std::string (*nameOf)(const Record &))
{
    if (record && nameOf(*record) != stored)
        return makeError(ErrorCode::InvalidArgument, "the record is of " + nameOf(*record));
    return record;
}

std::string nameOfPrimaryRecord(const PrimaryRecord &record)
{
    return primaryRecordName(record.service);
}

std::string nameOfDaemonRecord(const DaemonRecord &record)
{
    return daemonRecordName(record.vm);
}

// Returns the decoded item, or nullopt.
template <typename Decode>
auto decodeItem(RefusedItems &refused, Decode decode, const StoredItem &item)
{
    using Value = typename ResultValue<decltype(decode())>::Type;
    const auto decoded = capture(decode);
    const auto *error = std::get_if<Error>(&decoded);
    if (!error)
        return std::optional<Value>(std::get<Value>(decoded));
    if (refused.add(item))
        logEvent(Event::EntryRefused, {{"name", item.name}, {"reason", error->message}});
    return std::optional<Value>();
}

} // namespace

FleetControl::FleetControl(EventLoop &loop, const Clock &clock, RandomSource &random,
                           FleetSettings settings, PlatformStore &store,
                           PromotionService &promotions, PeerChannel &peers, TrafficPort &traffic)
    : context_{loop, clock, random, std::move(settings), store, promotions, peers, traffic}
    , peers_(context_, {[this] { flushView(); },
                        [this](TimePoint now) { return replacements_.mayPromise(now); },
                        [this] { replacements_.stepAnnounced(); }})
    , replacements_(context_, peers_)
    , recovery_(context_, peers_, replacements_)
{
    const auto makeFeed = [&](ObjectGroup group, GroupFeed::Handlers handlers) {
        context_.feeds.at(static_cast<std::size_t>(group)) = std::make_unique<GroupFeed>(
            loop, clock, random, store, group, maxWatchWait, std::move(handlers));
    };
    makeFeed(ObjectGroup::Configuration, {[this] { handleConfiguration(); }, [](TimePoint) {}});
    makeFeed(ObjectGroup::Endpoints, {[this] { handleEndpoints(); }, [](TimePoint) {}});
    makeFeed(ObjectGroup::Records,
             {[this] { handleRecords(); }, [this](TimePoint at) { peers_.confirmByStore(at); }});
}

FleetControl::~FleetControl()
{
    *context_.alive = false;
}

void FleetControl::start()
{
    for (const auto &feed : context_.feeds)
        feed->start();
    tick(); // chooses the feeds that watch before the first lists are answered
    scheduleTrafficLog();
}

void FleetControl::scheduleTrafficLog()
{
    context_.loop.startTimer(trafficLogInterval, [this, alive = context_.alive] {
        if (!*alive)
            return;
        LinkTraffic::ofProcess().log();
        scheduleTrafficLog();
    });
}

void FleetControl::stopReplacements()
{
    replacements_.leave();
}

bool FleetControl::ready() const
{
    return context_.configuration && !context_.endpoints.endpoints().empty();
}

PeerReport FleetControl::handlePeerReport(const PeerReport &report)
{
    return peers_.handlePeerReport(report);
}

std::map<VmId, SocketAddress> FleetControl::otherDaemons()
{
    std::map<VmId, SocketAddress> others;
    for (const auto &[vm, member] : peers_.members().others())
        others.emplace(vm, member.record.address);
    return others;
}

void FleetControl::handleReachability(std::vector<PrimaryReachability> reachability)
{
    peers_.handleReachability(std::move(reachability));
}

void FleetControl::handleConfiguration()
{
    for (const auto &stored : context_.feed(ObjectGroup::Configuration).items()) {
        const std::string &name = stored.first;
        const StoredItem &item = stored.second;
        const auto decoded = capture([&] { return context_.store.decodeConfiguration(item); });
        if (const auto *error = std::get_if<Error>(&decoded)) {
            logEvent(Event::ObjectInvalid, {{"name", name}, {"reason", error->message}});
            continue;
        }
        const auto &configuration = std::get<DeploymentConfiguration>(decoded);
        if (context_.configuration && configuration.version <= context_.configuration->version) {
            if (configuration.version < context_.configuration->version)
                logEvent(Event::ConfigurationRefused,
                         {{"version", configuration.version},
                          {"in_force", context_.configuration->version},
                          {"revision", item.version.stored.revision.value()}});
            continue;
        }
        context_.configuration = configuration;
        logEvent(Event::ConfigurationApplied, {{"version", configuration.version}});
        scheduleView();
    }
}

void FleetControl::handleEndpoints()
{
    std::map<EndpointId, EndpointEntry> endpoints;
    for (const auto &stored : context_.feed(ObjectGroup::Endpoints).items()) {
        const StoredItem &item = stored.second;
        if (const auto entry = decodeItem(
                refusedEndpoints_, [&] { return context_.store.decodeEndpoint(item); }, item))
            endpoints.emplace(entry->id, *entry);
    }
    refusedEndpoints_.retain(context_.feed(ObjectGroup::Endpoints).items());
    context_.endpoints.update(endpoints, context_.clock.now());
    replacements_.noteLostLogs(context_.endpoints.takeLostLogs());
    scheduleView();
}

void FleetControl::handleRecords()
{
    std::map<VmId, DaemonRecord> members;
    std::map<VmId, DaemonRecord> removed;
    bool registered = false;
    replacements_.enterEra(context_.records().version().era);
    for (const auto &stored : context_.records().items()) {
        const StoredItem &item = stored.second;
        switch (recordKindOf(item.name)) {
        case RecordKind::Member:
            if (const auto member = decodeItem(
                    refusedRecords_,
                    [&] {
                        return requireName(decodeDaemonRecord(item.text), item.name,
                                           nameOfDaemonRecord);
                    },
                    item)) {
                if (member->vm == context_.settings.vm)
                    registered =
                        !member->removed && member->address == context_.settings.peerAddress;
                else
                    (member->removed ? removed : members).emplace(member->vm, *member);
            }
            break;
        case RecordKind::PromotionLease:
            if (const auto lease = decodeItem(
                    refusedRecords_, [&] { return decodePromotionLeaseRecord(item.text); }, item))
                replacements_.updateLeaseRecord(*lease, item.version.stored);
            else
                replacements_.handleUnreadableLeaseRecord(item.version.stored);
            break;
        case RecordKind::Primary:
            if (const auto record = decodeItem(
                    refusedRecords_,
                    [&] {
                        return requireName(decodePrimaryRecord(item.text), item.name,
                                           nameOfPrimaryRecord);
                    },
                    item))
                replacements_.updatePrimaryRecord(*record, item.version.stored);
            else
                replacements_.handleUnreadablePrimaryRecord(serviceOfPrimaryRecord(item.name),
                                                            item.version.stored);
            break;
        case RecordKind::RecoveredEra:
            if (const auto record = decodeItem(
                    refusedRecords_, [&] { return decodeRecoveredEraRecord(item.text); }, item))
                context_.recoveredEra = record->era;
            break;
        case RecordKind::Other:
            break;
        }
    }
    refusedRecords_.retain(context_.records().items());
    peers_.setMembers(members, removed, registered);
    scheduleView();
    // What was still kept of earlier eras was known to a minority of the daemons.
    if (context_.recordsRecovered())
        context_.records().dropCarried();
}

void FleetControl::scheduleView()
{
    if (std::exchange(viewScheduled_, true))
        return;
    context_.loop.startTimer(viewPublishDelay, [this, alive = context_.alive] {
        if (*alive && viewScheduled_)
            publishView();
    });
}

void FleetControl::flushView()
{
    if (viewScheduled_)
        publishView();
    // With no view in flight, the traffic thread has applied all records of the local copy.
    if (viewsInFlight_ == 0)
        peers_.noteAppliedRecords(context_.records().version());
}

unsigned FleetControl::distanceTo(const ZoneName &zone) const
{
    if (zone == context_.settings.zone)
        return 0;
    return context_.settings.regionOf(zone) == context_.settings.region ? 1 : 2;
}

void FleetControl::publishView()
{
    viewScheduled_ = false;
    if (!context_.configuration)
        return;
    auto view = std::make_shared<DeploymentView>();
    view->configurationVersion = context_.configuration->version;
    view->transactionIdleTimeout = context_.configuration->transactionIdleTimeout;
    view->customers = context_.configuration->customers;
    view->daemonCount = static_cast<unsigned>(peers_.members().otherCount() + 1);
    for (const DatabaseRoute &route : context_.configuration->routes)
        view->routes.emplace(route.database, route);
    for (const ServiceLimits &limits : context_.configuration->services) {
        ServiceView &service = view->services[limits.name];
        service.name = limits.name;
        service.maxConnections = limits.maxConnections;
        replacements_.fillPrimary(service);
    }
    for (const auto &[id, registered] : context_.endpoints.endpoints()) {
        const EndpointEntry &entry = registered.entry;
        const auto service = view->services.find(entry.service);
        if (service == view->services.end())
            continue;
        EndpointView &endpoint = service->second.endpoints.emplace_back();
        endpoint = {id, entry.address, entry.draining, distanceTo(entry.zone)};
        // The other half of the limit allows for the time until this daemon learned of the drain.
        if (registered.drainingSince)
            endpoint.acceptsStatementsUntil =
                *registered.drainingSince + context_.settings.drainLimit / 2;
    }
    ++viewsInFlight_;
    context_.traffic.setView(
        view, [this, alive = context_.alive, version = context_.records().version()] {
            if (!*alive)
                return;
            --viewsInFlight_;
            peers_.noteAppliedRecords(version);
        });
}

void FleetControl::tick()
{
    const TimePoint now = context_.clock.now();
    peers_.tick(now);
    recovery_.tick();
    replacements_.tick();
    if (context_.endpoints.expire(peers_.storeAnswersSince(now), now)) {
        replacements_.noteLostLogs(context_.endpoints.takeLostLogs());
        scheduleView();
    }
    context_.loop.startTimer(tickInterval, [this, alive = context_.alive] {
        if (*alive)
            tick();
    });
}

} // namespace pistachiowood
