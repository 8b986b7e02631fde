// Copies between daemons: whom this daemon asks for them, and which ones it sends.
#include "takeover/fleet_peers.h"

#include "base/log.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Time that the store's watch has to deliver a large configuration before a peer is asked for it; a
// configuration must be in force within 5 s.
constexpr Milliseconds configurationFetchDelay{1000};
constexpr Milliseconds configurationFetchTimeout{3000}; // ten daemons share a link of 10 Mbit/s
constexpr Milliseconds configurationFetchInterval{1000};
constexpr Milliseconds eraFetchInterval{200};
constexpr Milliseconds holdersMaxAge{50}; // one tick: a collector asks all members in one
constexpr std::size_t itemOverhead = 64; // encoded fields and pointers of an item, in bytes
constexpr auto configurationIndex = static_cast<std::size_t>(ObjectGroup::Configuration);

std::size_t sizeOf(const GroupCopy &copy)
{
    std::size_t size = copy.known.size() * sizeof(copy.known.front());
    for (const auto *items : {&copy.items, &copy.carried}) {
        for (const StoredItem &item : *items)
            size += itemOverhead + item.name.size() + item.text.size();
    }
    for (const std::string &name : copy.removed)
        size += sizeof(std::uint64_t) + name.size();
    return size;
}

} // namespace

bool FleetPeers::isOfRegion(const VmId &vm) const
{
    const auto member = members_.others().find(vm);
    return member != members_.others().end()
           && member->second.record.region == context_.settings.region;
}

// Leaves only the daemons of the region, if there are any.
void FleetPeers::preferRegion(std::vector<VmId> &vms) const
{
    const auto others = std::stable_partition(vms.begin(), vms.end(),
                                              [this](const VmId &vm) { return isOfRegion(vm); });
    if (others != vms.begin())
        vms.erase(others, vms.end());
}

bool FleetPeers::isRegionConfirmer(const VmId &vm) const
{
    const auto &confirmers = members_.confirmers();
    return std::find(confirmers.begin(), confirmers.end(), vm) != confirmers.end();
}

bool FleetPeers::holdsNewer(const PeerStatus &peer) const
{
    for (std::size_t i = 0; i < objectGroupCount; ++i) {
        if (context_.feeds.at(i)->replica().isBehind(peer.replicas.at(i)))
            return true;
    }
    return false;
}

ExchangePacing::Holders FleetPeers::knownHolders() const
{
    ExchangePacing::Holders holders;
    for (const auto &[vm, state] : peerStates_) {
        if (!state.report || state.failures > 0 || !holdsNewer(*state.report))
            continue;
        holders.anywhere = true;
        holders.region = holders.region || isOfRegion(vm);
        holders.confirmer = holders.confirmer || isRegionConfirmer(vm);
    }
    return holders;
}

// Whether a request to the peer shall accept copies.
bool FleetPeers::acceptsCopiesFrom(const VmId &vm, TimePoint now)
{
    if (now - holdersAt_ >= holdersMaxAge) {
        holdersAt_ = now;
        holders_ = knownHolders();
        pacing_.noteBehind(holders_.anywhere, now);
    }
    const CopySource source = isRegionConfirmer(vm) ? CopySource::RegionConfirmer
                              : isOfRegion(vm)      ? CopySource::RegionMember
                                                    : CopySource::OtherRegion;
    const bool accepts =
        pacing_.acceptsCopies(source, holders_, promiseCollector() == context_.settings.vm, now);
    if (accepts)
        pacing_.noteCopiesRequested(now);
    return accepts;
}

// Whether to send the copy to the peer now.
bool FleetPeers::admitsCopy(const VmId &vm, const GroupCopy &copy, bool declined)
{
    if (!members_.isLarge())
        return true;
    const std::size_t size = sizeOf(copy);
    const bool changes = copy.group == ObjectGroup::Records && copy.since;
    // Records that the store has lost are collected from all members before any can be replaced.
    const bool small = size <= ExchangePacing::smallCopyBytes || (changes && !copy.carried.empty());
    if (declined && !small)
        return false;
    const CopyUrgency urgency = changes ? CopyUrgency::RecordChanges
                                : copy.group == ObjectGroup::Configuration
                                    ? CopyUrgency::Configuration
                                    : CopyUrgency::Rest;
    // Differs whenever the group differs.
    const std::uint64_t state = copy.version.revision.value() ^ (copy.version.era.value() << 48U)
                                ^ context_.feed(copy.group).replica().state().carried;
    const bool admitted =
        pacing_.takeCopy(vm, !isOfRegion(vm), static_cast<std::size_t>(copy.group), state, urgency,
                         size, context_.clock.now());
    if (!admitted)
        LinkTraffic::ofProcess().addWithheldCopy();
    return admitted;
}

