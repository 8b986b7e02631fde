#include "takeover/fleet_peers.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Age of the confirmation from which the peers are asked for theirs, even if no call has failed.
constexpr Milliseconds peerQueryConfirmationAge{1900};
// Age of the confirmation from which a daemon makes promises. With a newer one it passes that on,
// because a promise keeps the daemon from replacing primaries. Confirmations are at most 1.6 s old
// while the store answers.
constexpr Milliseconds promiseConfirmationAge{1900};
constexpr Milliseconds configurationFetchInterval{1000}; // for a daemon without one
constexpr Milliseconds eraFetchTimeout{1500}; // 16 daemons fetch 20 KB each over one link
// Failed exchanges in a row from which the next confirmer of the region collects promises.
constexpr unsigned collectorFailureLimit = 2;
constexpr Milliseconds largeFleetExchangeInterval{500};
// Less than half of the 500 ms for which a permission lasts after the peers are first asked.
constexpr Milliseconds renewalExchangeInterval{200};
constexpr Milliseconds exchangeInterval{300};
constexpr Milliseconds exchangeTimeout{600};
// Time from its registration until a daemon may announce replacements. Until then, daemons that are
// cut off from the store may not know it as a member.
constexpr Milliseconds newMemberAnnounceDelay{5000};
// Time without a confirmation that counts as an outage of the store.
constexpr Milliseconds confirmationBreak{2000};
constexpr Milliseconds reportMaxAge{1000}; // an older report of a peer is ignored
constexpr Milliseconds reachableReplyMaxAge{700}; // primaries are probed every 500 ms
constexpr Milliseconds failingMinDuration{400};
constexpr auto recordsIndex = static_cast<std::size_t>(ObjectGroup::Records);

} // namespace

