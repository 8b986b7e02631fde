#include "gateway/link_prelude.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(LinkPrelude)
{
    LinkSessionState state{{{"tz", "utc"}}, {}};
    PreparedStatement read{"READ q", false};
};

// Guards against a variable of another session that stays set.
TEST(LinkPrelude, foreignVariableCausesReset)
{
    const auto plan = planPrelude(state, {}, nullptr, false);
    LONGS_EQUAL(1, plan.statements.size());
    CHECK_TRUE(plan.statements.front().verb == Verb::Reset);
    CHECK_TRUE(plan.result.variables.empty());
}

// Guards against set-up statements on a connection that already has the session state.
TEST(LinkPrelude, fittingConnectionNeedsNothing)
{
    CHECK_TRUE(planPrelude(state, {{"tz", "utc"}}, nullptr, false).statements.empty());
    LONGS_EQUAL(0, countVariableChanges(state, {{"tz", "utc"}}));
}

// Guards against a reset inside a transaction, and against a changed value that is not sent.
TEST(LinkPrelude, changedValueIsSet)
{
    const auto plan = planPrelude(state, {{"tz", "gmt"}}, nullptr, true);
    LONGS_EQUAL(1, plan.statements.size());
    CHECK_TRUE(plan.statements.front().verb == Verb::Set);
    CHECK_TRUE(plan.statements.front().arguments == "gmt");
}

// Guards against one name for two definitions, and against preparing a definition twice.
TEST(LinkPrelude, equalDefinitionsShareAName)
{
    const auto first = planPrelude({}, {}, &read, false);
    LONGS_EQUAL(1, first.statements.size());
    const auto again = planPrelude(first.result, {}, &read, false);
    CHECK_TRUE(again.statements.empty());
    CHECK_TRUE(again.preparedName == first.preparedName);
    const PreparedStatement write{"WRITE q", true};
    CHECK_FALSE(planPrelude(first.result, {}, &write, false).preparedName == first.preparedName);
}
