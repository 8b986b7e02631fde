#include "takeover/promotion_lease.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(PromotionLease)
{
    TimePoint now{std::chrono::hours(1)};
    PromotionLease lease{VmId("a")};
};

// Guards against two simultaneous holders.
TEST(PromotionLease, unavailableUntilTheLeaseOfAnotherHolderExpires)
{
    lease.observe(PromotionLeaseRecord{VmId("b"), 4, 0}, storeVersion(9, 0), now);
    CHECK_FALSE(lease.available(now + PromotionLease::duration));
    CHECK_TRUE(lease.available(now + PromotionLease::duration + PromotionLease::safetyMargin));
    CHECK_FALSE(lease.held(now));
}

// Guards against a fencing token that does not increase with a new holder or after a restart of the
// same one.
TEST(PromotionLease, tokenIncreasesUnlessHeld)
{
    lease.observe(PromotionLeaseRecord{VmId("a"), 4, 0}, storeVersion(9, 0), now);
    const PromotionLeaseRecord taken = lease.propose(now);
    LONGS_EQUAL(5, taken.fencingToken);
    lease.accept(taken, storeVersion(10, 0), now, now);
    CHECK_TRUE(lease.held(now));
    LONGS_EQUAL(5, lease.propose(now).fencingToken);
}

// Guards against a lease that is counted from a late answer, so that it lasts longer for its holder
// than for the other daemons.
TEST(PromotionLease, durationCountsFromTheTimeOfSending)
{
    lease.accept({VmId("a"), 1, 0}, storeVersion(1, 0), now, now + 3s);
    CHECK_TRUE(lease.held(now + 3s));
    CHECK_FALSE(lease.held(now + PromotionLease::duration));
}

// Guards against a lease that stays in force after another daemon changed the record.
TEST(PromotionLease, observedChangeEndsTheLease)
{
    lease.accept({VmId("a"), 1, 0}, storeVersion(1, 0), now, now);
    lease.observe(PromotionLeaseRecord{VmId("b"), 2, 0}, storeVersion(2, 0), now);
    CHECK_FALSE(lease.held(now));
    lease.accept({VmId("a"), 1, 1}, storeVersion(1, 0), now, now);
    CHECK_FALSE(lease.held(now));
}

// Guards against a fencing token that was sent before: the store lost the record that held it.
TEST(PromotionLease, tokenGoesBackAfterARestore)
{
    lease.enterEra(StoreEra(1));
    lease.observe(PromotionLeaseRecord{VmId("b"), 1, 0}, storeVersion(9, 1), now);
    lease.observe(PromotionLeaseRecord{VmId("a"), 7, 3}, storeVersion(12, 1), now);
    const std::uint64_t last = lease.propose(now).fencingToken;
    lease.enterEra(StoreEra(2));
    lease.observe(PromotionLeaseRecord{VmId("b"), 1, 0}, storeVersion(9, 2), now);
    CHECK_TRUE(lease.propose(now).fencingToken > last);
    PromotionLease fresh{VmId("c")};
    fresh.enterEra(StoreEra(2));
    CHECK_TRUE(fresh.propose(now).fencingToken > last);
}

// Guards against a holder that goes on ordering although the store may have lost its lease.
TEST(PromotionLease, leaseOutlivesItsEra)
{
    lease.enterEra(StoreEra(1));
    lease.accept({VmId("a"), 1, 0}, storeVersion(9, 1), now, now);
    CHECK_TRUE(lease.held(now));
    lease.enterEra(StoreEra(2));
    CHECK_FALSE(lease.held(now));
}

// Guards against a wait that starts anew, or is skipped, when a lease is written again after the
// store lost it.
TEST(PromotionLease, leaseWrittenAgainChangesTheWait)
{
    lease.enterEra(StoreEra(1));
    lease.observe(PromotionLeaseRecord{VmId("b"), 5, 2}, storeVersion(9, 1), now);
    lease.enterEra(StoreEra(2));
    const auto recovered = lease.recoveredRecord(now + 2s);
    CHECK_TRUE(recovered && recovered->holder == VmId("b"));
    lease.observe(recovered, storeVersion(4, 2), now + 2s);
    CHECK_FALSE(lease.available(now + PromotionLease::duration));
    CHECK_TRUE(lease.available(now + PromotionLease::duration + PromotionLease::safetyMargin));
    CHECK_FALSE(lease.recoveredRecord(now + 2s).has_value());
}

// Guards against a wait for a lease that had ended before the store was restored.
TEST(PromotionLease, endedLeaseDelaysTheFirstReplacementAfterARestore)
{
    lease.enterEra(StoreEra(1));
    lease.observe(PromotionLeaseRecord{VmId("b"), 5, 2}, storeVersion(9, 1), now);
    lease.enterEra(StoreEra(2));
    now += PromotionLease::duration + PromotionLease::safetyMargin;
    lease.observe(lease.recoveredRecord(now), storeVersion(4, 2), now);
    CHECK_TRUE(lease.available(now));
}

// Guards against a lease that cannot be taken any more, or is taken at once and with an old token,
// after another writer has overwritten its record.
TEST(PromotionLease, unreadableRecordKeepsHolderAndToken)
{
    lease.observe(PromotionLeaseRecord{VmId("b"), 4, 0}, storeVersion(9, 0), now);
    lease.observeUnreadable(storeVersion(10, 0), now);
    CHECK_FALSE(lease.available(now));
    now += PromotionLease::duration + PromotionLease::safetyMargin;
    CHECK_TRUE(lease.available(now));
    LONGS_EQUAL(5, lease.propose(now).fencingToken);
    CHECK_TRUE(lease.expectedVersion() == storeVersion(10, 0));
}
