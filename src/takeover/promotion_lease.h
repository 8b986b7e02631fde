#ifndef PISTACHIOWOOD_TAKEOVER_PROMOTION_LEASE_H
#define PISTACHIOWOOD_TAKEOVER_PROMOTION_LEASE_H

#include "takeover/records.h"
#include "takeover/store_version.h"

#include <pistachiowood/clock.h>

#include <optional>

namespace pistachiowood {

/// Lease that permits one daemon at a time to order promotions. A daemon takes it when needed, by a
/// conditional change of its record in the store; it ends a fixed time after that change was sent.
/// Performs no I/O.
class PromotionLease
{
public:
    /// Covers a whole replacement. If the holder fails, the next replacement waits as long.
    static constexpr Milliseconds duration{4000};
    /// Allows for clock drift between VMs and for the time that an order takes to the platform.
    static constexpr Milliseconds safetyMargin{500};

    explicit PromotionLease(VmId self)
        : self_(std::move(self))
    {
    }

    /// Takes the era of the store as this daemon sees it. A lease of an earlier era has ended: the
    /// store may have lost it.
    void enterEra(StoreEra era);
    /// Takes the record as this daemon saw it in the store at `now`.
    void observe(const std::optional<PromotionLeaseRecord> &record, StoreVersion version,
                 TimePoint now);
    /// Takes the lease after the store accepted the record returned by propose().
    void accept(const PromotionLeaseRecord &record, StoreVersion version, TimePoint sentAt,
                TimePoint now);

    /// Whether this daemon may order promotions now.
    bool held(TimePoint now) const;
    /// Whether no other daemon's lease can be in force.
    bool available(TimePoint now) const;
    /// Whether the last lease that this daemon knows of has ended.
    bool expired(TimePoint now) const;
    /// Returns the record that takes or renews the lease.
    PromotionLeaseRecord propose(TimePoint now) const;
    /// Returns the record for a store that was restored, with the same holder unless its lease has
    /// ended; nullopt if the store's record is of this era or no record is known.
    std::optional<PromotionLeaseRecord> recoveredRecord(TimePoint now) const;
    /// Version on which the change must be conditional; nullopt if the record does not exist yet.
    std::optional<StoreVersion> expectedVersion() const;
    /// Takes a version of the record that cannot be decoded. The last known one stays in force
    /// until it expires, and its fencing token counts.
    void observeUnreadable(StoreVersion version, TimePoint now);
    std::uint64_t fencingToken() const { return record_ ? record_->fencingToken : 0; }

private:
    std::uint64_t nextToken() const;

    VmId self_;
    StoreEra era_;
    std::optional<PromotionLeaseRecord> record_;
    StoreVersion version_;
    TimePoint unchangedSince_{};
    std::optional<TimePoint> heldUntil_;
};

} // namespace pistachiowood

#endif
