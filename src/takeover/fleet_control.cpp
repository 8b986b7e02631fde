#include "takeover/fleet_control.h"

#include "base/log.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds tickPeriod{50};
// Waiting watches are priced by the call; keep-alive probes show a connection that has gone silent.
constexpr Milliseconds watchPeriod{20000};
// Confirmers ask the store, the others ask a confirmer; both together stay well below the period of
// a permission.
constexpr Milliseconds checkPeriod{500};
constexpr Milliseconds checkTimeout{1200};
constexpr Milliseconds objectsCheckInterval{1500}; // a change must be in force within 3 s
constexpr Milliseconds confirmerInterval{500};
constexpr std::size_t daemonsPerConfirmer = 16; // keeps a confirmer's load at 32 questions a second
constexpr unsigned confirmerMisses = 2; // after which a daemon asks the store itself
constexpr Milliseconds selfConfirmation{5000}; // for how long it does so
constexpr Milliseconds recentConfirmation{1700}; // older ones count as a miss
// Age of the confirmation at which the peers are asked although no call has failed.
constexpr Milliseconds confirmationAgeLimit{1900};
// A daemon with a newer confirmation passes that on instead of a promise, which keeps it from
// replacing primaries. Confirmations are at most 1.6 s old while the store answers.
constexpr Milliseconds promiseAge{1900};
constexpr std::size_t smallFleet = 12; // members up to which every daemon asks all others
constexpr Milliseconds largeFleetInterval{500};
constexpr Milliseconds exchangeInterval{300};
constexpr Milliseconds exchangeTimeout{600};
constexpr Milliseconds recordTimeout{1500}; // of a change of a record
constexpr Milliseconds promotionTimeout{1500};
constexpr Milliseconds surveyTimeout{700};
constexpr Milliseconds demotionTimeout{700};
// A change without an answer may be executed up to six seconds later.
constexpr Milliseconds lateExecution{8000};
// A daemon that has just joined is unknown to daemons that are cut off from the store.
constexpr Milliseconds newcomerDelay{5000};
// A VM without a sign of life for this long, and that misses as many exchanges, is taken out of the
// member records by one of the first daemons of its region.
constexpr Milliseconds lossLimit{4000};
constexpr Milliseconds lossCheckInterval{500};
constexpr unsigned lossFailures = 3;
constexpr std::size_t lossWatchers = 2;
constexpr Milliseconds reportLifetime{1000}; // after which a peer's evidence no longer counts
constexpr Milliseconds reachedLately{700}; // primaries are probed every 500 ms
constexpr Milliseconds failingLately{400};
// Entries that expired during an outage of the store are back two seconds after its end.
constexpr Milliseconds registrationsSettle{2500};
constexpr Milliseconds createDelay{300}; // between daemons that create a service's first record
constexpr Milliseconds viewDelay{2}; // merges changes that come together

std::size_t indexOf(ObjectGroup group)
{
    return static_cast<std::size_t>(group);
}

} // namespace

FleetControl::FleetControl(EventLoop &loop, const Clock &clock, RandomSource &random,
                           FleetSettings settings, PlatformStore &store,
                           PromotionService &promotions, PeerChannel &peers, TrafficPort &traffic)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , settings_(std::move(settings))
    , store_(store)
    , promotions_(promotions)
    , peers_(peers)
    , traffic_(traffic)
    , duty_(settings_.vm)
{
    const auto makeFeed = [&](ObjectGroup group, Milliseconds period,
                              GroupFeed::Handlers handlers) {
        feeds_.at(indexOf(group)) = std::make_unique<GroupFeed>(loop_, clock_, random_, store_,
                                                                group, period, std::move(handlers));
    };
    makeFeed(ObjectGroup::Configuration, watchPeriod,
             {[this] { handleConfiguration(); }, [](TimePoint) {}});
    makeFeed(ObjectGroup::Endpoints, watchPeriod,
             {[this] { handleEndpoints(); }, [](TimePoint) {}});
    makeFeed(ObjectGroup::Records, watchPeriod,
             {[this] { handleRecords(); }, [this](TimePoint at) { confirmRecords(at); }});
}

FleetControl::~FleetControl()
{
    *alive_ = false;
}

void FleetControl::start()
{
    for (const auto &feed : feeds_)
        feed->start();
    tick();
}

void FleetControl::leave()
{
    leaving_ = true;
}

bool FleetControl::ready() const
{
    return configuration_ && !endpoints_.empty();
}

void FleetControl::handleConfiguration()
{
    for (const auto &stored : feeds_.at(indexOf(ObjectGroup::Configuration))->items()) {
        const std::string &name = stored.first;
        const StoredItem &item = stored.second;
        const auto decoded = capture([&] { return store_.decodeConfiguration(item); });
        if (const auto *error = std::get_if<Error>(&decoded)) {
            logEvent(Event::ObjectInvalid, {{"name", name}, {"reason", error->message}});
            continue;
        }
        const auto &configuration = std::get<DeploymentConfiguration>(decoded);
        if (configuration_ && configuration.version <= configuration_->version)
            continue;
        configuration_ = configuration;
        logEvent(Event::ConfigurationApplied, {{"version", configuration.version}});
        scheduleView();
    }
}

