#include "takeover/duty_lease.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

TEST_GROUP(DutyLease)
{
    TimePoint now{std::chrono::hours(1)};
    DutyLease lease{VmId("a")};
};

// Guards against two holders at the same time.
TEST(DutyLease, otherHolderIsWaitedOut)
{
    lease.observe(PromotionLeaseRecord{VmId("b"), 4, 0}, ResourceVersion(9), now);
    CHECK_FALSE(lease.available(now + DutyLease::period));
    CHECK_TRUE(lease.available(now + DutyLease::period + DutyLease::margin));
    CHECK_FALSE(lease.held(now));
}

// Guards against a token that does not grow with the holder, also over a restart of the same one.
TEST(DutyLease, tokenGrowsUnlessHeld)
{
    lease.observe(PromotionLeaseRecord{VmId("a"), 4, 0}, ResourceVersion(9), now);
    const PromotionLeaseRecord taken = lease.propose(now);
    LONGS_EQUAL(5, taken.fencingToken);
    lease.accept(taken, ResourceVersion(10), now, now);
    CHECK_TRUE(lease.held(now));
    LONGS_EQUAL(5, lease.propose(now).fencingToken);
}

// Guards against a holder that counts from the answer although it waited for it for long.
TEST(DutyLease, countsFromTheTimeOfTheCall)
{
    lease.accept({VmId("a"), 1, 0}, ResourceVersion(1), now, now + 3s);
    CHECK_TRUE(lease.held(now + 3s));
    CHECK_FALSE(lease.held(now + DutyLease::period));
}

// Guards against a lease that goes on after another daemon changed the record.
TEST(DutyLease, observedChangeEndsIt)
{
    lease.accept({VmId("a"), 1, 0}, ResourceVersion(1), now, now);
    lease.observe(PromotionLeaseRecord{VmId("b"), 2, 0}, ResourceVersion(2), now);
    CHECK_FALSE(lease.held(now));
    lease.accept({VmId("a"), 1, 1}, ResourceVersion(1), now, now);
    CHECK_FALSE(lease.held(now));
}
