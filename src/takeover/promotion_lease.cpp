#include "takeover/promotion_lease.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Fencing tokens of an era begin at its number times this, above all tokens that the store may have
// lost. Products stay below 2^53, so that JSON numbers hold them, for two million eras.
constexpr std::uint64_t tokensPerEra = std::uint64_t{1} << 32;

bool isSameGrant(const PromotionLeaseRecord &left, const PromotionLeaseRecord &right)
{
    return left.holder == right.holder && left.renewal == right.renewal;
}

} // namespace

void PromotionLease::enterEra(StoreEra era)
{
    if (era <= era_)
        return;
    era_ = era;
    heldUntil_.reset();
}

void PromotionLease::observe(const std::optional<PromotionLeaseRecord> &record,
                             StoreVersion version, TimePoint now)
{
    if (version == version_ || version_.includes(version))
        return;
    const bool writtenAgain =
        version.era != version_.era && record && record_ && isSameGrant(*record, *record_);
    if (!writtenAgain)
        unchangedSince_ = now;
    version_ = version;
    record_ = record;
    // A change by another daemon, or one whose answer this daemon never got, grants no lease.
    heldUntil_.reset();
}

void PromotionLease::observeUnreadable(StoreVersion version, TimePoint now)
{
    const std::optional<PromotionLeaseRecord> known = record_;
    observe(known.value_or(PromotionLeaseRecord{}), version, now);
}

void PromotionLease::accept(const PromotionLeaseRecord &record, StoreVersion version,
                            TimePoint sentAt, TimePoint now)
{
    if (version < version_)
        return; // a later change has been observed
    version_ = version;
    record_ = record;
    unchangedSince_ = now;
    heldUntil_ = sentAt + duration - safetyMargin;
}

bool PromotionLease::held(TimePoint now) const
{
    return heldUntil_ && now < *heldUntil_;
}

bool PromotionLease::available(TimePoint now) const
{
    return expired(now) || record_->holder == self_;
}

bool PromotionLease::expired(TimePoint now) const
{
    return !record_ || record_->holder.value().empty()
           || now >= unchangedSince_ + duration + safetyMargin;
}

PromotionLeaseRecord PromotionLease::propose(TimePoint now) const
{
    PromotionLeaseRecord proposed = record_.value_or(PromotionLeaseRecord{});
    ++proposed.renewal;
    if (!held(now)) {
        // Orders by an earlier holder, or from before a restart of this one, have smaller tokens.
        proposed.holder = self_;
        proposed.fencingToken = nextToken();
    }
    return proposed;
}

std::optional<PromotionLeaseRecord> PromotionLease::recoveredRecord(TimePoint now) const
{
    if (!record_ || record_->fencingToken > era_.value() * tokensPerEra)
        return std::nullopt;
    PromotionLeaseRecord recovered = *record_;
    recovered.fencingToken = nextToken();
    if (expired(now))
        recovered.holder = VmId();
    return recovered;
}

std::uint64_t PromotionLease::nextToken() const
{
    const std::uint64_t last = record_ ? record_->fencingToken : 0;
    return std::max(last, era_.value() * tokensPerEra) + 1;
}

std::optional<StoreVersion> PromotionLease::expectedVersion() const
{
    if (!record_)
        return std::nullopt;
    return version_;
}

} // namespace pistachiowood
