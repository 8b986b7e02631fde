#include "allotments/allotment_holder.h"
#include "allotments/coordinator_choice.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

const CustomerName customer("c");
const CustomerName unlimited("u");

std::shared_ptr<const CustomerDirectory> makeDirectory(double rate)
{
    return CustomerDirectory::build(
               {{customer, {}, 0, OperationLimit{rate, rate}}, {unlimited, {}, 0, std::nullopt}})
        .value();
}

} // namespace

TEST_GROUP(AllotmentHolder)
{
    ManualClock clock;
    SeededRandom random{1};
    unsigned group = allotmentGroupOf(customer);
    AllotmentHolder holder{AllotmentSettings{}, random};

    void setup() override
    {
        holder.setCustomers(makeDirectory(100), 84, clock.now());
    }

    unsigned admitAll(unsigned count)
    {
        unsigned admitted = 0;
        for (unsigned i = 0; i < count; ++i)
            admitted += holder.admit(customer, clock.now()) == AdmissionVerdict::Admit ? 1 : 0;
        return admitted;
    }

    void grant(const AllotmentGrant &value, GrantKind kind = GrantKind::Leases)
    {
        AllotmentGrant grant = value;
        grant.customer = customer;
        grant.limit = {100, 100};
        holder.takeRequests(clock.now());
        holder.handleGrants({group, kind, {grant}}, clock.now());
    }

    bool sendsGroup()
    {
        for (const GroupNeeds &needs : holder.takeRequests(clock.now())) {
            if (needs.group == group)
                return true;
        }
        return false;
    }
};

// Guards against a message for each operation of a customer that is at its limit.
TEST(AllotmentHolder, refusedOperationsCauseMessages)
{
    admitAll(1);
    grant({.refuseFor = 400ms});
    for (unsigned i = 0; i < 50; ++i) {
        CHECK_TRUE(holder.admit(customer, clock.now()) == AdmissionVerdict::Refuse);
        CHECK_FALSE(sendsGroup());
    }
    clock.advance(500ms);
    CHECK_TRUE(holder.admit(customer, clock.now()) == AdmissionVerdict::Wait);
    CHECK_TRUE(sendsGroup());
}

// Guards against a bucket that gives more than its lease, and against a lease that does not end.
TEST(AllotmentHolder, leaseIsExceeded)
{
    admitAll(1);
    grant({.rate = 10, .capacity = 5, .tokens = 5});
    LONGS_EQUAL(5, admitAll(20));
    clock.advance(1s);
    LONGS_EQUAL(5, admitAll(20));
    clock.advance(11s);
    LONGS_EQUAL(0, admitAll(20));
}

// Guards against tokens that stay at a daemon which its callers have left.
TEST(AllotmentHolder, unusedTokensAreKept)
{
    admitAll(1);
    grant({.rate = 1, .capacity = 5, .tokens = 5});
    clock.advance(4s);
    double returned = 0;
    for (const GroupNeeds &needs : holder.takeRequests(clock.now())) {
        for (const AllotmentNeed &need : needs.needs)
            returned += need.returned;
    }
    DOUBLES_EQUAL(5, returned, 0.01);
    LONGS_EQUAL(0, admitAll(3));
}

// Guards against a daemon that uses its lease of the former limit after that is lowered.
TEST(AllotmentHolder, loweredLimitIsNotApplied)
{
    admitAll(1);
    grant({.rate = 50, .capacity = 40, .tokens = 40});
    holder.setCustomers(makeDirectory(10), 84, clock.now());
    CHECK_TRUE(admitAll(100) <= 9);
    DOUBLES_EQUAL(5, holder.leasedRate(customer), 0.01);
}

// Guards against an unlimited customer that is counted, and against a removed one that is admitted.
TEST(AllotmentHolder, unlimitedCustomerIsCounted)
{
    for (unsigned i = 0; i < 1000; ++i)
        CHECK_TRUE(holder.admit(unlimited, clock.now()) == AdmissionVerdict::Admit);
    const auto none = CustomerDirectory::build({{unlimited, {}, 0, std::nullopt}}).value();
    holder.setCustomers(none, 84, clock.now());
    clock.advance(10s);
    CHECK_TRUE(holder.takeRequests(clock.now()).empty());
    CHECK_TRUE(holder.admit(customer, clock.now()) == AdmissionVerdict::Refuse);
}

// Guards against daemons that refuse all, or admit more than their part of the tolerance, while no
// coordinator answers. With 3 daemons each has (600 x 0.1 + 20) / 4 / 3 per window.
TEST(AllotmentHolder, allowanceWithoutLeaseIsExceeded)
{
    holder.setCustomers(makeDirectory(100), 3, clock.now());
    unsigned admitted = 0;
    for (unsigned i = 0; i < 50; ++i) {
        for (const GroupNeeds &needs : holder.takeRequests(clock.now()))
            holder.handleFailure(needs.group, clock.now());
        admitted += admitAll(10);
        clock.advance(100ms);
    }
    CHECK_TRUE(admitted >= 3);
    CHECK_TRUE(admitted <= 6);
}
