#include "takeover/refused_items.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(RefusedItems)
{
    RefusedItems refused;
};

// Guards against a log that one odd entry of another writer fills with every heartbeat of an
// endpoint, and against later versions that go unreported.
TEST(RefusedItems, itemIsReportedWithEveryChangeOfItsGroup)
{
    CHECK_TRUE(refused.add(storedItem("x", storeVersion(4))));
    CHECK_FALSE(refused.add(storedItem("x", storeVersion(4))));
    CHECK_TRUE(refused.add(storedItem("x", storeVersion(5))));
    refused.retain({{"x", storedItem("x", storeVersion(5))}});
    CHECK_FALSE(refused.add(storedItem("x", storeVersion(5))));
    refused.retain({});
    CHECK_TRUE(refused.add(storedItem("x", storeVersion(5))));
}