void FleetControl::handleEndpoints()
{
    std::map<EndpointId, EndpointEntry> endpoints;
    for (const auto &stored : feeds_.at(indexOf(ObjectGroup::Endpoints))->items()) {
        const std::string &name = stored.first;
        const StoredItem &item = stored.second;
        const auto decoded = capture([&] { return store_.decodeEndpoint(item); });
        if (const auto *error = std::get_if<Error>(&decoded)) {
            logEvent(Event::ObjectRefused, {{"name", name}, {"reason", error->message}});
            continue;
        }
        const auto &entry = std::get<EndpointEntry>(decoded);
        endpoints.emplace(entry.id, entry);
    }
    std::erase_if(drainingSince_, [&](const auto &entry) {
        const auto found = endpoints.find(entry.first);
        return found == endpoints.end() || !found->second.draining;
    });
    for (const auto &[id, entry] : endpoints) {
        if (entry.draining)
            drainingSince_.try_emplace(id, clock_.now());
    }
    endpoints_ = std::move(endpoints);
    scheduleView();
}

void FleetControl::handleRecords()
{
    const TimePoint now = clock_.now();
    std::map<VmId, DaemonRecord> members;
    registered_ = false;
    for (const auto &stored : feeds_.at(indexOf(ObjectGroup::Records))->items()) {
        const std::string &name = stored.first;
        const StoredItem &item = stored.second;
        const RecordKind kind = recordKindOf(name);
        if (kind == RecordKind::Member) {
            const auto decoded = capture([&] { return decodeDaemonRecord(item.text); });
            const auto *member = std::get_if<DaemonRecord>(&decoded);
            if (!member)
                continue;
            if (member->vm == settings_.vm)
                registered_ = member->address == settings_.peerAddress;
            else
                members.emplace(member->vm, *member);
        } else if (kind == RecordKind::Duty) {
            const auto decoded = capture([&] { return decodeDutyRecord(item.text); });
            if (const auto *duty = std::get_if<DutyRecord>(&decoded))
                duty_.observe(*duty, item.version, now);
        } else if (kind == RecordKind::Service) {
            const auto decoded = capture([&] { return decodePrimaryRecord(item.text); });
            const auto *record = std::get_if<PrimaryRecord>(&decoded);
            if (!record)
                continue;
            ServiceState &state = services_[record->service];
            if (item.version <= state.recordVersion)
                continue;
            state.record = *record;
            state.recordVersion = item.version;
            state.recordSince = now;
            logEvent(record->replacing ? Event::PromotionStarted : Event::PrimaryRecorded,
                     {{"service", record->service.value()},
                      {"primary", record->primary.value()},
                      {"by", record->changedBy.value()},
                      {"version", item.version.value()}});
        }
    }
    const bool removed = std::any_of(members_.begin(), members_.end(), [&](const auto &entry) {
        return members.count(entry.first) == 0;
    });
    if (removed)
        memberRemovedAt_ = now;
    members_ = std::move(members);
    for (const auto &[vm, member] : members_)
        peerStates_.try_emplace(vm, PeerState{.receivedAt = now});
    std::erase_if(peerStates_, [&](const auto &entry) { return members_.count(entry.first) == 0; });
    chooseConfirmers();
    scheduleView();
}

// Every daemon computes the same confirmers from the member records.
void FleetControl::chooseConfirmers()
{
    const auto weight = [](const VmId &vm) {
        return XXH64(vm.value().data(), vm.value().size(), 0);
    };
    std::vector<VmId> region{settings_.vm};
    for (const auto &[vm, member] : members_) {
        if (member.region == settings_.region)
            region.push_back(vm);
    }
    std::sort(region.begin(), region.end(),
              [&](const VmId &left, const VmId &right) { return weight(left) < weight(right); });
    regionMembers_ = region;
    const std::size_t count = (region.size() + daemonsPerConfirmer - 1) / daemonsPerConfirmer;
    const auto place = static_cast<std::size_t>(
        std::find(region.begin(), region.end(), settings_.vm) - region.begin());
    confirmation_.self = place < count;
    confirmation_.next = place % count;
    region.resize(count);
    confirmation_.confirmers = std::move(region);
    traffic_.setProbing(confirmation_.self);
}

void FleetControl::confirmRecords(TimePoint at)
{
    // A daemon that is not a member is not waited for when a primary is replaced.
    if (!registered_)
        return;
    permission_.confirm(at);
    // A view with the newest records must reach the traffic thread before the permission does.
    if (viewScheduled_)
        publishView();
    // Without a view on its way, the traffic thread obeys all that the copy holds.
    if (viewsOnTheWay_ == 0)
        obeyedRecords_ =
            std::max(obeyedRecords_, feeds_.at(indexOf(ObjectGroup::Records))->version());
    const auto expiry = permission_.expiresAt();
    if (expiry && expiry != sentPermission_) {
        sentPermission_ = expiry;
        traffic_.permitPrimaries(*expiry);
    }
}

