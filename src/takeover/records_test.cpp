#include "takeover/records.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(Records){template <typename Decode>
                    static bool decodes(Decode decode, const std::string &text){
                        return capture([&] { return decode(text); }).index() == 0;
}
}
;

// Guards against counts of another writer that wrap around when they are incremented: the next
// fencing token would be smaller than one that was used.
TEST(Records, tooLargeCountsAreTaken)
{
    const std::string lease = R"({"holder":"a","fencingToken":)";
    CHECK_TRUE(decodes(decodePromotionLeaseRecord, lease + R"(9007199254740992,"renewal":1})"));
    for (const std::string count :
         {"9007199254740993", "18446744073709551615", "1e30", "-1", "[]", "\"7\""})
        CHECK_FALSE(decodes(decodePromotionLeaseRecord, lease + count + R"(,"renewal":1})"));
    LONGS_EQUAL(7, recordGeneration(R"({"generation":7})"));
    LONGS_EQUAL(0, recordGeneration(R"({"generation":18446744073709551615})"));
    LONGS_EQUAL(0, recordGeneration("odd"));
}
