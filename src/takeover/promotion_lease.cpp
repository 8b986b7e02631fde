#include "takeover/promotion_lease.h"

namespace pistachiowood {

void PromotionLease::observe(const std::optional<PromotionLeaseRecord> &record,
                             ResourceVersion version, TimePoint now)
{
    if (version <= version_)
        return;
    version_ = version;
    record_ = record;
    unchangedSince_ = now;
    // A change by another daemon, or one whose answer this daemon never got, grants no lease.
    heldUntil_.reset();
}

void PromotionLease::accept(const PromotionLeaseRecord &record, ResourceVersion version,
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
    if (!record_ || record_->holder == self_)
        return true;
    return now >= unchangedSince_ + duration + safetyMargin;
}

PromotionLeaseRecord PromotionLease::propose(TimePoint now) const
{
    if (!record_)
        return {self_, 1, 0};
    PromotionLeaseRecord proposed = *record_;
    ++proposed.renewal;
    if (!held(now)) {
        // Orders by an earlier holder, or from before a restart of this one, have smaller tokens.
        proposed.holder = self_;
        ++proposed.fencingToken;
    }
    return proposed;
}

std::optional<ResourceVersion> PromotionLease::expectedVersion() const
{
    if (!record_)
        return std::nullopt;
    return version_;
}

} // namespace pistachiowood
