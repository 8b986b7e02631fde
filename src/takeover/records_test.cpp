#include "takeover/records.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(Records){template <typename Decode>
                    static bool decodes(Decode decode, const std::string &text){
                        return capture([&] { return decode(text); }).index() == 0;
}
}
;

// Guards against records of earlier versions that cannot be read, and against a term that is lost
// on its way through the store.
TEST(Records, termInForceIsNotKept)
{
    PrimaryRecord record{.service = ServiceName("db"), .primary = EndpointId("p"), .generation = 3};
    CHECK_FALSE(encodePrimaryRecord(record).find("term") != std::string::npos);
    for (const auto &newest : {std::optional<TermInForce>(),
                               std::optional(TermInForce{Term(3), {Term(2), LogPosition(17)}})}) {
        record.newest = newest;
        const auto decoded =
            capture([&] { return decodePrimaryRecord(encodePrimaryRecord(record)); });
        CHECK_TRUE(std::get<PrimaryRecord>(decoded) == record);
    }
}

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
