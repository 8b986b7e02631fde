#include "membership/membership.h"

#include "base/log.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pistachiowood {

namespace {

constexpr std::size_t maxMemberIdLength = 128;
constexpr std::size_t maxRelays = 64;
// Join requests sent at a time before the first answer; several, because some of the daemons that
// are contacted may be starting at the same time.
constexpr std::size_t maxInitialJoinRequests = 3;
constexpr std::size_t maxSuspectPings = 3; // per period; bounds the traffic when a zone fails

bool isWellFormed(const MemberRecord &record)
{
    return !record.id.value().empty() && record.id.value().size() <= maxMemberIdLength
           && record.control.port != 0 && record.incarnation.value() < UINT64_MAX;
}

bool isLive(const MemberRecord &record)
{
    return record.state != MemberState::Dead;
}

bool isSuspectOrDead(const MemberRecord &record)
{
    return record.state == MemberState::Suspect || record.state == MemberState::Dead;
}

Event eventOf(MemberState state)
{
    switch (state) {
    case MemberState::Suspect:
        return Event::MemberSuspected;
    case MemberState::Leaving:
        return Event::MemberLeaving;
    case MemberState::Dead:
        return Event::MemberDead;
    case MemberState::Alive:
        break;
    }
    return Event::MemberAlive;
}

} // namespace

Membership::Membership(MemberRecord self, RandomSource &random, TimePoint now,
                       MembershipOptions options)
    : self_(std::move(self))
    , random_(random)
    , options_(options)
    , nextPeriod_(now + random.delayUpTo(options.protocolPeriod / 2))
    , lastTick_(now)
{
}

Milliseconds Membership::suspicionTimeout() const
{
    const double scale = std::log2(static_cast<double>(liveCount())) / std::log2(6.0);
    return Milliseconds(std::llround(static_cast<double>(options_.baseSuspicionTimeout.count())
                                     * std::max(1.0, scale)));
}

unsigned Membership::transmissionLimit() const
{
    return static_cast<unsigned>(std::ceil(3 * std::log2(static_cast<double>(liveCount()) + 1)));
}

void Membership::queueUpdate(const VmId &id)
{
    std::erase_if(updates_, [&id](const Update &update) { return update.id == id; });
    updates_.push_back({id});
}

void Membership::setState(TimePoint now, Member &member, MemberState state)
{
    if (member.countedLive != (state != MemberState::Dead)) {
        member.countedLive = !member.countedLive;
        liveMemberCount_ = member.countedLive ? liveMemberCount_ + 1 : liveMemberCount_ - 1;
    }
    member.record.state = state;
    member.deadline.reset();
    if (state == MemberState::Suspect)
        member.deadline = now + suspicionTimeout();
    else if (state == MemberState::Dead)
        member.deadline = now + options_.unlistedDeadRetention;
    logEvent(eventOf(state), {{"member", member.record.id.value()},
                              {"zone", member.record.zone.value()},
                              {"incarnation", member.record.incarnation.value()}});
    queueUpdate(member.record.id);
    ++rosterVersion_;
}

void Membership::refute(const MemberRecord &record)
{
    const bool agrees = record.incarnation == self_.incarnation && !isSuspectOrDead(record);
    if (record.incarnation < self_.incarnation || agrees)
        return;
    self_.incarnation = Incarnation(record.incarnation.value() + 1);
    logEvent(Event::MemberRefuted, {{"incarnation", self_.incarnation.value()}});
    queueUpdate(self_.id);
    ++rosterVersion_;
}