void FleetControl::scheduleView()
{
    if (std::exchange(viewScheduled_, true))
        return;
    loop_.startTimer(viewDelay, [this, alive = alive_] {
        if (*alive && viewScheduled_)
            publishView();
    });
}

unsigned FleetControl::distanceTo(const ZoneName &zone) const
{
    if (zone == settings_.zone)
        return 0;
    const auto region = settings_.regions.find(zone);
    return region != settings_.regions.end() && region->second == settings_.region ? 1 : 2;
}

void FleetControl::publishView()
{
    viewScheduled_ = false;
    if (!configuration_)
        return;
    auto view = std::make_shared<DeploymentView>();
    view->configurationVersion = configuration_->version;
    view->recordsVersion = feeds_.at(indexOf(ObjectGroup::Records))->version().value();
    view->transactionIdle = configuration_->transactionIdle;
    view->daemons = static_cast<unsigned>(members_.size() + 1);
    for (const DatabaseRoute &route : configuration_->routes)
        view->routes.emplace(route.database, route);
    for (const ServiceLimits &limits : configuration_->services) {
        ServiceView &service = view->services[limits.name];
        service.name = limits.name;
        service.maxConnections = limits.maxConnections;
        if (const auto state = services_.find(limits.name);
            state != services_.end() && state->second.record) {
            service.replacing = state->second.record->replacing;
            if (!service.replacing)
                service.primary = state->second.record->primary;
            service.primaryEpoch = state->second.recordVersion.value();
        }
    }
    for (const auto &[id, entry] : endpoints_) {
        const auto service = view->services.find(entry.service);
        if (service == view->services.end())
            continue;
        EndpointView &endpoint = service->second.endpoints.emplace_back();
        endpoint = {id, entry.address, entry.slots, entry.draining, distanceTo(entry.zone)};
        // Half of the limit covers the time until this daemon learnt of it.
        if (const auto since = drainingSince_.find(id); since != drainingSince_.end())
            endpoint.closedFrom = since->second + settings_.drainLimit / 2;
    }
    ++viewsOnTheWay_;
    traffic_.setView(view, [this, alive = alive_, version = view->recordsVersion] {
        if (!*alive)
            return;
        --viewsOnTheWay_;
        obeyedRecords_ = std::max(obeyedRecords_, ResourceVersion(version));
    });
}

void FleetControl::handleEvidence(std::vector<PrimaryEvidence> evidence)
{
    evidence_.clear();
    for (PrimaryEvidence &entry : evidence)
        evidence_[entry.service] = std::move(entry);
}

const PrimaryEvidence *FleetControl::ownEvidence(const ServiceName &service) const
{
    const auto found = evidence_.find(service);
    return found == evidence_.end() ? nullptr : &found->second;
}

void FleetControl::tick()
{
    const TimePoint now = clock_.now();
    registerSelf();
    tickConfirmation(now);
    tickPeers(now);
    removeLostMembers(now);
    if (configuration_ && feeds_.at(indexOf(ObjectGroup::Records))->loaded()) {
        for (const ServiceLimits &service : configuration_->services)
            tickService(service, services_[service.name]);
    }
    loop_.startTimer(tickPeriod, [this, alive = alive_] {
        if (*alive)
            tick();
    });
}

void FleetControl::registerSelf()
{
    const auto &records = *feeds_.at(indexOf(ObjectGroup::Records));
    if (registered_ || registering_ || !records.loaded() || records.failing())
        return;
    registering_ = true;
    const std::string name = daemonRecordName(settings_.vm);
    const auto known = records.items().find(name);
    std::optional<ResourceVersion> expected;
    if (known != records.items().end())
        expected = known->second.version;
    else
        registeredAt_ = clock_.now();
    const std::string text =
        encodeDaemonRecord({settings_.vm, settings_.region, settings_.peerAddress});
    store_.putRecord(
        name, expected, text, recordTimeout,
        [this, alive = alive_, name, text](const auto &outcome) {
            if (!*alive)
                return;
            registering_ = false;
            if (const auto *version = std::get_if<ResourceVersion>(&outcome)) {
                feeds_.at(indexOf(ObjectGroup::Records))->takeOwnChange({name, *version, text});
            }
        });
}

void FleetControl::tickConfirmation(TimePoint now)
{
    if (!feeds_.at(indexOf(ObjectGroup::Records))->loaded())
        return;
    if (confirmation_.self || now < confirmation_.selfUntil)
        checkRecords(now);
    else if (now - confirmation_.lastAsked >= confirmerInterval)
        askConfirmer(now);
}

