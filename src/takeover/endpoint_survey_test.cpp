#include "takeover/endpoint_survey.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(EndpointSurvey)
{
    const EndpointId primary{"p"};
    const EndpointId replica{"r"};
    EndpointStatuses statuses{{primary, status(true, 3)}, {replica, status(false, 3)}};

    static ReplicationStatus status(bool isPrimary, std::uint64_t term)
    {
        return {isPrimary, Term(term), {Term(term), LogPosition(4)}};
    }

    bool confirmed()
    {
        return isOnlyPrimary(primary, {primary, replica}, statuses);
    }
};

// Guards against a primary that is trusted although another one was promoted meanwhile.
TEST(EndpointSurvey, replacedPrimaryIsConfirmed)
{
    CHECK_TRUE(confirmed());
    statuses[replica] = status(false, 4); // follows a primary that is out of reach
    CHECK_FALSE(confirmed());
    statuses[replica] = status(true, 4);
    CHECK_FALSE(confirmed());
    statuses[replica] = status(false, 3);
    statuses[primary] = status(false, 3);
    CHECK_FALSE(confirmed());
}

// Guards against a primary that is trusted although the endpoint that may have replaced it is
// silent.
TEST(EndpointSurvey, silentEndpointConfirmsThePrimary)
{
    statuses.erase(replica);
    CHECK_FALSE(confirmed());
    statuses.clear();
    CHECK_FALSE(confirmed());
}
