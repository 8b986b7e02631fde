#include "base/json.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(JsonBody){};

// Guards against a request without a body that is reported as incomplete JSON.
TEST(JsonBody, emptyBodyIsReported)
{
    const auto parsed = capture([] { return parseJsonObject(""); });
    const auto *error = std::get_if<Error>(&parsed);
    CHECK_TRUE(error != nullptr);
    CHECK_TRUE(error->code == ErrorCode::InvalidArgument);
    STRCMP_EQUAL("the body is empty; it must be a JSON object", error->message.c_str());
}