void FleetControl::checkRecords(TimePoint now)
{
    auto &records = *feeds_.at(indexOf(ObjectGroup::Records));
    if (confirmation_.checking || now - confirmation_.lastAsked < tickPeriod)
        return;
    confirmation_.checking = true;
    confirmation_.lastAsked = now;
    if (now - confirmation_.lastObjects >= objectsCheckInterval) {
        confirmation_.lastObjects = now;
        checkObjects(ObjectGroup::Configuration);
        checkObjects(ObjectGroup::Endpoints);
    }
    store_.check(ObjectGroup::Records, records.version(), checkPeriod, checkTimeout,
                 [this, alive = alive_, now](const StoreOutcome<GroupChanges> &outcome) {
                     if (!*alive)
                         return;
                     confirmation_.checking = false;
                     const auto *changes = std::get_if<GroupChanges>(&outcome);
                     recordsReachable_ = changes != nullptr;
                     if (!changes)
                         return;
                     auto &feed = *feeds_.at(indexOf(ObjectGroup::Records));
                     feed.takeChanges(*changes);
                     if (feed.version() >= changes->version)
                         confirmRecords(now);
                 });
}

// A watch may hear nothing for long; the other daemons learn of the change from the confirmers.
void FleetControl::checkObjects(ObjectGroup group)
{
    auto &feed = *feeds_.at(indexOf(group));
    if (!feed.loaded())
        return;
    store_.check(group, feed.version(), Milliseconds(0), checkTimeout,
                 [this, alive = alive_, group](const StoreOutcome<GroupChanges> &outcome) {
                     if (!*alive)
                         return;
                     if (const auto *changes = std::get_if<GroupChanges>(&outcome))
                         feeds_.at(indexOf(group))->takeChanges(*changes);
                 });
}

void FleetControl::askConfirmer(TimePoint now)
{
    confirmation_.lastAsked = now;
    const auto &confirmed = permission_.confirmedAt();
    if (!confirmed || now - *confirmed > recentConfirmation) {
        ++confirmation_.next;
        if (++confirmation_.misses >= confirmerMisses) {
            confirmation_.misses = 0;
            confirmation_.selfUntil = now + selfConfirmation;
            checkRecords(now + tickPeriod);
        }
    } else {
        confirmation_.misses = 0;
    }
    const VmId &vm =
        confirmation_.confirmers.at(confirmation_.next % confirmation_.confirmers.size());
    if (const auto member = members_.find(vm); member != members_.end())
        exchangeWith(vm, member->second.address, false, nullptr);
}

void FleetControl::tickPeers(TimePoint now)
{
    const auto &records = *feeds_.at(indexOf(ObjectGroup::Records));
    const auto confirmed = permission_.confirmedAt();
    const bool old = !confirmed || now - *confirmed > confirmationAgeLimit;
    if (recordsReachable_ && !records.failing() && !(old && records.loaded()))
        return;
    const bool small = members_.size() <= smallFleet;
    if (now - lastExchange_ < (small ? exchangeInterval : largeFleetInterval))
        return;
    // In a large fleet only the confirmers collect the promises of all; the others ask some peers,
    // so that an outage does not fill the links.
    if (small || confirmation_.self)
        exchangeWithAll(true);
    else
        exchangeWithSome();
}

// A VM that is gone for good would delay each replacement and void the promises of the others. The
// daemon that is removed by mistake finds its record missing and registers again.
void FleetControl::removeLostMembers(TimePoint now)
{
    const auto &records = *feeds_.at(indexOf(ObjectGroup::Records));
    const auto watchers = std::min(regionMembers_.size(), lossWatchers);
    const bool watching =
        std::find(regionMembers_.begin(),
                  regionMembers_.begin() + static_cast<std::ptrdiff_t>(watchers), settings_.vm)
        != regionMembers_.begin() + static_cast<std::ptrdiff_t>(watchers);
    const bool storeSettled = !records.failing() && recordsReachable_ && records.healthySince()
                              && now - *records.healthySince() > lossLimit;
    if (!watching || !storeSettled || now - lastLossCheck_ < lossCheckInterval)
        return;
    lastLossCheck_ = now;
    for (const VmId &vm : regionMembers_) {
        const auto state = peerStates_.find(vm);
        const auto member = members_.find(vm);
        if (state == peerStates_.end() || member == members_.end()
            || now - state->second.receivedAt < lossLimit)
            continue;
        if (state->second.failures >= lossFailures)
            removeMember(vm);
        else
            exchangeWith(vm, member->second.address, false, nullptr);
    }
}

void FleetControl::removeMember(const VmId &vm)
{
    if (std::exchange(peerStates_[vm].removing, true))
        return;
    logEvent(Event::MemberDead, {{"vm", vm.value()}});
    store_.deleteRecord(daemonRecordName(vm), recordTimeout,
                        [this, alive = alive_, vm](const auto &) {
                            // The watch shows whether the record is gone.
                            if (*alive && peerStates_.count(vm) > 0)
                                peerStates_[vm].removing = false;
                        });
}

