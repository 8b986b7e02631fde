#ifndef PISTACHIOWOOD_TAKEOVER_RECORDS_RECOVERY_H
#define PISTACHIOWOOD_TAKEOVER_RECORDS_RECOVERY_H

#include "takeover/primary_permission.h"
#include "takeover/promotion_lease.h"
#include "takeover/store_version.h"

#include <pistachiowood/clock.h>

#include <cstddef>
#include <optional>

namespace pistachiowood {

/// What this daemon knows of the records of the former era.
enum class FormerRecords {
    Incomplete, ///< a daemon that is not heard may hold a lease and know of an announcement
    Unconfirmed, ///< only an order that was sent before can take effect without being known
    Complete, ///< every announcement that can lead to a promotion is known
};

/// State that the recovery of the records decides from; collected anew for each step.
struct RecoveryInput
{
    TimePoint now;
    StoreEra era; ///< of the records that this daemon holds
    TimePoint eraSince; ///< when this daemon entered the era
    bool storeAnswers = false;
    FormerRecords formerRecords = FormerRecords::Incomplete;
    unsigned rank = 0; ///< position in the order in which the daemons act
    std::size_t unsaved = 0; ///< records that the store lacks
    /// Recorded primaries that no survey has confirmed and that are not being replaced.
    std::size_t unverified = 0;
};

enum class RecoveryAction {
    None,
    AskPeers, ///< exchange reports with all peers
    SaveRecords, ///< write the records that the store lacks
    VerifyPrimaries, ///< survey the unverified primaries, and replace those that are not confirmed
    Finish, ///< record that the records of the era are complete
};

/// Recovers the daemons' records after the store was restored from an older copy: what was written
/// since, such as an announcement, a new primary or a member, is known to the daemons only.
///
/// Until the records of the new era are recovered, no daemon starts a replacement, and answers of
/// the store renew no permission. A replacement of the former era needs the acknowledgement of at
/// least half of the members, so the records that most members hold include its announcement.
/// Without these, the daemons wait until no order of the former era can take effect any more. A
/// primary that the endpoints of its service do not confirm then is replaced.
/// Performs no I/O.
class RecordsRecovery
{
public:
    /// Time after which no daemon may order a promotion under a lease of the former era.
    static constexpr Milliseconds leaseEndDelay =
        PromotionLease::duration + PromotionLease::safetyMargin;
    /// Time in which an order takes effect that a daemon sent before it entered the era or ended.
    static constexpr Milliseconds orderEffectDelay{1500};

    RecoveryAction step(const RecoveryInput &input);

private:
    bool mayProceed(const RecoveryInput &input);

    TimePoint askedAt_{};
    std::optional<TimePoint> noOrdersSince_; ///< since when no further order can be given
};

} // namespace pistachiowood

#endif
