#include "gateway/link_pool.h"

#include "base/address.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Weights of a new sample in the exponential moving averages.
constexpr double latencyWeight = 0.1;
constexpr double holdWeight = 0.05;
// Idle time after which a connection above this daemon's share is closed, so that the daemons to
// whose share it belongs can open theirs.
constexpr Milliseconds borrowedIdleLifetime{300};
// Time without connections above the share after the endpoint reported too many connections.
constexpr Milliseconds borrowPause{1000};
// Endpoints close connections that are idle for 60 s; the pool closes them well before, so that no
// statement is sent on a connection that is being closed.
constexpr Milliseconds idleLifetime{30000};
// Delay after a failed connect, doubled with each failure up to 800 ms: an endpoint restarts within
// seconds.
constexpr Milliseconds dialBackoff{100};
constexpr unsigned maxDialBackoffShift = 3;
// An endpoint that has statements to run replies on some connection all the time. It counts as
// failing if a reply is due for this long and none arrives on any connection. A rollback without a
// reply for this long closes its connection.
constexpr Milliseconds silenceLimit{600};
// Time to open a connection. A handshake takes 12 ms, plus the time that it waits behind queued
// statements.
constexpr Milliseconds handshakeLimit{2000};

} // namespace

PooledLink::PooledLink(LinkPool &pool, std::uint64_t id)
    : pool_(pool)
    , id_(id)
{
}

PooledLink::~PooledLink() = default;

void PooledLink::send(const SessionStatement &statement)
{
    ++outstanding_;
    lastSend_ = pool_.clock_.now();
    link_->send(statement);
}

void PooledLink::handleLinkOpened(std::optional<TermPosition> position)
{
    pool_.handleOpened(*this, position);
}

void PooledLink::handleLinkReply(StatementReply reply)
{
    pool_.handleReply(*this, std::move(reply));
}

void PooledLink::handleLinkFailed(LinkFailure failure, const std::string &reason)
{
    pool_.handleFailed(*this, failure, reason);
}

LinkPool::LinkPool(EventLoop &loop, const Clock &clock, EndpointDialer &dialer, ServiceName service,
                   EndpointView endpoint, PositionHandler positions)
    : loop_(loop)
    , clock_(clock)
    , dialer_(dialer)
    , service_(std::move(service))
    , endpoint_(std::move(endpoint))
    , positions_(std::move(positions))
{
}

LinkPool::~LinkPool()
{
    *alive_ = false;
}

LinkPool::Ticket LinkPool::acquire(LinkUser &user, const SessionVariables &variables,
                                   unsigned priority, TimePoint deadline)
{
    const Ticket ticket = ++lastTicket_;
    waiters_.emplace(WaiterKey{priority, deadline, ticket}, Waiter{ticket, &user, variables});
    serveWaitersSoon(); // asynchronous, so that the caller has stored the ticket before its grant
    return ticket;
}

void LinkPool::cancel(Ticket ticket)
{
    std::erase_if(waiters_, [&](const auto &entry) { return entry.second.ticket == ticket; });
}

PooledLink *LinkPool::findIdle(const SessionVariables &variables)
{
    PooledLink *best = nullptr;
    std::size_t bestChanges = 0;
    for (const auto &[id, link] : links_) {
        if (link->state_ != PooledLink::State::Idle)
            continue;
        const std::size_t changes = countVariableChanges(link->sessionState, variables);
        if (!best || changes < bestChanges
            || (changes == bestChanges && link->idleSince_ > best->idleSince_)) {
            best = link.get();
            bestChanges = changes;
        }
    }
    return best;
}

void LinkPool::serveWaitersSoon()
{
    loop_.post([this, alive = alive_] {
        if (*alive)
            serveWaiters();
    });
}

void LinkPool::serveWaiters()
{
    while (!waiters_.empty()) {
        PooledLink *link = findIdle(waiters_.begin()->second.variables);
        if (!link)
            break;
        const Waiter waiter = std::move(waiters_.extract(waiters_.begin()).mapped());
        grant(*link, *waiter.user);
    }
    openLinks();
}