void FleetControl::exchangeWithAll(bool wantPromise)
{
    lastExchange_ = clock_.now();
    std::shared_ptr<PromiseRound> round;
    if (wantPromise) {
        round = std::make_shared<PromiseRound>();
        round->startedAt = lastExchange_;
        round->asked = members_.size();
    }
    for (const auto &[vm, member] : members_)
        exchangeWith(vm, member.address, wantPromise, round);
    if (!members_.empty())
        return;
    for (const SocketAddress &seed : settings_.seeds) {
        if (seed != settings_.peerAddress)
            exchangeWith(VmId(), seed, false, nullptr);
    }
}

void FleetControl::exchangeWithSome()
{
    lastExchange_ = clock_.now();
    const VmId &confirmer =
        confirmation_.confirmers.at(random_.below(confirmation_.confirmers.size()));
    const auto chosen = members_.find(confirmer);
    if (chosen != members_.end())
        exchangeWith(confirmer, chosen->second.address, false, nullptr);
    auto other = members_.begin();
    std::advance(other, static_cast<std::ptrdiff_t>(random_.below(members_.size())));
    exchangeWith(other->first, other->second.address, false, nullptr);
}

void FleetControl::exchangeWith(const VmId &vm, const SocketAddress &address, bool wantPromise,
                                std::shared_ptr<PromiseRound> round)
{
    PeerState &state = peerStates_[vm];
    if (!vm.value().empty() && std::exchange(state.exchanging, true))
        return;
    PeerReport report = makeReport();
    report.promise = wantPromise;
    // Copies go with answers; only an announcement is worth sending unasked.
    const bool tells = round == nullptr && state.report
                       && state.report->versions.at(indexOf(ObjectGroup::Records))
                              < feeds_.at(indexOf(ObjectGroup::Records))->contentVersion();
    if (tells) {
        report.copies.push_back(
            {ObjectGroup::Records, feeds_.at(indexOf(ObjectGroup::Records))->snapshot()});
    }
    const TimePoint sentAt = clock_.now();
    peers_.exchange(address, report, exchangeTimeout,
                    [this, alive = alive_, vm, sentAt, round](const auto &outcome) {
                        if (!*alive)
                            return;
                        const auto *answer = std::get_if<PeerReport>(&outcome);
                        if (const auto known = peerStates_.find(vm); known != peerStates_.end()) {
                            known->second.exchanging = false;
                            known->second.failures = answer ? 0 : known->second.failures + 1;
                        }
                        if (!answer)
                            return;
                        takeReport(*answer, sentAt, true);
                        for (const auto &[service, serviceState] : services_) {
                            if (serviceState.replacement && serviceState.replacement->announced())
                                stepSoon(service);
                        }
                        if (!round || !answer->promise || ++round->promised < round->asked)
                            return;
                        // No daemon reaches the store, and none will announce a replacement for
                        // the period of a permission.
                        const TimePoint now = clock_.now();
                        if (mayPromise(now)) {
                            promisedUntil_ = now + PrimaryPermission::period;
                            confirmRecords(round->startedAt);
                        }
                    });
}

PeerReport FleetControl::makeReport() const
{
    const TimePoint now = clock_.now();
    PeerReport report;
    report.vm = settings_.vm;
    for (std::size_t i = 0; i < objectGroupCount; ++i)
        report.versions.at(i) = feeds_.at(i)->contentVersion();
    report.obeyedRecords = obeyedRecords_;
    if (const auto confirmed = permission_.confirmedAt())
        report.confirmedAge = std::chrono::ceil<Milliseconds>(now - *confirmed);
    for (const auto &[service, evidence] : evidence_) {
        PrimaryReport primary{.service = service,
                              .endpoint = evidence.endpoint,
                              .primaryEpoch = evidence.primaryEpoch};
        if (const auto &sample = evidence.newestPosition) {
            primary.position = sample->position;
            primary.positionAge = std::chrono::ceil<Milliseconds>(now - sample->askedAt);
        }
        if (evidence.lastReply)
            primary.replyAge = std::chrono::duration_cast<Milliseconds>(now - *evidence.lastReply);
        if (evidence.failingSince)
            primary.failingAge =
                std::chrono::duration_cast<Milliseconds>(now - *evidence.failingSince);
        report.primaries.push_back(std::move(primary));
    }
    return report;
}

std::vector<GroupCopy> FleetControl::copiesFor(const PeerReport &peer) const
{
    std::vector<GroupCopy> copies;
    for (std::size_t i = 0; i < objectGroupCount; ++i) {
        const auto &feed = *feeds_.at(i);
        if (feed.loaded() && feed.contentVersion() > peer.versions.at(i))
            copies.push_back({static_cast<ObjectGroup>(i), feed.snapshot()});
    }
    return copies;
}

