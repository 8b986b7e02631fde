#include "net/request_target.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(RequestTarget){};

// Guards against object names that reach a handler still percent-encoded.
TEST(RequestTarget, decodesPathAndQuery)
{
    const auto target = parseRequestTarget("/v1/objects/Team/a%20b?expected_version=12&k=x%2Fy");
    CHECK_TRUE(!!target);
    CHECK_EQUAL(4, target->path.size());
    CHECK_TRUE(target->path.back() == "a b");
    CHECK_TRUE(target->queryText("k") == "x/y");
    CHECK_EQUAL(12, target->queryUnsigned("expected_version").value().value());
}

// Guards against a malformed number that is read as 0: expected version 0 means "create".
TEST(RequestTarget, refusesMalformedNumber)
{
    CHECK_FALSE(!!parseRequestTarget("/a?n=12x")->queryUnsigned("n"));
    CHECK_FALSE(!!parseRequestTarget("/a?n=-1")->queryUnsigned("n"));
    CHECK_FALSE(parseRequestTarget("/a")->queryUnsigned("n").value().has_value());
}

// Guards against an exception for a target that is not a valid path.
TEST(RequestTarget, refusesInvalidTarget)
{
    CHECK_FALSE(!!parseRequestTarget("no-slash"));
    CHECK_FALSE(!!parseRequestTarget("/%zz"));
}