void LinkPool::openLinks()
{
    if (waiters_.empty())
        return;
    if (clock_.now() < dialBlockedUntil_) {
        const bool none = std::none_of(links_.begin(), links_.end(), [](const auto &entry) {
            return entry.second->state_ != PooledLink::State::Opening;
        });
        if (none)
            refuseWaiters(LinkFailure::Unreachable);
        return;
    }
    auto opening =
        static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) {
            return entry.second->state_ == PooledLink::State::Opening;
        }));
    while (opening < waiters_.size() && links_.size() < limit()) {
        const std::uint64_t id = ++lastLink_;
        auto &link = links_.emplace(id, std::make_unique<PooledLink>(*this, id)).first->second;
        link->lastSend_ = clock_.now();
        link->link_ = dialer_.dial(service_, endpoint_, *link);
        ++opening;
    }
}

void LinkPool::setLimit(std::size_t share, std::size_t borrowFactor)
{
    kept_ = share;
    share_ = std::max<std::size_t>(share, 1);
    most_ = share_ * borrowFactor;
}

std::size_t LinkPool::limit() const
{
    return clock_.now() < borrowBlockedUntil_ ? share_ : most_;
}

void LinkPool::grant(PooledLink &link, LinkUser &user)
{
    link.grantedAt_ = clock_.now();
    link.state_ = PooledLink::State::InUse;
    link.user_ = &user;
    user.handleLinkGranted(link);
}

void LinkPool::refuseWaiters(LinkFailure failure)
{
    auto refused = std::exchange(waiters_, {});
    for (auto &[key, waiter] : refused)
        waiter.user->handleLinkRefused(failure);
}

void LinkPool::release(PooledLink &link)
{
    if (link.user_) {
        const double held =
            std::chrono::duration<double, std::milli>(clock_.now() - link.grantedAt_).count();
        holdMs_ += holdWeight * (held - holdMs_);
    }
    link.user_ = nullptr;
    if (link.outstanding_ > 0) {
        discard(link);
        return;
    }
    if (link.phase_ != SessionPhase::Idle) {
        link.state_ = PooledLink::State::RollingBack;
        link.send({.verb = Verb::Rollback});
        return;
    }
    link.state_ = PooledLink::State::Idle;
    link.idleSince_ = clock_.now();
    if (!waiters_.empty())
        serveWaitersSoon();
}

void LinkPool::discard(PooledLink &link)
{
    removeLink(link.id_);
}

void LinkPool::removeLink(std::uint64_t id)
{
    const auto found = links_.find(id);
    if (found == links_.end())
        return;
    // The connection may be in one of its own callbacks, so it is destroyed from the event loop.
    std::shared_ptr<PooledLink> dying(std::move(found->second));
    links_.erase(found);
    dying->user_ = nullptr;
    dying->link_.reset();
    loop_.post([dying] {});
    serveWaitersSoon();
}

void LinkPool::handleOpened(PooledLink &link, std::optional<TermPosition> position)
{
    dialFailures_ = 0;
    noteReply(link.lastSend_);
    if (position)
        positions_(link.lastSend_, *position);
    link.state_ = PooledLink::State::Idle;
    link.idleSince_ = clock_.now();
    serveWaiters();
}

void LinkPool::handleReply(PooledLink &link, StatementReply reply)
{
    if (link.outstanding_ == 0) {
        handleFailed(link, LinkFailure::Lost, "a reply without a statement");
        return;
    }
    --link.outstanding_;
    link.phase_ = reply.phase;
    noteReply(link.lastSend_);
    if (reply.position)
        positions_(link.lastSend_, *reply.position);
    if (link.state_ == PooledLink::State::RollingBack) {
        if (reply.phase == SessionPhase::Idle)
            release(link);
        else
            discard(link);
        return;
    }
    if (link.user_)
        link.user_->handleReply(std::move(reply));
}

void LinkPool::handleFailed(PooledLink &link, LinkFailure failure, const std::string &reason)
{
    const bool wasOpening = link.state_ == PooledLink::State::Opening;
    LinkUser *user = std::exchange(link.user_, nullptr);
    logEvent(Event::ConnectFailed, {{"endpoint", endpoint_.id.value()},
                                    {"address", formatAddress(endpoint_.address)},
                                    {"reason", reason}});
    if (wasOpening) {
        if (failure == LinkFailure::Unreachable)
            noteFailure();
        if (failure == LinkFailure::TooManyConnections)
            borrowBlockedUntil_ = clock_.now() + borrowPause;
        const unsigned shift = std::min(dialFailures_++, maxDialBackoffShift);
        dialBlockedUntil_ = clock_.now() + dialBackoff * (1 << shift);
    } else if (user) {
        noteFailure();
    }
    removeLink(link.id_);
    if (user)
        user->handleLinkLost();
    if (wasOpening && links_.empty())
        refuseWaiters(failure);
}