void Membership::mergeRecord(TimePoint now, const MemberRecord &record, bool isSenderRecord,
                             bool isSenderTrusted)
{
    if (!isWellFormed(record) || (isSuspectOrDead(record) && !isSenderTrusted))
        return;
    if (record.id == self_.id) {
        refute(record);
        return;
    }
    const auto found = members_.find(record.id);
    if (found == members_.end()) {
        // Adding unknown dead members would let gossip restore removed ones indefinitely.
        if (record.state == MemberState::Dead || members_.size() >= maxMembers)
            return;
        Member &member = members_[record.id];
        member.record = record;
        setState(now, member, record.state);
        return;
    }
    Member &member = found->second;
    MemberRecord &known = member.record;
    if (record.incarnation < known.incarnation)
        return;
    if (record.incarnation > known.incarnation) {
        known = record;
        setState(now, member, record.state);
        return;
    }
    known.appliedVersion = std::max(known.appliedVersion, record.appliedVersion);
    if (isSenderRecord)
        known.statusDigest = record.statusDigest;
    if (record.state > known.state)
        setState(now, member, record.state);
}

bool Membership::applyBody(TimePoint now, const GossipBody &body)
{
    if (!isWellFormed(body.sender) || body.sender.id == self_.id || isSuspectOrDead(body.sender)
        || body.updates.size() > maxGossipUpdates) {
        logEvent(Event::MembershipMessageRefused, {{"sender", body.sender.id.value()}});
        return false;
    }
    mergeRecord(now, body.sender, true, true);
    const MemberRecord *sender = find(body.sender.id);
    const bool isSenderTrusted =
        sender && sender->incarnation == body.sender.incarnation && !isSuspectOrDead(*sender);
    for (const MemberRecord &record : body.updates) {
        // A record about this daemon can only cause a refutation, so any sender may report it.
        mergeRecord(now, record, false, isSenderTrusted || record.id == self_.id);
    }
    applySummary(body.versions);
    return true;
}

std::vector<const MemberRecord *> Membership::roster() const
{
    std::vector<const MemberRecord *> live;
    live.reserve(liveMemberCount_ + 1);
    bool selfAdded = false;
    for (const auto &[id, member] : members_) {
        if (!selfAdded && self_.id < id) {
            live.push_back(&self_);
            selfAdded = true;
        }
        if (isLive(member.record))
            live.push_back(&member.record);
    }
    if (!selfAdded)
        live.push_back(&self_);
    return live;
}

VersionSummary Membership::summarize() const
{
    const auto live = roster();
    if (rosterDigestVersion_ != rosterVersion_) {
        std::uint64_t digest = 0;
        for (const MemberRecord *record : live) {
            const std::string &id = record->id.value();
            digest = XXH64(id.data(), id.size(), digest ^ record->incarnation.value());
        }
        rosterDigest_ = digest;
        rosterDigestVersion_ = rosterVersion_;
    }
    VersionSummary summary{highestAppliedVersion(), rosterDigest_, {}};
    summary.bits.resize((live.size() + 7) / 8);
    for (std::size_t index = 0; index < live.size(); ++index) {
        if (live[index]->appliedVersion >= summary.version)
            summary.bits[index / 8] |= static_cast<std::uint8_t>(1U << (index % 8));
    }
    return summary;
}

void Membership::applySummary(const VersionSummary &summary)
{
    const VersionSummary own = summarize();
    if (summary.rosterDigest != own.rosterDigest || summary.bits.size() != own.bits.size())
        return;
    std::size_t index = 0;
    for (const MemberRecord *record : roster()) {
        const bool set = (summary.bits[index / 8] >> (index % 8) & 1U) != 0;
        ++index;
        if (!set || record == &self_)
            continue;
        MemberRecord &known = members_.at(record->id).record;
        known.appliedVersion = std::max(known.appliedVersion, summary.version);
    }
}

GossipBody Membership::makeBody(const VmId &receiver)
{
    GossipBody body{self_, {}, summarize()};
    const auto known = members_.find(receiver);
    if (known != members_.end() && isSuspectOrDead(known->second.record))
        body.updates.push_back(known->second.record);
    std::stable_sort(updates_.begin(), updates_.end(), [](const Update &a, const Update &b) {
        return a.transmissions < b.transmissions;
    });
    for (Update &update : updates_) {
        if (body.updates.size() == maxGossipUpdates)
            break;
        ++update.transmissions;
        if (update.id == self_.id || update.id == receiver)
            continue; // the sender's record is always present, the receiver's only if suspect or
                      // dead
        if (const MemberRecord *record = find(update.id))
            body.updates.push_back(*record);
    }
    const unsigned limit = transmissionLimit();
    std::erase_if(updates_,
                  [limit](const Update &update) { return update.transmissions >= limit; });
    return body;
}

