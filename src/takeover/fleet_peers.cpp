#include "takeover/fleet_peers.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Confirmers ask the store, the others ask a confirmer; both together stay well below the period of
// a permission.
constexpr Milliseconds checkPeriod{500};
constexpr Milliseconds objectsCheckInterval{1500}; // a change must be in force within 3 s
constexpr Milliseconds confirmerInterval{500};
constexpr unsigned confirmerMisses = 2; // after which a daemon asks the store itself
constexpr Milliseconds selfConfirmation{5000}; // for how long it does so
constexpr Milliseconds recentConfirmation{1700}; // older ones count as a miss
// Age of the confirmation at which the peers are asked although no call has failed.
constexpr Milliseconds confirmationAgeLimit{1900};
// A daemon with a newer confirmation passes that on instead of a promise, which keeps it from
// replacing primaries. Confirmations are at most 1.6 s old while the store answers.
constexpr Milliseconds promiseAge{1900};
// The members register within the first second; a watch of theirs would be answered for each.
constexpr Milliseconds watchDelay{1000};
// Between checks that fail: an outage is noticed by the peers, and every call to it is priced.
constexpr Milliseconds failedCheckDelay{250};
constexpr Milliseconds registrationRetry{1000}; // with jitter, after a failed one
// In an outage that the confirmers see too, all others together ask the store ten times a second.
constexpr Milliseconds ownQuestionCost{100};
// Longest wait of one daemon before it repeats a failed call, for each member.
constexpr Milliseconds retryCost{100};
// Time for the store's watch to bring a large configuration before a peer is asked for it; it must
// be in force within 5 s.
constexpr Milliseconds configurationPatience{1000};
constexpr Milliseconds configurationTimeout{3000}; // ten daemons share a link of 10 Mbit/s
constexpr Milliseconds configurationRetry{1000};
constexpr unsigned collectorFailures = 2; // after which the next confirmer collects promises
constexpr Milliseconds largeFleetInterval{500};
constexpr Milliseconds renewalInterval{200}; // half of what is left of an old permission
constexpr Milliseconds exchangeInterval{300};
constexpr Milliseconds exchangeTimeout{600};
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

constexpr auto recordsIndex = static_cast<std::size_t>(ObjectGroup::Records);
constexpr auto configurationIndex = static_cast<std::size_t>(ObjectGroup::Configuration);

} // namespace

