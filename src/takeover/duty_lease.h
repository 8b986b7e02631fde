#ifndef PISTACHIOWOOD_TAKEOVER_DUTY_LEASE_H
#define PISTACHIOWOOD_TAKEOVER_DUTY_LEASE_H

#include "takeover/records.h"

#include <pistachiowood/clock.h>

#include <optional>

namespace pistachiowood {

/// The right of one daemon to order promotions. It is taken when needed by a conditional change of
/// the duty record and ends a fixed period after that change was sent.
class DutyLease
{
public:
    /// Long enough for a whole replacement; a holder that dies delays the next one by as much.
    static constexpr Milliseconds period{4000};
    /// Clock differences and the time of a call on its way to the platform.
    static constexpr Milliseconds margin{500};

    explicit DutyLease(VmId self)
        : self_(std::move(self))
    {
    }

    /// The record as the store holds it, seen at the time.
    void observe(const std::optional<PromotionLeaseRecord> &record, ResourceVersion version,
                 TimePoint now);
    /// The change returned by propose() was accepted.
    void accept(const PromotionLeaseRecord &record, ResourceVersion version, TimePoint sentAt,
                TimePoint now);

    /// Whether this daemon may order promotions now.
    bool held(TimePoint now) const;
    /// Whether another holder's lease cannot be in force any more.
    bool available(TimePoint now) const;
    /// Record that takes or renews the lease.
    PromotionLeaseRecord propose(TimePoint now) const;
    /// Version that the change must be conditional on; nullopt creates the record.
    std::optional<ResourceVersion> expectedVersion() const;
    std::uint64_t fencingToken() const { return record_ ? record_->fencingToken : 0; }

private:
    VmId self_;
    std::optional<PromotionLeaseRecord> record_;
    ResourceVersion version_;
    TimePoint unchangedSince_{};
    std::optional<TimePoint> heldUntil_;
};

} // namespace pistachiowood

#endif
