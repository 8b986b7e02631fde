// Included before CppUTest, which defines new as a macro that breaks these headers.
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

std::string readSource(const std::string &path)
{
    std::ifstream file(std::string(PISTACHIOWOOD_SOURCE_DIR "/") + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_GROUP(OperationsPage)
{
    std::string page = readSource("docs/OPERATIONS.md");
};

// Guards against reasons of refusals in the page that the code no longer uses.
TEST(OperationsPage, reasonsExist)
{
    const std::string sources =
        readSource("src/gateway/caller_work.cpp") + readSource("src/gateway/caller_session.cpp")
        + readSource("src/gateway/session_refusals.cpp") + readSource("platform/listeners.cpp");
    std::istringstream lines(page);
    std::string line;
    unsigned reasons = 0;
    const std::regex row("^\\| `[A-Z]+` \\| ([^|]+) \\|.*");
    for (std::smatch match; std::getline(lines, line);) {
        if (!std::regex_match(line, match, row))
            continue;
        // A slash separates several reasons in one row.
        std::istringstream cell(std::regex_replace(match[1].str(), std::regex(" / "), "\n"));
        for (std::string reason; std::getline(cell, reason); ++reasons)
            CHECK_TEXT(sources.find(reason) != std::string::npos, reason.c_str());
    }
    CHECK_TRUE(reasons >= 8);
}

// Guards against event numbers and texts in the page that are missing from the catalogue of events.
TEST(OperationsPage, eventsExist)
{
    const std::string catalogue = readSource("docs/events.md");
    const std::regex example("PW(\\d{4}) ([a-z ]*[a-z])");
    for (std::sregex_iterator found(page.begin(), page.end(), example), end; found != end;
         ++found) {
        const std::string number = "| " + (*found)[1].str() + " |";
        const auto at = catalogue.find(number);
        CHECK_TEXT(at != std::string::npos, number.c_str());
        const std::string entry = catalogue.substr(at, catalogue.find('\n', at) - at);
        // The match includes the name of the first field (name="value") after the text.
        const std::string text = (*found)[2].str();
        const std::string message = text.substr(0, text.rfind(' '));
        CHECK_TEXT(entry.find(message) != std::string::npos, message.c_str());
    }
    const std::regex number("\\b1[0-9]{3}\\b");
    for (std::sregex_iterator found(page.begin(), page.end(), number), end; found != end; ++found)
        CHECK_TEXT(catalogue.find("| " + found->str() + " |") != std::string::npos,
                   found->str().c_str());
}
