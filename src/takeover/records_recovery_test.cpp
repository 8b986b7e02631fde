#include "takeover/records_recovery.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(RecordsRecovery)
{
    RecordsRecovery recovery;
    const TimePoint start{std::chrono::hours(1)};
    RecoveryInput input{.now = start, .era = StoreEra(2), .eraSince = start, .storeAnswers = true};

    void expect(RecoveryAction action)
    {
        LONGS_EQUAL(static_cast<int>(action), static_cast<int>(recovery.step(input)));
    }

    // Time from the start at which the recovery goes on without a majority that remembers.
    Milliseconds waitWithoutMajority()
    {
        for (input.now = start; input.now < start + 10s; input.now += 50ms) {
            const RecoveryAction action = recovery.step(input);
            if (action != RecoveryAction::None && action != RecoveryAction::AskPeers)
                break;
        }
        return std::chrono::duration_cast<Milliseconds>(input.now - start);
    }
};

// Guards against records that are declared complete before what the store lost is written again.
TEST(RecordsRecovery, lostRecordIsMissingWhenTheRecoveryEnds)
{
    expect(RecoveryAction::AskPeers);
    input.formerRecords = FormerRecords::Complete;
    input.unsaved = 2;
    input.unverified = 3;
    expect(RecoveryAction::SaveRecords);
    input.unsaved = 0;
    expect(RecoveryAction::Finish);
}

// Guards against the use of a primary that was replaced before the store lost its record, when no
// majority remembers.
TEST(RecordsRecovery, primaryIsTrustedThoughNoMajorityRemembers)
{
    input.unverified = 1;
    LONGS_EQUAL(RecordsRecovery::leaseEndDelay.count(), waitWithoutMajority().count());
    expect(RecoveryAction::VerifyPrimaries);
    input.unverified = 0;
    expect(RecoveryAction::Finish);
}

// Guards against a long loss of all primaries after a restart of all daemons, and against a
// recovery before an order of a daemon that has ended takes effect.
TEST(RecordsRecovery, restartedDaemonsWaitForLeasesThatNoneHolds)
{
    input.formerRecords = FormerRecords::Unconfirmed;
    LONGS_EQUAL(RecordsRecovery::orderEffectDelay.count(), waitWithoutMajority().count());
}

// Guards against a wait that counts from a member's report in an earlier era.
TEST(RecordsRecovery, reportsOfAnEarlierEraShortenTheWait)
{
    input.formerRecords = FormerRecords::Unconfirmed;
    const Milliseconds almost = RecordsRecovery::orderEffectDelay - 100ms;
    expect(RecoveryAction::AskPeers);
    input.now += almost;
    input.eraSince = input.now;
    input.era = StoreEra(3);
    expect(RecoveryAction::AskPeers);
    input.now += almost;
    expect(RecoveryAction::AskPeers);
    input.now += RecordsRecovery::orderEffectDelay;
    expect(RecoveryAction::Finish);
}

// Guards against all daemons writing the same records at the same time, and against a recovery that
// ends with the first daemon.
TEST(RecordsRecovery, allDaemonsRecoverAtTheSameTime)
{
    input.formerRecords = FormerRecords::Complete;
    input.rank = 2;
    expect(RecoveryAction::None);
    input.now += 400ms;
    expect(RecoveryAction::Finish);
    input.storeAnswers = false;
    expect(RecoveryAction::None);
}
