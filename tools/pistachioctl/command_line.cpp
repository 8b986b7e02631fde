#include "pistachioctl/command_line.h"

#include "base/settings.h"

#include <cxxopts.hpp>

namespace pistachiowood::ctl {

namespace {

constexpr const char *defaultServer = "127.0.0.1:7003";

cxxopts::Options describeFlags()
{
    cxxopts::Options options("pistachioctl", "Command-line client for operators.");
    auto add = options.add_options();
    const auto text = [] { return cxxopts::value<std::string>(); };
    const auto number = [] { return cxxopts::value<std::uint64_t>(); };
    add("help", "Print this text");
    add("server",
        "Administration port of a daemon, host:port (PISTACHIOWOOD_SERVER; default "
            + std::string(defaultServer) + ")",
        text());
    add("token",
        "Bearer credential; prefer PISTACHIOWOOD_TOKEN, because other users of the machine can "
        "see flags",
        text());
    add("output", "table or json", text()->default_value("table"));
    add("expected-version", "Change only this version of the object; 0: create", number());
    add("dry-run", "Check the change and print the difference, but do not make it");
    add("remove", "label: keys to remove, separated by commas",
        cxxopts::value<std::vector<std::string>>());
    add("in-force", "wait: the version to wait for", number());
    add("timeout-ms", "Longest time for the request, or for wait altogether",
        number()->default_value("15000"));
    add("zone", "explain: zone of the caller (default: that of the daemon)", text());
    add("labels", "explain: labels of the session, key=value,...", text());
    add("max-age-ms", "explain: oldest data that the read accepts", number());
    return options;
}

std::optional<std::string> findText(const cxxopts::ParseResult &flags, const std::string &name)
{
    return flags.count(name) > 0 ? std::optional(flags[name].as<std::string>()) : std::nullopt;
}

std::optional<std::uint64_t> findNumber(const cxxopts::ParseResult &flags, const std::string &name)
{
    return flags.count(name) > 0 ? std::optional(flags[name].as<std::uint64_t>()) : std::nullopt;
}

Result<CommandLine> readFlags(const cxxopts::ParseResult &flags, const Environment &environment)
{
    CommandLine line;
    line.help = flags.count("help") > 0;
    line.arguments = flags.unmatched();
    const auto fromEnvironment = environment("PISTACHIOWOOD_SERVER").value_or(defaultServer);
    BOOST_LEAF_ASSIGN(line.server,
                      parseAddress(findText(flags, "server").value_or(fromEnvironment)));
    line.token = findText(flags, "token")
                     .value_or(environment("PISTACHIOWOOD_TOKEN").value_or(std::string()));
    const auto output = flags["output"].as<std::string>();
    if (output != "table" && output != "json")
        return makeError(ErrorCode::InvalidArgument, "--output must be table or json");
    line.json = output == "json";
    line.dryRun = flags.count("dry-run") > 0;
    line.expectedVersion = findNumber(flags, "expected-version");
    line.inForce = findNumber(flags, "in-force");
    line.maxAge = findNumber(flags, "max-age-ms");
    constexpr std::uint64_t longestTimeout = 24ULL * 60 * 60 * 1000;
    const auto timeout = flags["timeout-ms"].as<std::uint64_t>();
    if (timeout == 0 || timeout > longestTimeout)
        return makeError(ErrorCode::InvalidArgument,
                         "--timeout-ms must be 1 to " + std::to_string(longestTimeout));
    line.timeout = Milliseconds(timeout);
    line.zone = findText(flags, "zone").value_or("");
    line.labels = findText(flags, "labels").value_or("");
    if (flags.count("remove") > 0)
        line.remove = flags["remove"].as<std::vector<std::string>>();
    return line;
}

} // namespace

Result<CommandLine> parseCommandLine(int argc, const char *const *argv,
                                     const Environment &environment)
{
    auto options = describeFlags();
    try {
        return readFlags(options.parse(argc, argv), environment);
    } catch (const std::exception &failure) { // cxxopts reports bad flags by exception
        return makeError(ErrorCode::InvalidArgument, failure.what());
    }
}

std::string flagHelp()
{
    const std::string help = describeFlags().help();
    // The usage line of cxxopts does not know the commands.
    const auto flags = help.find("  --");
    return flags == std::string::npos ? help : help.substr(help.rfind('\n', flags) + 1);
}

} // namespace pistachiowood::ctl
