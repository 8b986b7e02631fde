#include "takeover/promotion_lease.h"

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
    lease.observe(PromotionLeaseRecord{VmId("b"), 4, 0}, ResourceVersion(9), now);
    CHECK_FALSE(lease.available(now + PromotionLease::duration));
    CHECK_TRUE(lease.available(now + PromotionLease::duration + PromotionLease::safetyMargin));
    CHECK_FALSE(lease.held(now));
}

// Guards against a fencing token that does not increase with a new holder or after a restart of the
// same one.
TEST(PromotionLease, tokenIncreasesUnlessHeld)
{
    lease.observe(PromotionLeaseRecord{VmId("a"), 4, 0}, ResourceVersion(9), now);
    const PromotionLeaseRecord taken = lease.propose(now);
    LONGS_EQUAL(5, taken.fencingToken);
    lease.accept(taken, ResourceVersion(10), now, now);
    CHECK_TRUE(lease.held(now));
    LONGS_EQUAL(5, lease.propose(now).fencingToken);
}

// Guards against a lease that is counted from a late answer, so that it lasts longer for its holder
// than for the other daemons.
TEST(PromotionLease, durationCountsFromTheTimeOfSending)
{
    lease.accept({VmId("a"), 1, 0}, ResourceVersion(1), now, now + 3s);
    CHECK_TRUE(lease.held(now + 3s));
    CHECK_FALSE(lease.held(now + PromotionLease::duration));
}

// Guards against a lease that stays in force after another daemon changed the record.
TEST(PromotionLease, observedChangeEndsTheLease)
{
    lease.accept({VmId("a"), 1, 0}, ResourceVersion(1), now, now);
    lease.observe(PromotionLeaseRecord{VmId("b"), 2, 0}, ResourceVersion(2), now);
    CHECK_FALSE(lease.held(now));
    lease.accept({VmId("a"), 1, 1}, ResourceVersion(1), now, now);
    CHECK_FALSE(lease.held(now));
}
