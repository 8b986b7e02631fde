#include "history_check/checker.h"

#include <cxxopts.hpp>

#include <iostream>
#include <map>

using namespace pistachiowood;
using namespace pistachiowood::check;

namespace {

void printSummary(const CheckSummary &summary, std::size_t maxPrinted)
{
    std::map<std::string, std::size_t> byRule;
    std::size_t printed = 0;
    for (const Violation &violation : summary.violations) {
        ++byRule[violation.rule];
        if (printed++ < maxPrinted)
            std::cout << violation.format();
    }
    std::cout << "appends: " << summary.committedAppends << " committed, " << summary.notRunAppends
              << " not_run, " << summary.unknownAppends << " unknown (" << summary.unknownPresent
              << " of them present); reads checked: " << summary.checkedReads << '\n';
    for (const auto &[rule, count] : byRule)
        std::cout << "violations of \"" << rule << "\": " << count << '\n';
    std::cout << (summary.violations.empty() ? "no violation found" : "FAILED") << '\n';
}

Result<bool> run(const cxxopts::ParseResult &flags)
{
    BOOST_LEAF_AUTO(history, readHistory(flags["history"].as<std::string>()));
    BOOST_LEAF_AUTO(content, readFinalContent(flags["final"].as<std::string>()));
    const CheckSummary summary =
        checkHistory(history, content, {flags["clock-slack-ms"].as<std::int64_t>()});
    printSummary(summary, flags["max-print"].as<std::size_t>());
    return summary.violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("history_check",
                             "Checks a history of loadgen against the final content of its keys.");
    options.add_options()("help", "Print the flags")("history", "History file",
                                                     cxxopts::value<std::string>())(
        "final", "Final content, JSON lines {service, key, values}",
        cxxopts::value<std::string>())("clock-slack-ms", "Inaccuracy allowed for accepted ages",
                                       cxxopts::value<std::int64_t>()->default_value("50"))(
        "max-print", "Violations to print in full",
        cxxopts::value<std::size_t>()->default_value("20"));
    try {
        const auto flags = options.parse(argc, argv);
        if (flags.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        const auto outcome = capture([&] { return run(flags); });
        if (const auto *error = std::get_if<Error>(&outcome)) {
            std::cerr << "history_check: " << error->message << '\n';
            return 2;
        }
        return std::get<0>(outcome) ? 0 : 1;
    } catch (const std::exception &error) { // cxxopts reports bad flags by exception
        std::cerr << "history_check: " << error.what() << '\n';
        return 2;
    }
}
