#ifndef PISTACHIOWOOD_BASE_SETTINGS_H
#define PISTACHIOWOOD_BASE_SETTINGS_H

#include "base/address.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pistachiowood {

/// Settings of a program. Each is a flag or an environment variable; the flag has precedence.
/// "--caller-port" corresponds to PISTACHIOWOOD_CALLER_PORT.
class SettingsParser
{
public:
    using Environment = std::function<std::optional<std::string>(const std::string &name)>;

    SettingsParser(std::string program, std::string description);

    void addInteger(const std::string &name, std::int64_t &target, std::int64_t minimum,
                    std::int64_t maximum, const std::string &unit, const std::string &help);
    void addDuration(const std::string &name, Milliseconds &target, Milliseconds minimum,
                     Milliseconds maximum, const std::string &help);
    void addText(const std::string &name, std::string &target, const std::string &help,
                 bool required = false);
    void addChoice(const std::string &name, std::string &target,
                   const std::vector<std::string> &choices, const std::string &help);
    void addAddress(const std::string &name, SocketAddress &target, const std::string &help,
                    bool required = false);
    void addAddressList(const std::string &name, std::vector<SocketAddress> &target,
                        const std::string &help);

    /// Reads flags and environment. The error names the setting and its allowed values.
    Result<void> parse(int argc, const char *const *argv, const Environment &environment);
    /// True after parse() when --help was given.
    bool helpRequested() const { return helpRequested_; }
    std::string helpText() const;

    /// Reads a variable from the environment of the process.
    static std::optional<std::string> processEnvironment(const std::string &name);

private:
    struct Setting
    {
        std::string name;
        std::string help;
        std::string defaultText;
        bool required = false;
        std::function<Result<void>(const std::string &)> assign;
    };

    void add(Setting setting);

    std::string program_;
    std::string description_;
    std::vector<Setting> settings_;
    bool helpRequested_ = false;
};

} // namespace pistachiowood

#endif
