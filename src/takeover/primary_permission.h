#ifndef PISTACHIOWOOD_TAKEOVER_PRIMARY_PERMISSION_H
#define PISTACHIOWOOD_TAKEOVER_PRIMARY_PERMISSION_H

#include <pistachiowood/clock.h>

#include <algorithm>
#include <optional>

namespace pistachiowood {

/// Permission of a daemon to use the primaries that it knows. A replacement is announced in the
/// service records and takes effect only `permissionPeriod` later, so a daemon that knows that no
/// announcement had been made at some time may use the primaries until that period has passed.
class PrimaryPermission
{
public:
    /// Period for which knowledge of the records permits the use of a primary. A failover waits
    /// this long for daemons that cannot be told; a store answer may be this late.
    static constexpr Milliseconds period{2500};
    /// Difference that the clocks of two VMs may accumulate in one period, and timer slack.
    static constexpr Milliseconds margin{100};

    /// The records of this daemon hold every announcement made before the time.
    void confirm(TimePoint time)
    {
        if (!confirmedAt_ || time > *confirmedAt_)
            confirmedAt_ = time;
    }

    std::optional<TimePoint> confirmedAt() const { return confirmedAt_; }

    /// Whether the last confirmation is older than the age, or there is none.
    bool olderThan(Milliseconds age, TimePoint now) const
    {
        return !confirmedAt_ || now - *confirmedAt_ > age;
    }

    /// Time until which the primaries may be used.
    std::optional<TimePoint> expiresAt() const
    {
        if (!confirmedAt_)
            return std::nullopt;
        return *confirmedAt_ + period - margin;
    }

    /// For how long after the store's last answer the promises of most daemons renew a permission.
    /// Outlasts a split of the network of 7 s; a replacement that most daemons do not acknowledge
    /// waits as long.
    static constexpr Milliseconds majorityLimit{8000};
    /// Age from which a change of the members is known to all permissions in force.
    static constexpr Milliseconds longestLifetime{majorityLimit + period};

    /// Time from which a replacement may take effect that at least half of the daemons had
    /// acknowledged by the given time: the others cannot renew their permission without them.
    static TimePoint effectiveFrom(TimePoint acknowledgedAt) { return acknowledgedAt + period; }
    /// The same without acknowledgements.
    static TimePoint effectiveWithoutOthers(TimePoint announcedAt)
    {
        return announcedAt + longestLifetime;
    }

private:
    std::optional<TimePoint> confirmedAt_;
};

} // namespace pistachiowood

#endif
