// Calls to the store: registration, confirmation of the records, removal of lost members.
#include "takeover/fleet_peers.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Time that the store may hold back the answer to a check of the records while nothing changes.
// With the interval at which the other daemons query a confirmer, it stays well below the lifetime
// of a permission.
constexpr Milliseconds recordsCheckWait{500};
// Interval of the checks of the configuration and the endpoints, whose changes must be in force
// within 3 s.
constexpr Milliseconds objectsCheckInterval{1500};
constexpr Milliseconds confirmerQueryInterval{500};
// Consecutive queries to confirmers without a fresh confirmation before a daemon asks the store.
constexpr unsigned confirmerMissLimit = 2;
constexpr Milliseconds storeQueryDuration{5000}; // time that it keeps asking the store
constexpr Milliseconds freshConfirmationMaxAge{1700}; // an older confirmation counts as a miss
// Time from the start until the first watch. All members register within the first second, and a
// watch would be answered once for each of them.
constexpr Milliseconds initialWatchDelay{1000};
// Delay after a check that failed. The peers notice an outage too, and every call is charged for.
constexpr Milliseconds failedCheckRetryDelay{250};
constexpr Milliseconds registrationRetryDelay{1000}; // mean, with jitter
// Mean interval, per other member, of one daemon's queries to the store while the confirmers have
// no fresh confirmation either: all these daemons together ask the store ten times a second.
constexpr Milliseconds storeQueryIntervalPerMember{100};
// Upper limit, per other member, of the delay before one daemon repeats a failed call to the store.
constexpr Milliseconds maxRetryDelayPerMember{100};
// Upper limit, per other member, of the delay before a daemon lists again after the store has
// dropped its history: 100 lists a second, of at most 16 KB in most deployments.
constexpr Milliseconds listDelayPerMember{10};
// A VM that has sent no report for this long, and that fails memberLossFailureLimit exchanges, is
// removed from the member records by one of the first lostMemberCheckerCount daemons of its region.
constexpr Milliseconds memberLossTimeout{4000};
constexpr Milliseconds lostMemberCheckInterval{500};
constexpr unsigned memberLossFailureLimit = 3;
constexpr std::size_t lostMemberCheckerCount = 2;

} // namespace

// In a large fleet most daemons leave the watches to the confirmers: with a watch of every daemon,
// each change costs one call per daemon, and the registrations alone are one change per daemon. A
// daemon that replaces a primary watches, because it needs the newest records itself.
void FleetPeers::chooseFeedsToWatch(TimePoint now)
{
    if (!startedAt_)
        startedAt_ = now;
    const bool active = members_.isConfirmer() || now < confirmation_.queryStoreUntil;
    const bool watching = (!members_.isLarge() || active || !hooks_.mayPromise(now))
                          && now - *startedAt_ >= initialWatchDelay;
    if (members_.isLarge() && !active)
        context_.feed(ObjectGroup::Configuration)
            .setMaxRetryDelay(maxRetryDelayPerMember * members_.otherCount());
    // Records are listed at once: without them, the store's answers renew no permission.
    Milliseconds listDelay{0};
    if (members_.isLarge() && !members_.isConfirmer())
        listDelay = listDelayPerMember * members_.otherCount();
    context_.feed(ObjectGroup::Configuration).setListDelay(listDelay);
    context_.feed(ObjectGroup::Endpoints).setListDelay(listDelay);
    context_.feed(ObjectGroup::Endpoints).setWatching(watching);
    context_.records().setWatching(watching);
}

void FleetPeers::registerSelf()
{
    const GroupFeed &records = context_.records();
    const TimePoint now = context_.clock.now();
    if (members_.registered() || registering_ || !records.loaded() || records.failing()
        || now < nextRegistration_)
        return;
    registering_ = true;
    nextRegistration_ = now + context_.random.delayAround(registrationRetryDelay);
    const std::string name = daemonRecordName(context_.settings.vm);
    registeredAt_ = now;
    const std::string text = encodeDaemonRecord({.vm = context_.settings.vm,
                                                 .region = context_.settings.region,
                                                 .zone = context_.settings.zone,
                                                 .address = context_.settings.peerAddress,
                                                 .generation = context_.nextGeneration(name)});
    context_.putRecord(name, records.replica().storedVersion(name), text,
                       [this](const auto &) { registering_ = false; });
}

