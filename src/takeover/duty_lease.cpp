#include "takeover/duty_lease.h"

namespace pistachiowood {

void DutyLease::observe(const std::optional<PromotionLeaseRecord> &record, ResourceVersion version,
                        TimePoint now)
{
    if (version <= version_)
        return;
    version_ = version;
    record_ = record;
    unchangedSince_ = now;
    // A change that this daemon did not make, or whose answer it never got, grants it nothing.
    heldUntil_.reset();
}

void DutyLease::accept(const PromotionLeaseRecord &record, ResourceVersion version,
                       TimePoint sentAt, TimePoint now)
{
    if (version < version_)
        return; // another change has come since
    version_ = version;
    record_ = record;
    unchangedSince_ = now;
    heldUntil_ = sentAt + period - margin;
}

bool DutyLease::held(TimePoint now) const
{
    return heldUntil_ && now < *heldUntil_;
}

bool DutyLease::available(TimePoint now) const
{
    if (!record_ || record_->holder == self_)
        return true;
    return now >= unchangedSince_ + period + margin;
}

PromotionLeaseRecord DutyLease::propose(TimePoint now) const
{
    if (!record_)
        return {self_, 1, 0};
    PromotionLeaseRecord proposed = *record_;
    ++proposed.renewal;
    if (!held(now)) {
        // Calls of an earlier holder, or of an earlier life of this one, carry smaller tokens.
        proposed.holder = self_;
        ++proposed.fencingToken;
    }
    return proposed;
}

std::optional<ResourceVersion> DutyLease::expectedVersion() const
{
    if (!record_)
        return std::nullopt;
    return version_;
}

} // namespace pistachiowood