void FleetControl::takeReport(const PeerReport &report, TimePoint sentAt, bool answer)
{
    for (const GroupCopy &copy : report.copies)
        feeds_.at(indexOf(copy.group))->takeSnapshot(copy.snapshot);
    if (report.vm != settings_.vm && members_.count(report.vm) > 0) {
        PeerState &state = peerStates_[report.vm];
        state.report = report;
        state.report->copies.clear();
        state.receivedAt = clock_.now();
    }
    for (const PrimaryReport &primary : report.primaries) {
        if (answer && primary.position) {
            traffic_.recordPeerPosition(primary.service, primary.primaryEpoch,
                                        {sentAt - primary.positionAge, *primary.position});
        }
    }
    // The sender's confirmation covers this daemon only if its records are as new.
    const std::size_t records = indexOf(ObjectGroup::Records);
    if (answer && report.confirmedAge
        && feeds_.at(records)->contentVersion() >= report.versions.at(records))
        confirmRecords(sentAt - *report.confirmedAge);
}

bool FleetControl::mayPromise(TimePoint now) const
{
    const auto confirmed = permission_.confirmedAt();
    const bool old = !confirmed || now - *confirmed > promiseAge;
    const bool replacing = std::any_of(services_.begin(), services_.end(), [](const auto &entry) {
        return entry.second.replacement && entry.second.replacement->announced();
    });
    return old && !replacing && now >= announcementUncertainUntil_;
}

// A peer that misses a primary wants to know whether it answers here.
void FleetControl::probeFor(const PeerReport &report)
{
    for (const PrimaryReport &primary : report.primaries) {
        const PrimaryEvidence *own = ownEvidence(primary.service);
        const bool recent =
            own && own->lastReply && clock_.now() - *own->lastReply < reachedLately / 2;
        if (!primary.failingAge || recent)
            continue;
        traffic_.queryStatus(primary.service, primary.endpoint, {.verb = Verb::Status},
                             surveyTimeout, [](const std::optional<ReplicationStatus> &) {});
    }
}

PeerReport FleetControl::handlePeerReport(const PeerReport &report)
{
    takeReport(report, clock_.now(), false);
    probeFor(report);
    PeerReport answer = makeReport();
    answer.copies = copiesFor(report);
    const TimePoint now = clock_.now();
    if (report.promise && mayPromise(now)) {
        answer.promise = true;
        promisedUntil_ = now + PrimaryPermission::period;
    }
    return answer;
}

unsigned FleetControl::rankFor(const ServiceName &service) const
{
    const auto weight = [&](const VmId &vm) {
        const std::string key = service.value() + "/" + vm.value();
        return XXH64(key.data(), key.size(), 0);
    };
    const auto own = weight(settings_.vm);
    return static_cast<unsigned>(
        std::count_if(members_.begin(), members_.end(),
                      [&](const auto &member) { return weight(member.first) < own; }));
}

void FleetControl::tickService(const ServiceLimits &service, ServiceState &state)
{
    if (!state.record) {
        createRecord(service, state);
        return;
    }
    if (!state.replacement)
        state.replacement = std::make_unique<PrimaryReplacement>(service.name, settings_.vm);
    if (leaving_ && !state.replacement->announced())
        return; // others begin what is due
    if (const auto command = state.replacement->step(collectInput(service, state)))
        execute(service.name, *command);
}

// Goes on with a replacement without waiting for the next tick.
void FleetControl::stepSoon(const ServiceName &service)
{
    loop_.post([this, alive = alive_, service] {
        if (!*alive || !configuration_)
            return;
        for (const ServiceLimits &limits : configuration_->services) {
            if (limits.name == service)
                tickService(limits, services_[service]);
        }
    });
}

void FleetControl::createRecord(const ServiceLimits &service, ServiceState &state)
{
    const TimePoint now = clock_.now();
    const auto primary = std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto &entry) {
        return entry.second.service == service.name && entry.second.primary;
    });
    const auto &records = *feeds_.at(indexOf(ObjectGroup::Records));
    if (primary == endpoints_.end() || records.failing() || state.creating) {
        state.missingSince = now;
        return;
    }
    if (now - state.missingSince < createDelay * rankFor(service.name))
        return;
    state.creating = true;
    const PrimaryRecord record{service.name, primary->first, false, settings_.vm, 0};
    const std::string text = encodePrimaryRecord(record);
    const std::string name = primaryRecordName(service.name);
    store_.putRecord(
        name, std::nullopt, text, recordTimeout,
        [this, alive = alive_, name, text,
         service = service.name](const StoreOutcome<ResourceVersion> &outcome) {
            if (!*alive)
                return;
            services_[service].creating = false;
            if (const auto *version = std::get_if<ResourceVersion>(&outcome)) {
                feeds_.at(indexOf(ObjectGroup::Records))->takeOwnChange({name, *version, text});
            }
        });
}