std::vector<VmId> Membership::pickRandomMembers(std::size_t count, const VmId &except)
{
    std::vector<VmId> candidates;
    for (const auto &[id, member] : members_) {
        if (id != except && isLive(member.record))
            candidates.push_back(id);
    }
    for (std::size_t index = 0; index < std::min(count, candidates.size()); ++index)
        std::swap(candidates[index], candidates[index + random_.below(candidates.size() - index)]);
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

std::optional<VmId> Membership::nextProbeTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!probeOrder_.empty()) {
            const VmId id = probeOrder_.back();
            probeOrder_.pop_back();
            if (const MemberRecord *record = find(id); record && isLive(*record))
                return id;
        }
        probeOrder_ = pickRandomMembers(members_.size(), self_.id);
    }
    return std::nullopt;
}

Send Membership::ping(const VmId &id, const SocketAddress &address, std::uint64_t sequence)
{
    return {address, Ping{sequence, makeBody(id)}};
}

MembershipCommands Membership::handle(TimePoint now, const GossipMessage &message)
{
    struct Visitor
    {
        Membership &membership;
        TimePoint now;
        MembershipCommands operator()(const Ping &m) const { return membership.handlePing(now, m); }
        MembershipCommands operator()(const Ack &m) const { return membership.handleAck(now, m); }
        MembershipCommands operator()(const PingRequest &m) const
        {
            return membership.handlePingRequest(now, m);
        }
        MembershipCommands operator()(const JoinRequest &m) const
        {
            return membership.handleJoinRequest(now, m);
        }
        MembershipCommands operator()(const JoinAnswer &m) const
        {
            return membership.handleJoinAnswer(now, m);
        }
    };
    return std::visit(Visitor{*this, now}, message);
}

MembershipCommands Membership::handlePing(TimePoint now, const Ping &ping)
{
    if (!applyBody(now, ping.body))
        return {};
    const MemberRecord &sender = ping.body.sender;
    return {{sender.control, Ack{ping.sequence, self_.id, makeBody(sender.id)}}};
}

MembershipCommands Membership::handleAck(TimePoint now, const Ack &ack)
{
    if (!applyBody(now, ack.body))
        return {};
    if (probe_ && ack.sequence == probe_->sequence && ack.responder == probe_->target)
        probe_->answered = true;
    const auto found = relays_.find(ack.sequence);
    if (found == relays_.end() || found->second.target != ack.responder)
        return {};
    const Relay relay = found->second;
    relays_.erase(found);
    GossipBody body = makeBody(relay.originId);
    // Always included, because the target's record may refute the origin's suspicion.
    if (body.updates.size() == maxGossipUpdates)
        body.updates.pop_back();
    body.updates.push_back(ack.body.sender);
    return {{relay.origin, Ack{relay.sequence, relay.target, std::move(body)}}};
}

MembershipCommands Membership::handlePingRequest(TimePoint now, const PingRequest &request)
{
    if (!applyBody(now, request.body) || relays_.size() >= maxRelays)
        return {};
    const std::uint64_t sequence = ++lastSequence_;
    const MemberRecord &sender = request.body.sender;
    relays_[sequence] = {sender.control, request.sequence, sender.id, request.target,
                         now + options_.protocolPeriod};
    return {ping(request.target, request.targetAddress, sequence)};
}