FleetPeers::FleetPeers(FleetContext &context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
    , members_(context.settings)
    , createdAt_(context.clock.now())
{
    pacing_.setLinkRate(context.settings.linkRate);
}

void FleetPeers::setMembers(const std::map<VmId, DaemonRecord> &present,
                            const std::map<VmId, DaemonRecord> &removed, bool registered)
{
    const TimePoint now = context_.clock.now();
    members_.update(present, removed, registered, now);
    for (const auto &[vm, member] : members_.others())
        peerStates_.try_emplace(vm, PeerState{.receivedAt = now});
    std::erase_if(peerStates_, [&](const auto &entry) { return !members_.contains(entry.first); });
    pacing_.retainPeers([&](const VmId &vm) { return members_.contains(vm); });
    pacing_.setRegionMembers(members_.regionMembers().size());
    confirmation_.nextConfirmer = members_.nearestConfirmer();
    context_.traffic.setProbing(members_.isConfirmer());
}

void FleetPeers::confirmByStore(TimePoint at)
{
    // After the store was restored, it may lack announcements that are in force.
    if (!context_.recordsRecovered())
        return;
    noteStoreConfirmation(at);
    renewPermission(at);
}

void FleetPeers::noteStoreConfirmation(TimePoint at)
{
    if (!storeConfirmedAt_ || at - *storeConfirmedAt_ > confirmationBreak)
        storeAnswersSince_ = context_.clock.now();
    storeConfirmedAt_ = std::max(storeConfirmedAt_.value_or(at), at);
    if (context_.recordsRecovered() && members_.registered() && at >= *members_.registeredSince())
        confirmedEra_ = context_.records().version().era;
}

void FleetPeers::renewPermission(TimePoint at)
{
    // Replacements don't wait for daemons that are not members, so these get no permission.
    if (!members_.registered())
        return;
    permission_.confirm(at);
    // A view with the newest records must reach the traffic thread before the permission does.
    hooks_.flushView();
    const auto expiry = permission_.expiresAt();
    if (expiry && expiry != sentExpiry_) {
        sentExpiry_ = expiry;
        context_.traffic.permitPrimaries(*expiry);
    }
}

void FleetPeers::handleReachability(std::vector<PrimaryReachability> reachability)
{
    ownReachability_.clear();
    for (PrimaryReachability &entry : reachability)
        ownReachability_[entry.service] = std::move(entry);
}

const PrimaryReachability *FleetPeers::findOwnReachability(const ServiceName &service) const
{
    const auto found = ownReachability_.find(service);
    return found == ownReachability_.end() ? nullptr : &found->second;
}

void FleetPeers::tick(TimePoint now)
{
    registerSelf();
    confirmRecordsIfDue(now);
    logPermission(now);
    chooseFeedsToWatch(now);
    exchangeIfDue(now);
    fetchNewerConfiguration(now);
    fetchLaterEra(now);
    removeLostMembers(now);
}

void FleetPeers::logPermission(TimePoint now)
{
    const auto expiry = permission_.expiresAt();
    if (!expiry || (now < *expiry) == !lapseLogged_)
        return;
    lapseLogged_ = !lapseLogged_;
    if (!lapseLogged_) {
        logEvent(Event::PermissionRenewed,
                 {{"records", context_.records().version().revision.value()}});
        return;
    }
    const auto answering =
        std::count_if(members_.others().begin(), members_.others().end(),
                      [&](const auto &member) { return hasFreshReport(member.first, now); });
    const auto age = [&](const std::optional<TimePoint> &at) {
        return at ? std::chrono::duration_cast<Milliseconds>(now - *at).count() : -1;
    };
    logEvent(Event::PermissionLapsed, {{"confirmed_ms_ago", age(permission_.confirmedAt())},
                                       {"store_confirmed_ms_ago", age(storeConfirmedAt_)},
                                       {"registered", members_.registered() ? 1 : 0},
                                       {"members", members_.otherCount()},
                                       {"answering", answering}});
}

bool FleetPeers::hasFreshReport(const VmId &vm, TimePoint now) const
{
    const auto state = peerStates_.find(vm);
    return state != peerStates_.end() && state->second.report && state->second.failures == 0
           && now - state->second.receivedAt <= reportMaxAge;
}

// The daemon that collects promises for the region: its first confirmer that answers.
const VmId &FleetPeers::promiseCollector() const
{
    for (const VmId &vm : members_.confirmers()) {
        const auto state = peerStates_.find(vm);
        if (vm == context_.settings.vm
            || (state != peerStates_.end() && state->second.failures < collectorFailureLimit))
            return vm;
    }
    return context_.settings.vm;
}

void FleetPeers::exchangeIfDue(TimePoint now)
{
    const GroupFeed &records = context_.records();
    const bool outdated = permission_.confirmationOlderThan(peerQueryConfirmationAge, now);
    const bool recovering = records.loaded() && !context_.recordsRecovered();
    if (recordsReachable_ && !records.failing() && !(outdated && records.loaded()) && !recovering)
        return;
    const bool small = !members_.isLarge();
    const bool isCollector = small || promiseCollector() == context_.settings.vm;
    // A permission that the collector has renewed must reach the others before theirs expire.
    const Milliseconds interval = small                      ? exchangeInterval
                                  : outdated && !isCollector ? renewalExchangeInterval
                                                             : largeFleetExchangeInterval;
    if (now - lastExchange_ < (small ? interval : pacing_.interval(interval)))
        return;
    // In a large fleet one confirmer of each region collects the promises of all daemons. The
    // others exchange reports with it and one random peer, so that an outage does not fill the
    // links.
    if (isCollector)
        exchangeWithAll(true);
    else
        exchangeWithSome();
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
        nextConfigurationFetch_ = lastExchange_ + configurationFetchInterval;
}

void FleetPeers::exchangeWithSome()
{
    lastExchange_ = context_.clock.now();
    exchangeWithMember(promiseCollector());
    exchangeWithMember(chooseOther(lastExchange_));
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
    // A daemon without a configuration asks the seeds for it at most once a second.
    report.wantsConfiguration = vm.value().empty()
                                && !context_.feed(ObjectGroup::Configuration).loaded()
                                && context_.clock.now() >= nextConfigurationFetch_;
    report.wantsEra =
        !fetchingEra_
        && (!context_.records().loaded() || (state.report && isOfLaterEra(*state.report)));
    report.wantsWhole = context_.records().replica().lacksKnownObject()
                        || context_.feed(ObjectGroup::Endpoints).replica().lacksKnownObject();
    fetchingEra_ = fetchingEra_ || report.wantsEra;
    // Answers hold copies of every outdated group. Requests hold only the records, to spread
    // announcements.
    const GroupReplica &records = context_.records().replica();
    if (round == nullptr && state.report) {
        const ReplicaState &known = state.report->replicas.at(recordsIndex);
        const bool sameEra = known.content.era == records.version().era;
        if (records.isAheadOf(known) && (sameEra || !members_.isLarge())) {
            if (GroupCopy copy = records.copyFor(known); admitsCopy(vm, copy, true))
                report.copies.push_back(std::move(copy));
        }
    }
    const SentRequest request{context_.clock.now(), records.version().era,
                              members_.isLarge() && acceptsCopiesFrom(vm, context_.clock.now()),
                              std::move(round)};
    report.declinesCopies = members_.isLarge() && !request.acceptsCopies;
    state.askedAt = request.at;
    const Milliseconds timeout = members_.isLarge() ? pacing_.timeout() : exchangeTimeout;
    const auto overdue = std::make_shared<bool>(false);
    context_.peers.exchange(
        address, report, report.wantsEra ? std::max(timeout, eraFetchTimeout) : timeout,
        [this, alive = context_.alive, vm, request, wantedEra = report.wantsEra,
         overdue](const auto &outcome) {
            if (!*alive)
                return;
            const auto *answer = std::get_if<PeerReport>(&outcome);
            const bool late = *overdue;
            if (late && !members_.isLarge())
                return;
            noteExchangeEnd(late     ? ExchangeEnd::Late
                            : answer ? ExchangeEnd::InTime
                                     : ExchangeEnd::GivenUp);
            if (!late)
                fetchingEra_ = fetchingEra_ && !wantedEra;
            if (const auto known = peerStates_.find(vm); known != peerStates_.end()) {
                known->second.exchanging = known->second.exchanging && late;
                // A peer that answers late only is no better a collector than one that is lost.
                if (!late)
                    known->second.failures = answer ? 0 : known->second.failures + 1;
            }
            *overdue = !answer;
            if (answer)
                handleAnswer(vm, *answer, request, late);
        });
}

void FleetPeers::handleAnswer(const VmId &vm, const PeerReport &answer, const SentRequest &request,
                              bool late)
{
    takeReport(answer, request.at, true);
    if (request.acceptsCopies && !late)
        pacing_.noteCopiesAnswered(holdsNewer(answer));
    const ReplicaState &peerRecords = answer.replicas.at(recordsIndex);
    const GroupReplica &ownRecords = context_.records().replica();
    const bool complete =
        !members_.isLarge() || peerRecords.carried == 0
        || peerRecords.carried == ownRecords.state().carried
        || std::any_of(answer.copies.begin(), answer.copies.end(),
                       [](const GroupCopy &copy) { return copy.group == ObjectGroup::Records; });
    // The answer holds what the peer carries and this daemon did not when it asked, unless the copy
    // was withheld.
    if (const auto known = peerStates_.find(vm); complete && known != peerStates_.end()
                                                 && peerRecords.content.era == request.era
                                                 && ownRecords.version().era == request.era)
        known->second.mergedEra = request.era;
    hooks_.reportReceived();
    // A promise counts only if this daemon knows every announcement that the peer knows.
    if (request.round && answer.promise && ownRecords.covers(peerRecords))
        countPromise(*request.round, answer.storeConfirmedAge.has_value());
}

bool FleetPeers::hasMerged(const VmId &vm) const
{
    const auto state = peerStates_.find(vm);
    return state != peerStates_.end() && state->second.report
           && state->second.mergedEra == context_.records().version().era;
}

std::optional<TimePoint> FleetPeers::storeAnswersSince(TimePoint now) const
{
    if (!storeConfirmedAt_ || now - *storeConfirmedAt_ > confirmationBreak)
        return std::nullopt;
    return storeAnswersSince_;
}

FormerRecords FleetPeers::formerRecords() const
{
    StoreEra former = confirmedEra_;
    for (const auto &[vm, member] : members_.others()) {
        if (hasMerged(vm))
            former = std::max(former, peerStates_.at(vm).report->confirmedEra);
    }
    // Members that have held the complete records of the former era since they were started.
    std::size_t remembering = 0;
    if (former > StoreEra()) {
        remembering = confirmedEra_ == former ? 1 : 0;
        for (const auto &[vm, member] : members_.others()) {
            const bool remembers =
                hasMerged(vm) && peerStates_.at(vm).report->confirmedEra == former;
            remembering += remembers ? 1 : 0;
        }
    }
    const bool majority = 2 * remembering > members_.totalCount();
    // Without a confirmation of that age, other daemons may have become members meanwhile.
    const auto confirmed = permission_.confirmedAt();
    const bool recent =
        confirmed
        && *confirmed >= context_.records().eraSince() - PrimaryPermission::longestLifetime;
    if (remembering == members_.totalCount() || (majority && recent))
        return FormerRecords::Complete;
    const bool allHeard = members_.allMeet([this](const VmId &vm) { return hasMerged(vm); });
    return majority || allHeard ? FormerRecords::Unconfirmed : FormerRecords::Incomplete;
}

// Renews the permission when enough members have promised. If all have, none of them announces a
// replacement during the lifetime of the permission. If a majority has, a replacement can't get the
// acknowledgements of half of the daemons, but it waits only longestLifetime for them; such
// renewals therefore end a fixed time after the store's last answer.
//
// A process may have been started after its former one acknowledged an announcement. To count for
// the majority as well as for that half, it must know the announcement: the store must have
// confirmed its records since.
void FleetPeers::countPromise(PromiseRound &round, bool confirmed)
{
    const TimePoint now = context_.clock.now();
    ++round.promised;
    round.confirmed += confirmed ? 1 : 0;
    const bool all = round.promised == round.asked;
    const bool majority = confirmedSinceStart() && 2 * (round.confirmed + 1) > round.asked + 1;
    const bool recent =
        storeConfirmedAt_
        && round.startedAt <= *storeConfirmedAt_ + PrimaryPermission::majorityRenewalLimit;
    if (!(all || (majority && recent)) || !mayPromise(now))
        return;
    promisedUntil_ = now + PrimaryPermission::lifetime;
    renewPermission(round.startedAt);
}

PeerReport FleetPeers::makeReport() const
{
    const TimePoint now = context_.clock.now();
    PeerReport report;
    report.vm = context_.settings.vm;
    for (std::size_t i = 0; i < objectGroupCount; ++i)
        report.replicas.at(i) = context_.feeds.at(i)->replica().state();
    report.appliedRecords = appliedRecords_;
    if (const auto confirmed = permission_.confirmedAt())
        report.confirmedAge = std::chrono::ceil<Milliseconds>(now - *confirmed);
    if (confirmedSinceStart())
        report.storeConfirmedAge = std::chrono::ceil<Milliseconds>(now - *storeConfirmedAt_);
    report.confirmedEra = confirmedEra_;
    for (const auto &[service, reachability] : ownReachability_)
        report.primaries.push_back(describePrimary(reachability, now));
    return report;
}

void FleetPeers::takeReport(const PeerReport &report, TimePoint sentAt, bool answer)
{
    context_.applyCopies(report.copies);
    if (report.vm != context_.settings.vm && members_.contains(report.vm)) {
        PeerState &state = peerStates_[report.vm];
        // A report that came late may be older than the one that is held.
        const TimePoint now = context_.clock.now();
        const TimePoint at = members_.isLarge() && now - sentAt > exchangeTimeout ? sentAt : now;
        if (at >= state.receivedAt || !state.report) {
            state.report = report; // sliced: the copies are not kept
            state.receivedAt = at;
        }
    }
    for (const PrimaryReport &primary : report.primaries) {
        if (answer && primary.position) {
            context_.traffic.recordPeerPosition(primary.service, primary.primaryEpoch,
                                                {sentAt - primary.positionAge, *primary.position});
        }
    }
    // The sender's confirmation holds for this daemon only if its records are as new as the
    // sender's.
    if (!answer || !context_.records().replica().covers(report.replicas.at(recordsIndex)))
        return;
    if (report.storeConfirmedAge)
        noteStoreConfirmation(sentAt - *report.storeConfirmedAge);
    if (report.confirmedAge)
        renewPermission(sentAt - *report.confirmedAge);
}

// A promise is given only while this daemon has no fresh confirmation that a peer could use
// instead.
bool FleetPeers::mayPromise(TimePoint now) const
{
    return permission_.confirmationOlderThan(promiseConfirmationAge, now) && hooks_.mayPromise(now);
}

// Queries the primaries that the peer reports as failing, unless this daemon has a recent reply, so
// that its next report shows whether it reaches them.
void FleetPeers::probeFailingPrimaries(const PeerReport &report)
{
    for (const PrimaryReport &primary : report.primaries) {
        const PrimaryReachability *own = findOwnReachability(primary.service);
        const bool recent = own && own->lastReply
                            && context_.clock.now() - *own->lastReply < reachableReplyMaxAge / 2;
        if (!primary.failingAge || recent)
            continue;
        context_.traffic.queryStatus(primary.service, primary.endpoint, {.verb = Verb::Status},
                                     statusQueryTimeout,
                                     [](const std::optional<ReplicationStatus> &) {});
    }
}

PeerReport FleetPeers::handlePeerReport(const PeerReport &report)
{
    takeReport(report, context_.clock.now(), false);
    probeFailingPrimaries(report);
    PeerReport answer = makeReport();
    answer.copies = copiesFor(report);
    const TimePoint now = context_.clock.now();
    if (report.promise && mayPromise(now)) {
        answer.promise = true;
        promisedUntil_ = now + PrimaryPermission::lifetime;
    }
    return answer;
}

bool FleetPeers::mayAnnounce(TimePoint now) const
{
    const bool newMember = registeredAt_ && now - *registeredAt_ < newMemberAnnounceDelay;
    return context_.recordsRecovered() && !promised(now)
           && (!newMember || members_.others().empty());
}

bool FleetPeers::hasApplied(const VmId &vm, StoreVersion version) const
{
    const auto state = peerStates_.find(vm);
    return state != peerStates_.end() && state->second.report
           && state->second.report->appliedRecords.includes(version);
}

bool FleetPeers::allApplied(StoreVersion version) const
{
    return appliedRecords_.includes(version)
           && members_.allMeet([&](const VmId &vm) { return hasApplied(vm, version); });
}

bool FleetPeers::halfApplied(StoreVersion version) const
{
    return members_.halfMeet(
        appliedRecords_.includes(version), [&](const VmId &vm) { return hasApplied(vm, version); },
        context_.clock.now());
}

PrimaryReachabilitySummary FleetPeers::reachabilityOf(const ServiceName &service,
                                                      const EndpointId &endpoint) const
{
    const TimePoint now = context_.clock.now();
    PrimaryReachabilitySummary reachability;
    const PrimaryReachability *own = findOwnReachability(service);
    if (own && own->endpoint == endpoint) {
        reachability.failingSince = own->failingSince;
        if (own->newestPosition)
            reachability.newestPosition = own->newestPosition->position;
    }
    reachability.peerCount = static_cast<unsigned>(members_.otherCount());
    for (const auto &[vm, peer] : peerStates_) {
        if (!peer.report || now - peer.receivedAt > reportMaxAge)
            continue;
        ++reachability.peersHeard;
        for (const PrimaryReport &primary : peer.report->primaries) {
            if (primary.service != service || primary.endpoint != endpoint)
                continue;
            reachability.newestPosition = std::max(reachability.newestPosition, primary.position);
            if (primary.failingAge && *primary.failingAge >= failingMinDuration)
                ++reachability.peersFailing;
            else if (primary.replyAge && *primary.replyAge <= reachableReplyMaxAge)
                ++reachability.peersReaching;
        }
    }
    return reachability;
}

} // namespace pistachiowood