bool FleetControl::allWithdrawn(ResourceVersion version) const
{
    if (obeyedRecords_ < version)
        return false;
    // A daemon whose record was removed lately may still rely on its last confirmation.
    if (memberRemovedAt_ && clock_.now() - *memberRemovedAt_ < PrimaryPermission::period)
        return false;
    return std::all_of(members_.begin(), members_.end(), [&](const auto &member) {
        const auto state = peerStates_.find(member.first);
        return state != peerStates_.end() && state->second.report
               && state->second.report->obeyedRecords >= version;
    });
}

ReplacementInput FleetControl::collectInput(const ServiceLimits &service,
                                            const ServiceState &state) const
{
    const TimePoint now = clock_.now();
    ReplacementInput input;
    input.now = now;
    input.record = state.record;
    input.recordVersion = state.recordVersion;
    input.recordSince = state.recordSince;
    input.syncReplicas = service.syncReplicas;
    std::map<RegionName, unsigned> regionShares;
    const auto regionOf = [&](const EndpointEntry &entry) {
        const auto found = settings_.regions.find(entry.zone);
        return found == settings_.regions.end() ? RegionName() : found->second;
    };
    for (const auto &[id, entry] : endpoints_) {
        if (entry.service == service.name)
            ++regionShares[regionOf(entry)];
    }
    for (const auto &[id, entry] : endpoints_) {
        if (entry.service == service.name)
            input.candidates.push_back({id, entry.draining, regionShares[regionOf(entry)]});
    }
    const auto &endpoints = *feeds_.at(indexOf(ObjectGroup::Endpoints));
    input.registrationsCurrent = !endpoints.failing() && endpoints.healthySince()
                                 && now - *endpoints.healthySince() > registrationsSettle;
    const PrimaryEvidence *own = ownEvidence(service.name);
    if (own && own->endpoint == state.record->primary)
        input.primaryFailingSince = own->failingSince;
    input.peersAsked = static_cast<unsigned>(members_.size());
    for (const auto &[vm, peer] : peerStates_) {
        if (!peer.report || now - peer.receivedAt > reportLifetime)
            continue;
        for (const PrimaryReport &primary : peer.report->primaries) {
            if (primary.service != service.name || primary.endpoint != state.record->primary)
                continue;
            if (primary.failingAge && *primary.failingAge >= failingLately)
                ++input.peersFailing;
            else if (primary.replyAge && *primary.replyAge <= reachedLately)
                ++input.peersReaching;
        }
    }
    const bool newcomer = registeredAt_ && now - *registeredAt_ < newcomerDelay;
    input.mayAnnounce = now >= promisedUntil_ && (!newcomer || members_.empty())
                        && !feeds_.at(indexOf(ObjectGroup::Records))->failing();
    input.dutyHeld = duty_.held(now);
    input.dutyAvailable = !input.dutyHeld && duty_.available(now)
                          && !feeds_.at(indexOf(ObjectGroup::Records))->failing();
    input.allWithdrawn = allWithdrawn(state.recordVersion);
    input.rank = rankFor(service.name);
    return input;
}

PrimaryReplacement *FleetControl::replacementOf(const ServiceName &service)
{
    return services_[service].replacement.get();
}

void FleetControl::logStep(const ServiceName &service, const ReplacementCommand &command) const
{
    struct Describe
    {
        std::string operator()(const TakeDutyCommand &) const { return "take the duty"; }
        std::string operator()(const AskPeersCommand &) const { return {}; }
        std::string operator()(const AnnounceCommand &c) const
        {
            return "announce that " + c.record.primary.value() + " goes";
        }
        std::string operator()(const SurveyCommand &) const { return "survey"; }
        std::string operator()(const DemoteCommand &c) const
        {
            return "demote " + c.endpoint.value();
        }
        std::string operator()(const PromoteCommand &c) const
        {
            return "promote " + c.endpoint.value();
        }
        std::string operator()(const PublishCommand &c) const
        {
            return "publish " + c.record.primary.value();
        }
    };
    if (const std::string step = std::visit(Describe{}, command); !step.empty())
        logEvent(Event::ReplacementStep, {{"service", service.value()}, {"step", step}});
}

