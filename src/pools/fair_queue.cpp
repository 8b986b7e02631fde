#include "pools/fair_queue.h"

#include "base/log.h"

#include <algorithm>

namespace pistachiowood {

namespace {

template <typename T>
void rotateRing(std::deque<T> &ring)
{
    ring.push_back(std::move(ring.front()));
    ring.pop_front();
}

std::uint32_t clampWeight(std::uint32_t weight)
{
    return std::clamp<std::uint32_t>(weight, 1, maxTeamWeight);
}

bool isEligible(std::size_t nonTransactionCount, bool allowTransactions)
{
    return allowTransactions || nonTransactionCount > 0;
}

} // namespace

FairQueue::FairQueue(std::size_t limit)
    : limit_(limit)
{
}

Admission FairQueue::push(const PoolRequest &request, const QueueLoad &load)
{
    if (request.deadline <= load.now)
        return {AdmissionRefusal::Expired, std::nullopt};
    // The queue length is an upper bound of countAhead, which is computed only if that is exceeded.
    const auto remaining = request.deadline - load.now;
    const auto exceeds = [&](std::size_t queued) {
        return load.waitPerEntry * (queued + load.requestsAhead) > remaining;
    };
    if (exceeds(size()) && exceeds(countAhead(request)))
        return {AdmissionRefusal::WouldExpire, std::nullopt};

    Admission admission;
    if (size() >= limit_) {
        admission.evicted = findEntryToEvict(request);
        if (!admission.evicted)
            return {AdmissionRefusal::Full, std::nullopt};
        remove(*admission.evicted);
    }

    const bool isNew =
        index_.emplace(request.ticket, Location{request.team, request.sessionKey, request.deadline})
            .second;
    checkInvariant(isNew, Event::InvariantBroken,
                   {{"rule", "a ticket is queued once"}, {"ticket", request.ticket.value()}});
    deadlines_.emplace(request.deadline, request.ticket);
    Team &team = teams_[request.team];
    if (team.entryCount == 0)
        ring_.push_back(request.team);
    team.weight = clampWeight(request.teamWeight);
    Session &session = team.sessions[request.sessionKey];
    if (session.entries.empty())
        team.ring.push_back(request.sessionKey);
    session.entries.push_back(request);
    ++team.entryCount;
    if (!request.forTransaction) {
        ++team.nonTransactionCount;
        ++session.nonTransactionCount;
    }
    return admission;
}

std::optional<PoolRequest> FairQueue::pop(bool allowTransactions)
{
    for (std::size_t visited = 0; visited < ring_.size(); ++visited) {
        const TeamName name = ring_.front();
        if (isEligible(teams_.at(name).nonTransactionCount, allowTransactions))
            return popFrom(name, allowTransactions);
        rotateRing(ring_);
    }
    return std::nullopt;
}

PoolRequest FairQueue::popFrom(const TeamName &name, bool allowTransactions)
{
    Team &team = teams_.at(name);
    while (!isEligible(team.sessions.at(team.ring.front()).nonTransactionCount, allowTransactions))
        rotateRing(team.ring);
    const std::deque<PoolRequest> &entries = team.sessions.at(team.ring.front()).entries;
    PoolRequest request =
        *std::find_if(entries.begin(), entries.end(), [&](const PoolRequest &entry) {
            return allowTransactions || !entry.forTransaction;
        });
    rotateRing(team.ring);
    if (team.deficit == 0)
        team.deficit = team.weight;
    if (--team.deficit == 0)
        rotateRing(ring_);
    remove(request.ticket);
    return request;
}

bool FairQueue::remove(Ticket ticket)
{
    const auto found = index_.find(ticket);
    if (found == index_.end())
        return false;
    const Location location = std::move(found->second);
    index_.erase(found);
    deadlines_.erase({location.deadline, ticket});

    Team &team = teams_.at(location.team);
    Session &session = team.sessions.at(location.session);
    const auto entry =
        std::find_if(session.entries.begin(), session.entries.end(),
                     [&](const PoolRequest &request) { return request.ticket == ticket; });
    if (!entry->forTransaction) {
        --team.nonTransactionCount;
        --session.nonTransactionCount;
    }
    session.entries.erase(entry);
    --team.entryCount;
    if (session.entries.empty()) {
        team.sessions.erase(location.session);
        std::erase(team.ring, location.session);
    }
    if (team.entryCount == 0) {
        teams_.erase(location.team);
        std::erase(ring_, location.team);
    }
    return true;
}

std::vector<Ticket> FairQueue::takeExpired(TimePoint now)
{
    std::vector<Ticket> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired.push_back(deadlines_.begin()->second);
        remove(expired.back());
    }
    return expired;
}

