#include "takeover/exchange_pacing.h"

#include <algorithm>
#include <limits>

namespace pistachiowood {

namespace {

constexpr Milliseconds baseTimeout{600}; // of exchanges while answers arrive in time
constexpr unsigned maxLevel = 2; // 2.4 s, as long as a permission lasts
// Ends of exchanges are judged once in this time; an outage brings about ten.
constexpr Milliseconds judgementPeriod{1000};
// Late answers in a period from which exchanges may be slowed down. Fewer come from a VM that was
// suspended for a moment; without an outage there are two exchanges a second.
constexpr unsigned minLateAnswers = 3;
constexpr Milliseconds firstRetryDelay{300}; // doubled with each failure
constexpr Milliseconds maxRetryDelay{2400}; // a peer that is back is asked again within 3 s
// Time after which a daemon asks other regions itself, although another of its region should: the
// other one may have lost its link to them. Leaves most of the 15 s in which a fleet must recover.
constexpr Milliseconds otherRegionDelay{4000};
constexpr Milliseconds firstRepeatDelay{600}; // until a copy is sent again; doubled each time
constexpr unsigned maxRepeatDoublings = 3;
constexpr unsigned defaultLinkRate = 10; // Mbit/s, the slowest link of a VM among the deployments
constexpr unsigned regionLinkRate = 60; // Mbit/s in each direction, on every deployment
// Share of a link for copies. The rest is for callers, endpoints, and reports, which take up to
// 8 Mbit/s of the link of a daemon that collects promises from 145 others.
constexpr double copyShare = 0.25;
constexpr double bytesPerMegabit = 1e6 / 8;
// Available bytes, in seconds of the rate, from which a copy may be sent, by CopyUrgency. Changes
// of the records never wait; the rest leaves something for the configuration.
constexpr std::array<double, 3> admissionThresholds{-std::numeric_limits<double>::infinity(), 0,
                                                    0.25};
// Debt, in seconds of the rate, that changes of the records can cause: other copies must not wait
// for much longer.
constexpr double maxChangeDebtSeconds = 1;
constexpr double maxAvailableSeconds = 1;

} // namespace

ExchangePacing::ExchangePacing()
{
    setLinkRate(std::nullopt);
    setRegionMembers(1);
}

void ExchangePacing::setLinkRate(std::optional<unsigned> megabitsPerSecond)
{
    ownLink_.setRate(megabitsPerSecond.value_or(defaultLinkRate) * bytesPerMegabit * copyShare);
}

void ExchangePacing::setRegionMembers(std::size_t count)
{
    regionLink_.setRate(regionLinkRate * bytesPerMegabit * copyShare
                        / static_cast<double>(std::max<std::size_t>(count, 1)));
}

void ExchangePacing::Budget::setRate(double rate)
{
    if (bytesPerSecond == 0)
        available = rate * maxAvailableSeconds;
    bytesPerSecond = rate;
}

void ExchangePacing::Budget::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - updatedAt).count();
    available = std::min(bytesPerSecond * maxAvailableSeconds,
                         available + std::max(seconds, 0.0) * bytesPerSecond);
    updatedAt = now;
}

bool ExchangePacing::Budget::admits(CopyUrgency urgency) const
{
    return available > admissionThresholds.at(static_cast<std::size_t>(urgency)) * bytesPerSecond;
}

void ExchangePacing::Budget::take(CopyUrgency urgency, std::size_t bytes)
{
    const double former = available;
    available -= static_cast<double>(bytes);
    if (urgency == CopyUrgency::RecordChanges)
        available = std::max(available, std::min(former, -bytesPerSecond * maxChangeDebtSeconds));
}

Milliseconds ExchangePacing::timeout() const
{
    return baseTimeout * (1 << level_);
}

Milliseconds ExchangePacing::retryDelay(unsigned failures)
{
    if (failures == 0)
        return Milliseconds(0);
    return std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(failures - 1, 3U)));
}

// Peers that don't answer at all are no sign of a full link: a third of the fleet may be cut off.
std::optional<bool> ExchangePacing::noteEnd(ExchangeEnd end, TimePoint now)
{
    ++windowEnds_.at(static_cast<std::size_t>(end));
    if (now - windowStart_ < judgementPeriod)
        return std::nullopt;
    const unsigned inTime = windowEnds_.at(static_cast<std::size_t>(ExchangeEnd::InTime));
    const unsigned late = windowEnds_.at(static_cast<std::size_t>(ExchangeEnd::Late));
    const unsigned former = level_;
    if (late >= minLateAnswers && late > inTime)
        level_ = std::min(level_ + 1, maxLevel);
    else if (4 * late <= inTime && level_ > 0)
        --level_;
    windowStart_ = now;
    windowEnds_.fill(0);
    if ((former > 0) == (level_ > 0))
        return std::nullopt;
    return level_ > 0;
}

bool ExchangePacing::acceptsCopies(CopySource source, const Holders &holders, bool collects,
                                   TimePoint now) const
{
    if (now < requestedUntil_)
        return false;
    switch (source) {
    case CopySource::RegionConfirmer:
        return true;
    case CopySource::RegionMember:
        return holders.region && (!holders.confirmer || refused_);
    case CopySource::OtherRegion:
        return holders.anywhere && !holders.confirmer && !holders.region
               && (collects || (behindSince_ && now - *behindSince_ >= otherRegionDelay));
    }
    return false;
}

void ExchangePacing::noteCopiesAnswered(bool stillBehind)
{
    requestedUntil_ = TimePoint();
    refused_ = stillBehind;
}

void ExchangePacing::noteBehind(bool behind, TimePoint now)
{
    if (!behind) {
        behindSince_.reset();
        refused_ = false;
    } else if (!behindSince_) {
        behindSince_ = now;
    }
}

bool ExchangePacing::takeCopy(const VmId &peer, bool otherRegion, std::size_t group,
                              std::uint64_t version, CopyUrgency urgency, std::size_t bytes,
                              TimePoint now)
{
    Given &given = given_[peer][group];
    const bool repeated = given.times > 0 && given.version == version;
    const Milliseconds delay =
        firstRepeatDelay * (1 << std::min(given.times - (repeated ? 1 : 0), maxRepeatDoublings));
    if (repeated && now - given.at < delay)
        return false;
    for (Budget *budget : {&ownLink_, &regionLink_}) {
        budget->refill(now);
        if ((budget == &ownLink_ || otherRegion) && !budget->admits(urgency))
            return false;
    }
    ownLink_.take(urgency, bytes);
    if (otherRegion)
        regionLink_.take(urgency, bytes);
    given = {version, repeated ? given.times + 1 : 1, now};
    return true;
}

} // namespace pistachiowood