MembershipCommands Membership::handleJoinRequest(TimePoint now, const JoinRequest &request)
{
    if (!applyBody(now, request.body))
        return {};
    joined_ = true;
    JoinAnswer answer{makeBody(request.body.sender.id), {}};
    for (const auto &[id, member] : members_) {
        if (id != request.body.sender.id && isLive(member.record))
            answer.members.push_back(member.record);
    }
    return {{request.body.sender.control, std::move(answer)}};
}

MembershipCommands Membership::handleJoinAnswer(TimePoint now, const JoinAnswer &answer)
{
    if (!applyBody(now, answer.body) || answer.members.size() > maxMembers)
        return {};
    joined_ = true;
    // Not queued for gossip: the others know these members, and queueing them would delay new
    // updates.
    const std::vector<Update> queuedUpdates = updates_;
    for (const MemberRecord &record : answer.members)
        mergeRecord(now, record, false, true);
    updates_ = queuedUpdates;
    return {};
}

MembershipCommands Membership::handleVmList(TimePoint now, const std::vector<VmListEntry> &list)
{
    const bool isFirstList = vmList_.empty();
    vmList_ = list;
    std::erase_if(vmList_, [this](const VmListEntry &entry) { return entry.id == self_.id; });
    if (vmList_.size() > maxMembers)
        vmList_.resize(maxMembers);
    MembershipCommands commands;
    if (isFirstList && !joined_)
        sendJoinRequests(commands);
    expireDeadlines(now);
    return commands;
}

void Membership::sendJoinRequests(MembershipCommands &commands)
{
    std::vector<VmListEntry> unknown;
    for (const VmListEntry &entry : vmList_) {
        const bool isKnown =
            members_.contains(entry.id)
            || std::any_of(members_.begin(), members_.end(), [&](const auto &item) {
                   return item.second.record.control == entry.control;
               });
        if (!isKnown)
            unknown.push_back(entry);
    }
    for (std::size_t i = joined_ ? 1 : maxInitialJoinRequests; i > 0 && !unknown.empty(); --i) {
        const auto chosen =
            unknown.begin() + static_cast<std::ptrdiff_t>(random_.below(unknown.size()));
        commands.push_back({chosen->control, JoinRequest{makeBody(chosen->id)}});
        unknown.erase(chosen);
    }
}

// Pings include the suspicion. Repeating them each period lets a live suspect refute it in time
// despite message loss.
void Membership::pingSuspects(MembershipCommands &commands)
{
    std::size_t pings = 0;
    for (const auto &[id, member] : members_) {
        if (member.record.state == MemberState::Suspect && pings++ < maxSuspectPings)
            commands.push_back(ping(id, member.record.control, ++lastSequence_));
    }
}

void Membership::pingDeadMember(MembershipCommands &commands)
{
    std::vector<const MemberRecord *> dead;
    for (const auto &[id, member] : members_) {
        if (!isLive(member.record))
            dead.push_back(&member.record);
    }
    if (!dead.empty()) {
        const MemberRecord &record = *dead[random_.below(dead.size())];
        commands.push_back(ping(record.id, record.control, ++lastSequence_));
    }
}

void Membership::expireDeadlines(TimePoint now)
{
    std::vector<VmId> removed;
    for (auto &[id, member] : members_) {
        if (!member.deadline || now < *member.deadline)
            continue;
        if (member.record.state != MemberState::Dead) {
            setState(now, member, MemberState::Dead);
            continue;
        }
        const bool listed = vmList_.empty()
                            || std::any_of(vmList_.begin(), vmList_.end(),
                                           [&id = id](const VmListEntry &e) { return e.id == id; });
        const Milliseconds listedExtension =
            options_.deadRetention - options_.unlistedDeadRetention;
        if (!listed || now >= *member.deadline + listedExtension)
            removed.push_back(id);
    }
    for (const VmId &id : removed)
        members_.erase(id);
    if (!removed.empty())
        ++rosterVersion_;
    std::erase_if(relays_, [now](const auto &entry) { return now >= entry.second.expires; });
}

