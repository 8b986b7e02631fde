#include "takeover/records_recovery.h"

namespace pistachiowood {

namespace {

// Each daemon acts this much later than the one before it in rank, so that normally only one does.
constexpr Milliseconds delayPerRank{100};
constexpr Milliseconds askPeersInterval{300};

} // namespace

// Whether no order of the former era can take effect any more that this daemon does not know of.
bool RecordsRecovery::mayProceed(const RecoveryInput &input)
{
    if (input.formerRecords == FormerRecords::Incomplete)
        noOrdersSince_.reset();
    else if (!noOrdersSince_ || *noOrdersSince_ < input.eraSince)
        noOrdersSince_ = input.now;
    return input.formerRecords == FormerRecords::Complete
           || input.now - input.eraSince >= leaseEndDelay
           || (noOrdersSince_ && input.now - *noOrdersSince_ >= orderEffectDelay);
}

RecoveryAction RecordsRecovery::step(const RecoveryInput &input)
{
    const bool mayAct = mayProceed(input);
    if (!input.storeAnswers || input.now < input.eraSince + delayPerRank * input.rank)
        return RecoveryAction::None;
    if (!mayAct) {
        if (input.now - askedAt_ < askPeersInterval)
            return RecoveryAction::None;
        askedAt_ = input.now;
        return RecoveryAction::AskPeers;
    }
    if (input.unsaved > 0)
        return RecoveryAction::SaveRecords;
    if (input.formerRecords != FormerRecords::Complete && input.unverified > 0)
        return RecoveryAction::VerifyPrimaries;
    return RecoveryAction::Finish;
}

} // namespace pistachiowood
