#ifndef PISTACHIOWOOD_PISTACHIOCTL_COMMAND_LINE_H
#define PISTACHIOWOOD_PISTACHIOCTL_COMMAND_LINE_H

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pistachiowood::ctl {

/// Parsed command line.
struct CommandLine
{
    SocketAddress server;
    std::string token;
    bool json = false;
    bool dryRun = false;
    bool help = false;
    std::optional<std::uint64_t> expectedVersion;
    std::optional<std::uint64_t> inForce;
    std::optional<std::uint64_t> maxAge;
    Milliseconds timeout{15000};
    std::string zone;
    std::string labels;
    std::vector<std::string> remove;
    std::vector<std::string> arguments; ///< the command and its arguments
};

using Environment = std::function<std::optional<std::string>(const std::string &name)>;

/// Flags win over PISTACHIOWOOD_SERVER and PISTACHIOWOOD_TOKEN. Errors are usage errors.
Result<CommandLine> parseCommandLine(int argc, const char *const *argv,
                                     const Environment &environment);

/// Description of the flags, for --help.
std::string flagHelp();

} // namespace pistachiowood::ctl

#endif
