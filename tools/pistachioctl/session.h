#ifndef PISTACHIOWOOD_PISTACHIOCTL_SESSION_H
#define PISTACHIOWOOD_PISTACHIOCTL_SESSION_H

#include "net/http.h"
#include "pistachioctl/api_client.h"
#include "pistachioctl/command_line.h"
#include "pistachioctl/tables.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood::ctl {

/// Stable exit codes of the program.
enum class ExitCode : std::uint8_t {
    Ok = 0,
    Refused = 1, ///< or not in force
    Usage = 2,
    Unreachable = 3, ///< no definite answer from the daemon or the platform
    Conflict = 4,
    Permission = 5,
};

/// What the commands need from their surroundings.
struct Surroundings
{
    std::function<HttpOutcome(HttpRequest, Milliseconds timeout)> call;
    std::function<void(Milliseconds)> sleep;
    const Clock &clock;
    std::istream &input;
    std::ostream &output;
    std::ostream &errors;
};

/// Runs one command.
class Session
{
public:
    Session(CommandLine line, Surroundings surroundings);

    ExitCode run();

private:
    using Arguments = std::vector<std::string>;
    struct Command
    {
        std::string_view name;
        std::string_view arguments;
        std::string_view help;
        std::size_t minimum = 0; ///< number of arguments
        std::size_t maximum = 0;
        ExitCode (Session::*run)(const Arguments &) = nullptr;
    };
    static std::span<const Command> commands();

    ExitCode getObject(const Arguments &arguments);
    ExitCode listObjects(const Arguments &arguments);
    ExitCode putObject(const Arguments &arguments);
    ExitCode diffObject(const Arguments &arguments);
    ExitCode patchObject(const Arguments &arguments);
    ExitCode changeLabels(const Arguments &arguments);
    ExitCode deleteObject(const Arguments &arguments);
    ExitCode drain(const Arguments &arguments);
    ExitCode undrain(const Arguments &arguments);
    ExitCode showStatus(const Arguments &arguments);
    ExitCode waitInForce(const Arguments &arguments);
    ExitCode showHistory(const Arguments &arguments);
    ExitCode explainRead(const Arguments &arguments);
    ExitCode printCompletion(const Arguments &arguments);

    ExitCode exchange(HttpRequest request, Renderer render);
    ExitCode report(const HttpOutcome &outcome, bool isChange, Renderer render);
    ExitCode sendChange(const std::string &method, const std::vector<std::string> &segments,
                        std::string body);
    ExitCode failUsage(const std::string &message);
    Result<std::string> readSource(const std::string &source);
    Result<std::string> readObjectBody(const std::string &source);
    std::string helpText() const;

    CommandLine line_;
    Surroundings surroundings_;
};

} // namespace pistachiowood::ctl

#endif