void FleetControl::execute(const ServiceName &service, const ReplacementCommand &command)
{
    logStep(service, command);
    if (std::holds_alternative<TakeDutyCommand>(command)) {
        services_[service].waitsForDuty = true;
        takeDuty();
    } else if (std::holds_alternative<AskPeersCommand>(command)) {
        exchangeWithAll(false);
    } else if (const auto *announcement = std::get_if<AnnounceCommand>(&command)) {
        announcementUncertainUntil_ = clock_.now() + lateExecution;
        putPrimaryRecord(announcement->record, services_[service].recordVersion,
                         [this, service](const StoreOutcome<ResourceVersion> &outcome) {
                             const auto *version = std::get_if<ResourceVersion>(&outcome);
                             const auto *failure = std::get_if<StoreFailure>(&outcome);
                             if (!failure || *failure != StoreFailure::NoAnswer)
                                 announcementUncertainUntil_ = clock_.now();
                             replacementOf(service)->handleAnnounced(
                                 version ? std::optional(*version) : std::nullopt, clock_.now());
                             stepSoon(service);
                         });
    } else if (const auto *surveyed = std::get_if<SurveyCommand>(&command)) {
        survey(service, surveyed->endpoints);
    } else if (const auto *demotion = std::get_if<DemoteCommand>(&command)) {
        traffic_.queryStatus(service, demotion->endpoint,
                             {.verb = Verb::Demote, .term = demotion->term}, demotionTimeout,
                             [this, alive = alive_, service](auto status) {
                                 if (*alive) {
                                     replacementOf(service)->handleDemoted(status, clock_.now());
                                     stepSoon(service);
                                 }
                             });
    } else if (const auto *promotion = std::get_if<PromoteCommand>(&command)) {
        promote(service, promotion->endpoint);
    } else if (const auto *publication = std::get_if<PublishCommand>(&command)) {
        putPrimaryRecord(
            publication->record, services_[service].recordVersion,
            [this, service](const StoreOutcome<ResourceVersion> &outcome) {
                const bool published = std::holds_alternative<ResourceVersion>(outcome);
                if (published)
                    logEvent(Event::PromotionCompleted, {{"service", service.value()}});
                replacementOf(service)->handlePublished(published, clock_.now());
            });
    }
}

void FleetControl::takeDuty()
{
    if (takingDuty_)
        return;
    takingDuty_ = true;
    const TimePoint sentAt = clock_.now();
    const DutyRecord record = duty_.propose(sentAt);
    const std::string text = encodeDutyRecord(record);
    store_.putRecord(
        dutyRecordName(), duty_.expectedVersion(), text, recordTimeout,
        [this, alive = alive_, record, text, sentAt](const StoreOutcome<ResourceVersion> &outcome) {
            if (!*alive)
                return;
            takingDuty_ = false;
            const TimePoint now = clock_.now();
            const auto *version = std::get_if<ResourceVersion>(&outcome);
            if (version) {
                duty_.accept(record, *version, sentAt, now);
                feeds_.at(indexOf(ObjectGroup::Records))
                    ->takeOwnChange({dutyRecordName(), *version, text});
            }
            for (auto &[service, state] : services_) {
                if (!std::exchange(state.waitsForDuty, false))
                    continue;
                state.replacement->handleDutyTaken(version != nullptr, now);
                stepSoon(service);
            }
        });
}

void FleetControl::putPrimaryRecord(const PrimaryRecord &record, ResourceVersion expected,
                                    std::function<void(StoreOutcome<ResourceVersion>)> callback)
{
    const std::string name = primaryRecordName(record.service);
    const std::string text = encodePrimaryRecord(record);
    store_.putRecord(
        name, expected, text, recordTimeout,
        [this, alive = alive_, name, text, callback](const StoreOutcome<ResourceVersion> &outcome) {
            if (!*alive)
                return;
            if (const auto *version = std::get_if<ResourceVersion>(&outcome)) {
                feeds_.at(indexOf(ObjectGroup::Records))->takeOwnChange({name, *version, text});
            }
            callback(outcome);
        });
}

void FleetControl::survey(const ServiceName &service, const std::vector<EndpointId> &endpoints)
{
    struct Round
    {
        std::size_t open = 0;
        std::map<EndpointId, ReplicationStatus> statuses;
    };
    auto round = std::make_shared<Round>();
    round->open = endpoints.size();
    for (const EndpointId &endpoint : endpoints) {
        traffic_.queryStatus(
            service, endpoint, {.verb = Verb::Status}, surveyTimeout,
            [this, alive = alive_, service, endpoint, round](auto status) {
                if (!*alive)
                    return;
                if (status)
                    round->statuses[endpoint] = *status;
                logEvent(Event::EndpointSurveyed,
                         {{"service", service.value()},
                          {"endpoint", endpoint.value()},
                          {"answered", status ? 1 : 0},
                          {"primary", status && status->primary ? 1 : 0},
                          {"term", status ? status->term.value() : 0},
                          {"received", status ? status->received.number.value() : 0}});
                if (--round->open == 0) {
                    replacementOf(service)->handleSurvey(round->statuses, clock_.now());
                    stepSoon(service);
                }
            });
    }
}

void FleetControl::promote(const ServiceName &service, const EndpointId &endpoint)
{
    const TimePoint now = clock_.now();
    if (!duty_.held(now) || now < promisedUntil_) {
        replacementOf(service)->handlePromoted(PromotionOutcome::Refused, now);
        return;
    }
    logEvent(Event::PromotionOrdered,
             {{"service", service.value()}, {"endpoint", endpoint.value()}});
    promotions_.promote(service, endpoint, settings_.vm, duty_.fencingToken(), promotionTimeout,
                        [this, alive = alive_, service](PromotionOutcome outcome) {
                            if (!*alive)
                                return;
                            replacementOf(service)->handlePromoted(outcome, clock_.now());
                            stepSoon(service);
                        });
}

} // namespace pistachiowood