void Membership::compensateForPause(TimePoint now)
{
    const auto pause = now - lastTick_;
    lastTick_ = now;
    if (pause < 2 * options_.protocolPeriod)
        return;
    // Answers may have arrived during the pause, so their absence is no sign of a failed member.
    probe_.reset();
    for (auto &[id, member] : members_) {
        if (member.deadline)
            *member.deadline += pause;
    }
}

void Membership::startPeriod(TimePoint now, MembershipCommands &commands)
{
    nextPeriod_ = now + options_.protocolPeriod;
    if (probe_ && !probe_->answered) {
        const auto target = members_.find(probe_->target);
        if (target != members_.end()) {
            Member &member = target->second;
            if (member.record.state == MemberState::Alive)
                setState(now, member, MemberState::Suspect);
            else if (member.record.state == MemberState::Leaving && !member.deadline)
                member.deadline = now + suspicionTimeout();
        }
    } else if (probe_) {
        const auto target = members_.find(probe_->target);
        if (target != members_.end() && target->second.record.state == MemberState::Leaving)
            target->second.deadline.reset();
    }
    probe_.reset();
    if (const auto target = nextProbeTarget()) {
        probe_ = Probe{*target, ++lastSequence_, now};
        commands.push_back(ping(*target, find(*target)->control, probe_->sequence));
    }
    sendJoinRequests(commands);
    pingSuspects(commands);
    if (++periodCount_ % options_.deadProbePeriods == 0)
        pingDeadMember(commands);
}

MembershipCommands Membership::tick(TimePoint now)
{
    MembershipCommands commands;
    compensateForPause(now);
    expireDeadlines(now);
    if (probe_ && !probe_->answered && !probe_->indirect
        && now >= probe_->started + options_.directProbeTimeout) {
        probe_->indirect = true;
        if (const MemberRecord *target = find(probe_->target)) {
            const SocketAddress address = target->control;
            for (const VmId &id : pickRandomMembers(options_.indirectProbeCount, probe_->target))
                commands.push_back({find(id)->control, PingRequest{probe_->sequence, probe_->target,
                                                                   address, makeBody(id)}});
        }
    }
    if (now >= nextPeriod_)
        startPeriod(now, commands);
    return commands;
}

TimePoint Membership::nextTick() const
{
    if (probe_ && !probe_->answered && !probe_->indirect)
        return std::min(nextPeriod_, probe_->started + options_.directProbeTimeout);
    return nextPeriod_;
}

MembershipCommands Membership::leave(TimePoint)
{
    self_.state = MemberState::Leaving;
    queueUpdate(self_.id);
    ++rosterVersion_;
    MembershipCommands commands;
    for (const VmId &id : pickRandomMembers(options_.indirectProbeCount, self_.id))
        commands.push_back(ping(id, find(id)->control, ++lastSequence_));
    return commands;
}

void Membership::setAppliedConfiguration(ResourceVersion version, std::uint64_t statusDigest)
{
    self_.appliedVersion = std::max(self_.appliedVersion, version);
    self_.statusDigest = statusDigest;
}

std::vector<MemberRecord> Membership::members() const
{
    std::vector<MemberRecord> all{self_};
    for (const auto &[id, member] : members_)
        all.push_back(member.record);
    return all;
}

const MemberRecord *Membership::find(const VmId &id) const
{
    if (id == self_.id)
        return &self_;
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second.record;
}

ResourceVersion Membership::lowestAppliedVersion() const
{
    ResourceVersion lowest = self_.appliedVersion;
    for (const auto &[id, member] : members_) {
        if (isLive(member.record))
            lowest = std::min(lowest, member.record.appliedVersion);
    }
    return lowest;
}

ResourceVersion Membership::highestAppliedVersion() const
{
    ResourceVersion highest = self_.appliedVersion;
    for (const auto &[id, member] : members_) {
        if (isLive(member.record))
            highest = std::max(highest, member.record.appliedVersion);
    }
    return highest;
}

} // namespace pistachiowood