void FleetPeers::confirmRecordsIfDue(TimePoint now)
{
    if (!context_.records().loaded())
        return;
    if (members_.isConfirmer() || now < confirmation_.queryStoreUntil)
        checkRecords(now);
    else if (now - confirmation_.lastQuery >= confirmerQueryInterval)
        queryConfirmer(now);
}

void FleetPeers::checkRecords(TimePoint now)
{
    if (confirmation_.checking
        || (!recordsReachable_ && now - confirmation_.lastQuery < failedCheckRetryDelay))
        return;
    confirmation_.checking = true;
    confirmation_.lastQuery = now;
    if (now - confirmation_.lastObjectsCheck >= objectsCheckInterval) {
        confirmation_.lastObjectsCheck = now;
        checkGroup(ObjectGroup::Configuration);
        checkGroup(ObjectGroup::Endpoints);
    }
    context_.records().check(recordsCheckWait, [this](bool answered) {
        confirmation_.checking = false;
        recordsReachable_ = answered;
    });
}

// Finds changes that a stalled watch misses. The other daemons get them from the confirmers.
void FleetPeers::checkGroup(ObjectGroup group)
{
    if (GroupFeed &feed = context_.feed(group); feed.loaded())
        feed.check(Milliseconds(0), [](bool) {});
}

void FleetPeers::queryConfirmer(TimePoint now)
{
    confirmation_.lastQuery = now;
    if (permission_.confirmationOlderThan(freshConfirmationMaxAge, now)) {
        ++confirmation_.nextConfirmer;
        if (++confirmation_.misses >= confirmerMissLimit) {
            confirmation_.misses = 0;
            queryStore(now);
        }
    } else {
        confirmation_.misses = 0;
    }
    const VmId &vm =
        members_.confirmers().at(confirmation_.nextConfirmer % members_.confirmers().size());
    exchangeWithMember(vm);
}

// Called when the confirmers can't reach the store or this daemon can't reach them. If the
// confirmers of a large fleet answer, each daemon asks the store only now and then. That shows
// whether the store answers some daemons, and the confirmers get those confirmations when they
// collect promises.
void FleetPeers::queryStore(TimePoint now)
{
    const bool confirmersAnswer =
        std::any_of(members_.confirmers().begin(), members_.confirmers().end(),
                    [&](const VmId &vm) { return hasFreshReport(vm, now); });
    if (members_.isLarge() && confirmersAnswer) {
        if (now < nextStoreQuery_)
            return;
        nextStoreQuery_ =
            now + context_.random.delayAround(storeQueryIntervalPerMember * members_.otherCount());
    } else {
        confirmation_.queryStoreUntil = now + storeQueryDuration;
    }
    checkRecords(now);
}

// Removes VMs that no longer answer from the member records: a lost member would delay each
// replacement, and the promises of all members could not be collected. A daemon that is removed by
// mistake sees that in the records and registers again.
void FleetPeers::removeLostMembers(TimePoint now)
{
    const GroupFeed &records = context_.records();
    const bool storeSettled = !records.failing() && recordsReachable_ && context_.recordsRecovered()
                              && records.healthySince()
                              && now - *records.healthySince() > memberLossTimeout;
    if (!members_.isAmongFirst(lostMemberCheckerCount) || !storeSettled
        || now - lastLostMemberCheck_ < lostMemberCheckInterval)
        return;
    lastLostMemberCheck_ = now;
    deleteRemoved(now);
    for (const VmId &vm : members_.regionMembers()) {
        const auto state = peerStates_.find(vm);
        if (state == peerStates_.end() || !members_.contains(vm)
            || now - state->second.receivedAt < memberLossTimeout)
            continue;
        if (state->second.failures >= memberLossFailureLimit)
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
    record.generation = context_.nextGeneration(name);
    context_.putRecord(name, version, encodeDaemonRecord(record), [this, vm](const auto &) {
        // Whether the change was accepted or not, the records show if the member is removed.
        if (const auto state = peerStates_.find(vm); state != peerStates_.end())
            state->second.removing = false;
    });
}

void FleetPeers::deleteRemoved(TimePoint now)
{
    for (const VmId &vm : members_.takeExpired(now)) {
        const std::string name = daemonRecordName(vm);
        if (const auto version = context_.records().versionOf(name))
            context_.store.deleteRecord(name, *version, recordWriteTimeout, [](const auto &) {});
    }
}

} // namespace pistachiowood