void LinkPool::noteFailure()
{
    if (!failingSince_)
        failingSince_ = clock_.now();
}

void LinkPool::noteReply(TimePoint sentAt)
{
    const TimePoint now = clock_.now();
    lastReply_ = now;
    failingSince_.reset();
    const double taken = std::chrono::duration<double, std::milli>(now - sentAt).count();
    latencyMs_ += latencyWeight * (taken - latencyMs_);
}

void LinkPool::tick()
{
    const TimePoint now = clock_.now();
    std::vector<std::uint64_t> idle;
    std::vector<PooledLink *> stuck;
    for (const auto &[id, link] : links_) {
        if (link->state_ == PooledLink::State::Opening && now - link->lastSend_ > handshakeLimit)
            stuck.push_back(link.get());
        const bool borrowed = links_.size() - idle.size() > kept_;
        if (link->state_ == PooledLink::State::Idle
            && now - link->idleSince_ > (borrowed ? borrowedIdleLifetime : idleLifetime))
            idle.push_back(id);
        const bool waits = link->outstanding_ > 0 || link->state_ == PooledLink::State::Opening;
        const bool silent = waits && now - link->lastSend_ > silenceLimit
                            && (!lastReply_ || *lastReply_ < link->lastSend_);
        if (silent && !failingSince_)
            failingSince_ = link->lastSend_;
        if (link->state_ == PooledLink::State::RollingBack && now - link->lastSend_ > silenceLimit)
            idle.push_back(id);
    }
    for (const std::uint64_t id : idle)
        removeLink(id);
    for (PooledLink *link : stuck)
        handleFailed(*link, LinkFailure::Unreachable, "no answer to the handshake");
    while (!waiters_.empty()) {
        // Deadlines are sorted only within one priority, so all waiters are searched.
        const auto expired = std::find_if(waiters_.begin(), waiters_.end(), [&](const auto &entry) {
            return std::get<TimePoint>(entry.first) <= now;
        });
        if (expired == waiters_.end())
            break;
        const Waiter waiter = std::move(waiters_.extract(expired).mapped());
        waiter.user->handleLinkRefused(LinkFailure::Refused);
    }
    serveWaiters();
}

void LinkPool::shutDown(LinkFailure failure)
{
    refuseWaiters(failure);
    std::vector<std::uint64_t> ids;
    for (const auto &entry : links_)
        ids.push_back(entry.first);
    for (const std::uint64_t id : ids) {
        LinkUser *user = links_.at(id)->user_;
        removeLink(id);
        if (user)
            user->handleLinkLost();
    }
}

Milliseconds LinkPool::expectedWait(unsigned priority) const
{
    const auto ahead = std::count_if(waiters_.begin(), waiters_.end(), [&](const auto &entry) {
        return std::get<unsigned>(entry.first) <= priority;
    });
    if (ahead == 0)
        return Milliseconds(0);
    const std::size_t links = std::max<std::size_t>(1, std::min(links_.size(), limit()));
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(ahead) * holdMs_
                                                  / static_cast<double>(links)));
}

bool LinkPool::usable() const
{
    const bool open = std::any_of(links_.begin(), links_.end(), [](const auto &entry) {
        return entry.second->state_ != PooledLink::State::Opening;
    });
    return !failingSince_ && (open || clock_.now() >= dialBlockedUntil_);
}

LinkPoolHealth LinkPool::health() const
{
    LinkPoolHealth health;
    health.lastReply = lastReply_;
    health.failingSince = failingSince_;
    health.latency = Milliseconds(static_cast<std::int64_t>(latencyMs_));
    health.inUse =
        static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) {
            return entry.second->state_ == PooledLink::State::InUse;
        }));
    health.open = links_.size();
    health.waiting = waiters_.size();
    health.limit = share_;
    return health;
}

} // namespace pistachiowood