std::vector<Ticket> FairQueue::setLimit(std::size_t limit)
{
    limit_ = limit;
    std::vector<Ticket> removed;
    while (size() > limit_) {
        removed.push_back(findNewest(*findLargestTeam(std::nullopt, 1)));
        remove(removed.back());
    }
    return removed;
}

std::vector<Ticket> FairQueue::takeAll()
{
    std::vector<Ticket> removed;
    while (auto request = pop())
        removed.push_back(request->ticket);
    return removed;
}

std::size_t FairQueue::countAhead(const PoolRequest &arrival) const
{
    // Within the team, each other session is served at most once per turn of the arrival's session.
    std::size_t ahead = 0;
    if (const auto found = teams_.find(arrival.team); found != teams_.end()) {
        const auto &sessions = found->second.sessions;
        const auto own = sessions.find(arrival.sessionKey);
        const std::size_t turns = own == sessions.end() ? 1 : own->second.entries.size() + 1;
        for (const auto &[key, session] : sessions)
            ahead +=
                std::min(session.entries.size(), key == arrival.sessionKey ? turns - 1 : turns);
    }
    // In each round, every other team is served at most as many entries as its weight.
    const std::size_t rounds = ahead / clampWeight(arrival.teamWeight) + 1;
    for (const auto &[name, team] : teams_) {
        if (name != arrival.team)
            ahead += std::min(team.entryCount, rounds * team.weight);
    }
    return ahead;
}

std::optional<Ticket> FairQueue::findEntryToEvict(const PoolRequest &arrival) const
{
    const auto own = teams_.find(arrival.team);
    const std::size_t held = own == teams_.end() ? 0 : own->second.entryCount;
    const std::uint64_t weight = clampWeight(arrival.teamWeight);
    std::uint64_t weights = weight;
    for (const auto &[name, team] : teams_)
        weights += name == arrival.team ? 0 : team.weight;

    // The first entry of a team is admitted even if its share is less than one entry. A flow with a
    // single entry is never evicted, otherwise two such flows would evict each other repeatedly.
    const bool belowShare = held == 0 || (held + 1) * weights <= limit_ * weight;
    if (belowShare) {
        if (const auto largest = findLargestTeam(arrival.team, 2))
            return findNewest(*largest);
    }
    if (own == teams_.end())
        return std::nullopt;
    const auto session = own->second.sessions.find(arrival.sessionKey);
    const std::size_t sessionHeld =
        session == own->second.sessions.end() ? 0 : session->second.entries.size();
    if (findLargestSession(own->second).second >= sessionHeld + 2)
        return findNewest(arrival.team);
    return std::nullopt;
}

std::optional<TeamName> FairQueue::findLargestTeam(const std::optional<TeamName> &except,
                                                   std::size_t minimum) const
{
    const std::pair<const TeamName, Team> *largest = nullptr;
    for (const auto &entry : teams_) {
        const Team &team = entry.second;
        if (entry.first == except || team.entryCount < minimum)
            continue;
        if (!largest
            || team.entryCount * largest->second.weight > largest->second.entryCount * team.weight)
            largest = &entry;
    }
    return largest ? std::optional(largest->first) : std::nullopt;
}

std::pair<std::string, std::size_t> FairQueue::findLargestSession(const Team &team)
{
    std::pair<std::string, std::size_t> largest;
    // Iterates in round-robin order, not in hash order, so that ties are broken deterministically.
    for (const std::string &key : team.ring) {
        if (const std::size_t held = team.sessions.at(key).entries.size(); held > largest.second)
            largest = {key, held};
    }
    return largest;
}

Ticket FairQueue::findNewest(const TeamName &name) const
{
    const Team &team = teams_.at(name);
    return team.sessions.at(findLargestSession(team).first).entries.back().ticket;
}

} // namespace pistachiowood