std::vector<GroupCopy> FleetPeers::copiesFor(const PeerReport &peer)
{
    const auto admits = [&](const GroupCopy &copy) {
        const StoreEra known = peer.replicas.at(static_cast<std::size_t>(copy.group)).content.era;
        const bool requested =
            (peer.wantsEra && known != copy.version.era)
            || (peer.wantsConfiguration && copy.group == ObjectGroup::Configuration);
        return admitsCopy(peer.vm, copy, peer.declinesCopies && !requested);
    };
    return context_.copiesFor(peer, members_.isLarge(), admits);
}

void FleetPeers::noteExchangeEnd(ExchangeEnd end)
{
    const auto slowed = pacing_.noteEnd(end, context_.clock.now());
    if (slowed && members_.isLarge())
        logEvent(*slowed ? Event::PeerAnswersLate : Event::PeerAnswersInTime,
                 {{"timeout_ms", pacing_.timeout().count()}});
}

// A member to exchange reports with, besides the collector. A daemon that its confirmers refuse
// copies asks others of its region; else any member will do that has not just failed to answer.
VmId FleetPeers::chooseOther(TimePoint now)
{
    std::vector<VmId> choices;
    if (pacing_.asksRegionMembers()) {
        for (const auto &[vm, state] : peerStates_) {
            if (state.report && state.failures == 0 && isOfRegion(vm) && holdsNewer(*state.report))
                choices.push_back(vm);
        }
    }
    if (choices.empty()) {
        for (const auto &[vm, state] : peerStates_) {
            if (members_.contains(vm)
                && now - state.askedAt >= ExchangePacing::retryDelay(state.failures))
                choices.push_back(vm);
        }
    }
    return choices.empty() ? promiseCollector() : choices.at(context_.random.below(choices.size()));
}

// Fetches a newer configuration from one peer at a time. If every answer held a large one, it would
// fill the links while the store is unreachable and half of the fleet lacks it.
void FleetPeers::fetchNewerConfiguration(TimePoint now)
{
    const GroupReplica &own = context_.feed(ObjectGroup::Configuration).replica();
    std::vector<VmId> holders;
    for (const auto &[vm, state] : peerStates_) {
        if (members_.contains(vm) && state.failures == 0 && state.report
            && own.isBehind(state.report->replicas.at(configurationIndex)))
            holders.push_back(vm);
    }
    if (holders.empty()) {
        configurationOutdatedSince_.reset();
        return;
    }
    if (members_.isLarge())
        preferRegion(holders);
    if (!configurationOutdatedSince_)
        configurationOutdatedSince_ = now;
    if (fetchingConfiguration_ || now - *configurationOutdatedSince_ < configurationFetchDelay
        || now < nextConfigurationFetch_)
        return;
    fetchingConfiguration_ = true;
    nextConfigurationFetch_ = now + context_.random.delayAround(configurationFetchInterval);
    const VmId &holder = holders.at(context_.random.below(holders.size()));
    PeerReport report = makeReport();
    report.wantsConfiguration = true;
    context_.peers.exchange(members_.others().at(holder).record.address, report,
                            configurationFetchTimeout,
                            [this, alive = context_.alive](const auto &outcome) {
                                if (!*alive)
                                    return;
                                fetchingConfiguration_ = false;
                                if (const auto *answer = std::get_if<PeerReport>(&outcome))
                                    context_.applyCopies(answer->copies);
                            });
}

bool FleetPeers::isOfLaterEra(const PeerStatus &peer) const
{
    for (const ObjectGroup group : {ObjectGroup::Endpoints, ObjectGroup::Records}) {
        const StoreEra era = peer.replicas.at(static_cast<std::size_t>(group)).content.era;
        if (era > context_.feed(group).version().era)
            return true;
    }
    return false;
}

// In a large fleet, a daemon fetches the objects of a later era from one peer at a time, if
// possible from a confirmer of its region: whole copies in all answers would fill the links.
void FleetPeers::fetchLaterEra(TimePoint now)
{
    const bool listsItself = context_.records().watching() && !context_.records().failing();
    if (!members_.isLarge() || fetchingEra_ || listsItself || now < nextEraFetch_)
        return;
    std::vector<VmId> holders;
    const auto consider = [&](const VmId &vm) {
        const auto state = peerStates_.find(vm);
        if (state != peerStates_.end() && state->second.failures == 0 && state->second.report
            && !state->second.exchanging && isOfLaterEra(*state->second.report))
            holders.push_back(vm);
    };
    for (const VmId &vm : members_.confirmers())
        consider(vm);
    if (holders.empty()) {
        for (const auto &[vm, member] : members_.others())
            consider(vm);
        preferRegion(holders);
    }
    if (holders.empty())
        return;
    nextEraFetch_ = now + context_.random.delayAround(pacing_.interval(eraFetchInterval));
    exchangeWithMember(holders.at(context_.random.below(holders.size())));
}

} // namespace pistachiowood
