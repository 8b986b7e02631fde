#include "gateway/session_setup.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(SessionSetup)
{
    EndpointSessionState state{{{"tz", "utc"}}, {}};
    PreparedStatement read{"READ q", false};
};

// Guards against a variable of another session that stays set.
TEST(SessionSetup, variableOfOtherSessionCausesReset)
{
    const auto plan = planSessionSetup(state, {}, nullptr, false);
    LONGS_EQUAL(1, plan.statements.size());
    CHECK_TRUE(plan.statements.front().verb == Verb::Reset);
    CHECK_TRUE(plan.result.variables.empty());
}

// Guards against set-up statements on a connection that already has the session state.
TEST(SessionSetup, matchingConnectionNeedsNoSetup)
{
    CHECK_TRUE(planSessionSetup(state, {{"tz", "utc"}}, nullptr, false).statements.empty());
    LONGS_EQUAL(0, countVariableChanges(state, {{"tz", "utc"}}));
}

// Guards against a reset inside a transaction, and against a changed value that is not sent.
TEST(SessionSetup, changedValueIsSet)
{
    const auto plan = planSessionSetup(state, {{"tz", "gmt"}}, nullptr, true);
    LONGS_EQUAL(1, plan.statements.size());
    CHECK_TRUE(plan.statements.front().verb == Verb::Set);
    CHECK_TRUE(plan.statements.front().arguments == "gmt");
}

// Guards against one name for two definitions, and against preparing a definition twice.
TEST(SessionSetup, equalDefinitionsShareAName)
{
    const auto first = planSessionSetup({}, {}, &read, false);
    LONGS_EQUAL(1, first.statements.size());
    const auto again = planSessionSetup(first.result, {}, &read, false);
    CHECK_TRUE(again.statements.empty());
    CHECK_TRUE(again.preparedName == first.preparedName);
    const PreparedStatement write{"WRITE q", true};
    CHECK_FALSE(planSessionSetup(first.result, {}, &write, false).preparedName
                == first.preparedName);
}
