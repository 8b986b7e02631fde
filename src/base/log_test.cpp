#include "base/log.h"

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(EventCatalogue){};

// Guards against an event that is missing in docs/events.md, where operators look it up.
TEST(EventCatalogue, docsListEveryEvent)
{
    std::ifstream file(PISTACHIOWOOD_SOURCE_DIR "/docs/events.md");
    CHECK_TRUE(file.good());
    std::stringstream text;
    text << file.rdbuf();
    for (const EventInfo &info : listEvents()) {
        const std::string row = "| " + std::to_string(info.number) + " | " + std::string(info.name)
                                + " | " + std::string(severityName(info.severity)) + " | "
                                + std::string(info.message) + " |";
        CHECK_TEXT(text.str().find(row) != std::string::npos, row.c_str());
    }
}

// Guards against two events that share a number.
TEST(EventCatalogue, numbersAreUnique)
{
    std::set<unsigned> numbers;
    for (const EventInfo &info : listEvents())
        CHECK_TRUE(numbers.insert(info.number).second);
}
