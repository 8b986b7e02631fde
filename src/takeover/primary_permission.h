#ifndef PISTACHIOWOOD_TAKEOVER_PRIMARY_PERMISSION_H
#define PISTACHIOWOOD_TAKEOVER_PRIMARY_PERMISSION_H

#include <pistachiowood/clock.h>

#include <algorithm>
#include <optional>

namespace pistachiowood {

/// Permission of a daemon to use the primaries that it knows. A replacement is announced in the
/// service records and takes effect only a fixed time later. A daemon whose records were confirmed
/// to be complete at some time may therefore use their primaries for that long.
class PrimaryPermission
{
public:
    /// Lifetime of a permission after a confirmation. A failover waits this long for daemons that
    /// do not acknowledge it, and an answer of the store may take this long before primaries are
    /// lost.
    static constexpr Milliseconds lifetime{2500};
    /// Allows for the drift between the clocks of two VMs in that time and for timer slack.
    static constexpr Milliseconds clockMargin{100};

    /// Confirms that the records of this daemon hold every announcement made before `time`.
    void confirm(TimePoint time)
    {
        if (!confirmedAt_ || time > *confirmedAt_)
            confirmedAt_ = time;
    }

    std::optional<TimePoint> confirmedAt() const { return confirmedAt_; }

    /// Whether the last confirmation is older than `age` or there is none.
    bool confirmationOlderThan(Milliseconds age, TimePoint now) const
    {
        return !confirmedAt_ || now - *confirmedAt_ > age;
    }

    /// Time until which the primaries may be used, if there is a confirmation.
    std::optional<TimePoint> expiresAt() const
    {
        if (!confirmedAt_)
            return std::nullopt;
        return *confirmedAt_ + lifetime - clockMargin;
    }

    /// Time after the store's last answer for which the promises of a majority can renew a
    /// permission. Covers a network partition of 7 s. A replacement that fewer than half of the
    /// daemons acknowledge waits at least as long.
    static constexpr Milliseconds majorityRenewalLimit{8000};
    /// Longest time for which a permission can outlast the store's last answer. A change of the
    /// members that is older is known to every daemon with a permission in force.
    static constexpr Milliseconds longestLifetime{majorityRenewalLimit + lifetime};

    /// Time from which a replacement may take effect that at least half of the daemons had
    /// acknowledged by `acknowledgedAt`: without those, the others can't renew their permissions.
    static TimePoint effectiveAfterAcknowledgement(TimePoint acknowledgedAt)
    {
        return acknowledgedAt + lifetime;
    }
    /// Time from which a replacement may take effect without such acknowledgements.
    static TimePoint effectiveWithoutAcknowledgement(TimePoint announcedAt)
    {
        return announcedAt + longestLifetime;
    }

private:
    std::optional<TimePoint> confirmedAt_;
};

} // namespace pistachiowood

#endif