FleetPeers::FleetPeers(FleetContext &context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , members_(context.settings)
{
}

void FleetPeers::setMembers(const std::map<VmId, DaemonRecord> &present,
                            const std::map<VmId, DaemonRecord> &removed, bool registered)
{
    const TimePoint now = context_.clock.now();
    members_.update(present, removed, registered, now);
    for (const auto &[vm, member] : members_.others())
        peerStates_.try_emplace(vm, PeerState{.receivedAt = now});
    std::erase_if(peerStates_, [&](const auto &entry) { return !members_.contains(entry.first); });
    confirmation_.next = members_.nearestConfirmer();
    context_.traffic.setProbing(members_.confirms());
}

// In a large fleet an event would be a call of every daemon, and the members alone make as many
// events as there are daemons. A daemon that replaces a primary needs the newest records itself.
void FleetPeers::chooseFeedsToWatch(TimePoint now)
{
    if (!startedAt_)
        startedAt_ = now;
    const bool active = members_.confirms() || now < confirmation_.selfUntil;
    const bool watching =
        (!members_.large() || active || !hooks_.mayPromise(now)) && now - *startedAt_ >= watchDelay;
    if (members_.large() && !active)
        context_.feed(ObjectGroup::Configuration).setRetryLimit(retryCost * members_.otherCount());
    context_.feed(ObjectGroup::Endpoints).setWatching(watching);
    context_.records().setWatching(watching);
}

void FleetPeers::confirmByStore(TimePoint at)
{
    noteStoreConfirmation(at);
    confirmRecords(at);
}

void FleetPeers::noteStoreConfirmation(TimePoint at)
{
    storeConfirmedAt_ = std::max(storeConfirmedAt_.value_or(at), at);
}

void FleetPeers::confirmRecords(TimePoint at)
{
    // A daemon that is not a member is not waited for when a primary is replaced.
    if (!members_.registered())
        return;
    permission_.confirm(at);
    // A view with the newest records must reach the traffic thread before the permission does.
    hooks_.flushView();
    const auto expiry = permission_.expiresAt();
    if (expiry && expiry != sentPermission_) {
        sentPermission_ = expiry;
        context_.traffic.permitPrimaries(*expiry);
    }
}

void FleetPeers::handleEvidence(std::vector<PrimaryReachability> evidence)
{
    evidence_.clear();
    for (PrimaryReachability &entry : evidence)
        evidence_[entry.service] = std::move(entry);
}

const PrimaryReachability *FleetPeers::ownEvidence(const ServiceName &service) const
{
    const auto found = evidence_.find(service);
    return found == evidence_.end() ? nullptr : &found->second;
}

void FleetPeers::tick(TimePoint now)
{
    registerSelf();
    tickConfirmation(now);
    logPermission(now);
    chooseFeedsToWatch(now);
    tickPeers(now);
    tickConfiguration(now);
    removeLostMembers(now);
}

void FleetPeers::logPermission(TimePoint now)
{
    const auto expiry = permission_.expiresAt();
    if (!expiry || (now < *expiry) == !permissionLapsed_)
        return;
    permissionLapsed_ = !permissionLapsed_;
    if (!permissionLapsed_) {
        logEvent(Event::PermissionRenewed, {{"records", context_.records().version().value()}});
        return;
    }
    const auto answering =
        std::count_if(members_.others().begin(), members_.others().end(),
                      [&](const auto &member) { return answersLately(member.first, now); });
    const auto age = [&](const std::optional<TimePoint> &at) {
        return at ? std::chrono::duration_cast<Milliseconds>(now - *at).count() : -1;
    };
    logEvent(Event::PermissionLapsed, {{"confirmed_ms_ago", age(permission_.confirmedAt())},
                                       {"store_confirmed_ms_ago", age(storeConfirmedAt_)},
                                       {"registered", members_.registered() ? 1 : 0},
                                       {"members", members_.otherCount()},
                                       {"answering", answering}});
}

void FleetPeers::registerSelf()
{
    const GroupFeed &records = context_.records();
    const TimePoint now = context_.clock.now();
    if (members_.registered() || registering_ || !records.loaded() || records.failing()
        || now < nextRegistration_)
        return;
    registering_ = true;
    nextRegistration_ = now + context_.random.delayAround(registrationRetry);
    const std::string name = daemonRecordName(context_.settings.vm);
    registeredAt_ = now;
    const std::string text =
        encodeDaemonRecord({context_.settings.vm, context_.settings.region, context_.settings.zone,
                            context_.settings.peerAddress});
    context_.putRecord(name, records.versionOf(name), text,
                       [this](const auto &) { registering_ = false; });
}

void FleetPeers::tickConfirmation(TimePoint now)
{
    if (!context_.records().loaded())
        return;
    if (members_.confirms() || now < confirmation_.selfUntil)
        checkRecords(now);
    else if (now - confirmation_.lastAsked >= confirmerInterval)
        askConfirmer(now);
}

void FleetPeers::checkRecords(TimePoint now)
{
    if (confirmation_.checking
        || (!recordsReachable_ && now - confirmation_.lastAsked < failedCheckDelay))
        return;
    confirmation_.checking = true;
    confirmation_.lastAsked = now;
    if (now - confirmation_.lastObjects >= objectsCheckInterval) {
        confirmation_.lastObjects = now;
        checkObjects(ObjectGroup::Configuration);
        checkObjects(ObjectGroup::Endpoints);
    }
    context_.records().check(checkPeriod, [this](bool answered) {
        confirmation_.checking = false;
        recordsReachable_ = answered;
    });
}

// A watch may hear nothing for long; the other daemons learn of the change from the confirmers.
void FleetPeers::checkObjects(ObjectGroup group)
{
    if (GroupFeed &feed = context_.feed(group); feed.loaded())
        feed.check(Milliseconds(0), [](bool) {});
}

void FleetPeers::askConfirmer(TimePoint now)
{
    confirmation_.lastAsked = now;
    if (permission_.olderThan(recentConfirmation, now)) {
        ++confirmation_.next;
        if (++confirmation_.misses >= confirmerMisses) {
            confirmation_.misses = 0;
            askStore(now);
        }
    } else {
        confirmation_.misses = 0;
    }
    const VmId &vm = members_.confirmers().at(confirmation_.next % members_.confirmers().size());
    exchangeWithMember(vm);
}

// The confirmers miss the store, or they miss this daemon. In a large fleet a few questions of all
// daemons show whether the store answers some of them; the confirmers ask those for promises.
void FleetPeers::askStore(TimePoint now)
{
    const bool confirmersAnswer =
        std::any_of(members_.confirmers().begin(), members_.confirmers().end(),
                    [&](const VmId &vm) { return answersLately(vm, now); });
    if (members_.large() && confirmersAnswer) {
        if (now < nextOwnQuestion_)
            return;
        nextOwnQuestion_ =
            now + context_.random.delayAround(ownQuestionCost * members_.otherCount());
    } else {
        confirmation_.selfUntil = now + selfConfirmation;
    }
    checkRecords(now);
}

bool FleetPeers::answersLately(const VmId &vm, TimePoint now) const
{
    const auto state = peerStates_.find(vm);
    return state != peerStates_.end() && state->second.report && state->second.failures == 0
           && now - state->second.receivedAt <= reportLifetime;
}

// The first confirmer of the region that answers the others.
const VmId &FleetPeers::collector() const
{
    for (const VmId &vm : members_.confirmers()) {
        const auto state = peerStates_.find(vm);
        if (vm == context_.settings.vm
            || (state != peerStates_.end() && state->second.failures < collectorFailures))
            return vm;
    }
    return context_.settings.vm;
}

void FleetPeers::tickPeers(TimePoint now)
{
    const GroupFeed &records = context_.records();
    const bool old = permission_.olderThan(confirmationAgeLimit, now);
    if (recordsReachable_ && !records.failing() && !(old && records.loaded()))
        return;
    const bool small = !members_.large();
    const bool collects = small || collector() == context_.settings.vm;
    // A permission of the collector that was just renewed must be passed on before others run out.
    const Milliseconds interval = small              ? exchangeInterval
                                  : old && !collects ? renewalInterval
                                                     : largeFleetInterval;
    if (now - lastExchange_ < interval)
        return;
    // In a large fleet one confirmer of each region collects the promises of all; the others ask it
    // and some peers, so that an outage does not fill the links.
    if (collects)
        exchangeWithAll(true);
    else
        exchangeWithSome();
}

// A large configuration is taken from one peer at a time: with every answer it would fill the links
// of a fleet of which half lacks it while the store is away.
void FleetPeers::tickConfiguration(TimePoint now)
{
    const ResourceVersion own = context_.feed(ObjectGroup::Configuration).contentVersion();
    std::vector<VmId> holders;
    for (const auto &[vm, state] : peerStates_) {
        if (members_.contains(vm) && state.failures == 0 && state.report
            && state.report->versions.at(configurationIndex) > own)
            holders.push_back(vm);
    }
    if (holders.empty()) {
        configurationMissedSince_.reset();
        return;
    }
    if (!configurationMissedSince_)
        configurationMissedSince_ = now;
    if (fetchingConfiguration_ || now - *configurationMissedSince_ < configurationPatience
        || now < nextConfigurationFetch_)
        return;
    fetchingConfiguration_ = true;
    nextConfigurationFetch_ = now + context_.random.delayAround(configurationRetry);
    const VmId &holder = holders.at(context_.random.below(holders.size()));
    PeerReport report = makeReport();
    report.wantsConfiguration = true;
    context_.peers.exchange(members_.others().at(holder).record.address, report,
                            configurationTimeout,
                            [this, alive = context_.alive](const auto &outcome) {
                                if (!*alive)
                                    return;
                                fetchingConfiguration_ = false;
                                if (const auto *answer = std::get_if<PeerReport>(&outcome))
                                    context_.takeCopies(answer->copies);
                            });
}

// A VM that is gone for good would delay each replacement and void the promises of the others. The
// daemon that is removed by mistake finds its record missing and registers again.
void FleetPeers::removeLostMembers(TimePoint now)
{
    const GroupFeed &records = context_.records();
    const bool storeSettled = !records.failing() && recordsReachable_ && records.healthySince()
                              && now - *records.healthySince() > lossLimit;
    if (!members_.amongFirst(lossWatchers) || !storeSettled
        || now - lastLossCheck_ < lossCheckInterval)
        return;
    lastLossCheck_ = now;
    deleteRemoved(now);
    for (const VmId &vm : members_.region()) {
        const auto state = peerStates_.find(vm);
        if (state == peerStates_.end() || !members_.contains(vm)
            || now - state->second.receivedAt < lossLimit)
            continue;
        if (state->second.failures >= lossFailures)
            removeMember(vm);
        else
            exchangeWithMember(vm);
    }
}

void FleetPeers::removeMember(const VmId &vm)
{
    const std::string name = daemonRecordName(vm);
    const auto version = context_.records().versionOf(name);
    if (!version || std::exchange(peerStates_[vm].removing, true))
        return;
    logEvent(Event::MemberDead, {{"vm", vm.value()}});
    DaemonRecord record = members_.others().at(vm).record;
    record.removed = true;
    context_.putRecord(name, version, encodeDaemonRecord(record), [this, vm](const auto &) {
        // The records show whether it was taken out.
        if (const auto state = peerStates_.find(vm); state != peerStates_.end())
            state->second.removing = false;
    });
}

void FleetPeers::deleteRemoved(TimePoint now)
{
    for (const VmId &vm : members_.takeExpired(now)) {
        const std::string name = daemonRecordName(vm);
        if (const auto version = context_.records().versionOf(name))
            context_.store.deleteRecord(name, *version, recordTimeout, [](const auto &) {});
    }
}

void FleetPeers::exchangeWithAll(bool wantPromise)
{
    lastExchange_ = context_.clock.now();
    std::shared_ptr<PromiseRound> round;
    if (wantPromise) {
        round = std::make_shared<PromiseRound>();
        round->startedAt = lastExchange_;
        round->asked = members_.otherCount();
    }
    for (const auto &[vm, member] : members_.others())
        exchangeWith(vm, member.record.address, wantPromise, round);
    if (!members_.others().empty())
        return;
    for (const SocketAddress &seed : context_.settings.seeds) {
        if (seed != context_.settings.peerAddress)
            exchangeWith(VmId(), seed, false, nullptr);
    }
    if (nextConfigurationFetch_ <= lastExchange_)
        nextConfigurationFetch_ = lastExchange_ + configurationRetry;
}

void FleetPeers::exchangeWithSome()
{
    lastExchange_ = context_.clock.now();
    exchangeWithMember(collector());
    auto other = members_.others().begin();
    std::advance(other, static_cast<std::ptrdiff_t>(context_.random.below(members_.otherCount())));
    exchangeWithMember(other->first);
}

void FleetPeers::exchangeWithMember(const VmId &vm)
{
    const auto &others = members_.others();
    if (const auto member = others.find(vm); member != others.end())
        exchangeWith(vm, member->second.record.address, false, nullptr);
}

void FleetPeers::exchangeWith(const VmId &vm, const SocketAddress &address, bool wantPromise,
                              std::shared_ptr<PromiseRound> round)
{
    PeerState &state = peerStates_[vm];
    if (!vm.value().empty() && std::exchange(state.exchanging, true))
        return;
    PeerReport report = makeReport();
    report.promise = wantPromise;
    // Without a configuration, seeds are asked for it, a second apart.
    report.wantsConfiguration = vm.value().empty()
                                && !context_.feed(ObjectGroup::Configuration).loaded()
                                && context_.clock.now() >= nextConfigurationFetch_;
    // Copies go with answers; only an announcement is worth sending unasked.
    const bool tells =
        round == nullptr && state.report
        && state.report->versions.at(recordsIndex) < context_.records().contentVersion();
    if (tells)
        report.copies.push_back(
            context_.records().copyFor(state.report->versions.at(recordsIndex)));
    const TimePoint sentAt = context_.clock.now();
    context_.peers.exchange(
        address, report, exchangeTimeout,
        [this, alive = context_.alive, vm, sentAt, round](const auto &outcome) {
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
            hooks_.reportReceived();
            if (round && answer->promise)
                countPromise(*round);
        });
}

// With the promises of all, none announces a replacement for the period of a permission. With those
// of most, a replacement lacks the acknowledgements that would let it take effect soon, but it
// waits for them only so long: permissions end a fixed time after the store's last answer.
void FleetPeers::countPromise(PromiseRound &round)
{
    const TimePoint now = context_.clock.now();
    ++round.promised;
    const bool all = round.promised == round.asked;
    const bool most = 2 * (round.promised + 1) > round.asked + 1;
    const bool recent = storeConfirmedAt_
                        && round.startedAt <= *storeConfirmedAt_ + PrimaryPermission::majorityLimit;
    if (!(all || (most && recent)) || !mayPromise(now))
        return;
    promisedUntil_ = now + PrimaryPermission::period;
    confirmRecords(round.startedAt);
}

PeerReport FleetPeers::makeReport() const
{
    const TimePoint now = context_.clock.now();
    PeerReport report;
    report.vm = context_.settings.vm;
    for (std::size_t i = 0; i < objectGroupCount; ++i)
        report.versions.at(i) = context_.feeds.at(i)->contentVersion();
    report.obeyedRecords = obeyedRecords_;
    if (const auto confirmed = permission_.confirmedAt())
        report.confirmedAge = std::chrono::ceil<Milliseconds>(now - *confirmed);
    if (storeConfirmedAt_)
        report.storeConfirmedAge = std::chrono::ceil<Milliseconds>(now - *storeConfirmedAt_);
    for (const auto &[service, evidence] : evidence_)
        report.primaries.push_back(describePrimary(evidence, now));
    return report;
}

void FleetPeers::takeReport(const PeerReport &report, TimePoint sentAt, bool answer)
{
    context_.takeCopies(report.copies);
    if (report.vm != context_.settings.vm && members_.contains(report.vm)) {
        PeerState &state = peerStates_[report.vm];
        state.report = report; // without the copies
        state.receivedAt = context_.clock.now();
    }
    for (const PrimaryReport &primary : report.primaries) {
        if (answer && primary.position) {
            context_.traffic.recordPeerPosition(primary.service, primary.primaryEpoch,
                                                {sentAt - primary.positionAge, *primary.position});
        }
    }
    // The sender's confirmation covers this daemon only if its records are as new.
    if (!answer || context_.records().contentVersion() < report.versions.at(recordsIndex))
        return;
    if (report.storeConfirmedAge)
        noteStoreConfirmation(sentAt - *report.storeConfirmedAge);
    if (report.confirmedAge)
        confirmRecords(sentAt - *report.confirmedAge);
}

// Asked by a peer that has no newer confirmation, or before promising to itself.
bool FleetPeers::mayPromise(TimePoint now) const
{
    return permission_.olderThan(promiseAge, now) && hooks_.mayPromise(now);
}

// A peer that misses a primary wants to know whether it answers here.
void FleetPeers::probeFor(const PeerReport &report)
{
    for (const PrimaryReport &primary : report.primaries) {
        const PrimaryReachability *own = ownEvidence(primary.service);
        const bool recent =
            own && own->lastReply && context_.clock.now() - *own->lastReply < reachedLately / 2;
        if (!primary.failingAge || recent)
            continue;
        context_.traffic.queryStatus(primary.service, primary.endpoint, {.verb = Verb::Status},
                                     surveyTimeout,
                                     [](const std::optional<ReplicationStatus> &) {});
    }
}

PeerReport FleetPeers::handlePeerReport(const PeerReport &report)
{
    takeReport(report, context_.clock.now(), false);
    probeFor(report);
    PeerReport answer = makeReport();
    answer.copies = context_.copiesFor(report);
    const TimePoint now = context_.clock.now();
    if (report.promise && mayPromise(now)) {
        answer.promise = true;
        promisedUntil_ = now + PrimaryPermission::period;
    }
    return answer;
}

bool FleetPeers::mayAnnounce(TimePoint now) const
{
    const bool newcomer = registeredAt_ && now - *registeredAt_ < newcomerDelay;
    return !promised(now) && (!newcomer || members_.others().empty());
}

bool FleetPeers::obeys(const VmId &vm, ResourceVersion version) const
{
    const auto state = peerStates_.find(vm);
    return state != peerStates_.end() && state->second.report
           && state->second.report->obeyedRecords >= version;
}

bool FleetPeers::allWithdrawn(ResourceVersion version) const
{
    return obeyedRecords_ >= version
           && members_.allMeet([&](const VmId &vm) { return obeys(vm, version); });
}

bool FleetPeers::halfWithdrawn(ResourceVersion version) const
{
    return members_.halfMeet(
        obeyedRecords_ >= version, [&](const VmId &vm) { return obeys(vm, version); },
        context_.clock.now());
}

PrimaryOpinion FleetPeers::opinionOn(const ServiceName &service, const EndpointId &endpoint) const
{
    const TimePoint now = context_.clock.now();
    PrimaryOpinion opinion;
    const PrimaryReachability *own = ownEvidence(service);
    if (own && own->endpoint == endpoint)
        opinion.failingSince = own->failingSince;
    opinion.asked = static_cast<unsigned>(members_.otherCount());
    for (const auto &[vm, peer] : peerStates_) {
        if (!peer.report || now - peer.receivedAt > reportLifetime)
            continue;
        for (const PrimaryReport &primary : peer.report->primaries) {
            if (primary.service != service || primary.endpoint != endpoint)
                continue;
            if (primary.failingAge && *primary.failingAge >= failingLately)
                ++opinion.failing;
            else if (primary.replyAge && *primary.replyAge <= reachedLately)
                ++opinion.reaching;
        }
    }
    return opinion;
}

} // namespace pistachiowood
