#include "base/settings.h"

#include <cxxopts.hpp>

#include <charconv>
#include <cstdlib>

namespace pistachiowood {

namespace {

constexpr std::string_view environmentPrefix = "PISTACHIOWOOD_";

std::string environmentName(const std::string &flag)
{
    std::string name(environmentPrefix);
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

boost::leaf::error_id invalidSetting(const std::string &name, const std::string &value,
                                     const std::string &allowed)
{
    return makeError(ErrorCode::InvalidArgument, "setting --" + name + " (" + environmentName(name)
                                                     + ") is \"" + value + "\"; it must be "
                                                     + allowed);
}

std::string joinChoices(const std::vector<std::string> &choices)
{
    std::string joined;
    for (const auto &choice : choices)
        joined += (joined.empty() ? "" : ", ") + choice;
    return joined;
}

} // namespace

SettingsParser::SettingsParser(std::string program, std::string description)
    : program_(std::move(program))
    , description_(std::move(description))
{
}

void SettingsParser::add(Setting setting)
{
    settings_.push_back(std::move(setting));
}

void SettingsParser::addInteger(const std::string &name, std::int64_t &target, std::int64_t minimum,
                                std::int64_t maximum, const std::string &unit,
                                const std::string &help)
{
    const std::string range = std::to_string(minimum) + " to " + std::to_string(maximum);
    const std::string suffix = unit.empty() ? "" : " " + unit;
    add({name, help + " [" + range + suffix + "]", std::to_string(target), false,
         [=, &target](const std::string &text) -> Result<void> {
             const auto number = parseInteger(text);
             if (!number || *number < minimum || *number > maximum)
                 return invalidSetting(name, text, "a whole number from " + range + suffix);
             target = *number;
             return {};
         }});
}

void SettingsParser::addDuration(const std::string &name, Milliseconds &target,
                                 Milliseconds minimum, Milliseconds maximum,
                                 const std::string &help)
{
    const std::string range =
        std::to_string(minimum.count()) + " to " + std::to_string(maximum.count()) + " ms";
    add({name, help + " [" + range + "]", std::to_string(target.count()), false,
         [=, &target](const std::string &text) -> Result<void> {
             const auto number = parseInteger(text);
             if (!number || *number < minimum.count() || *number > maximum.count())
                 return invalidSetting(name, text, "a whole number from " + range);
             target = Milliseconds(*number);
             return {};
         }});
}

void SettingsParser::addText(const std::string &name, std::string &target, const std::string &help,
                             bool required)
{
    add({name, help, target, required, [&target](const std::string &text) -> Result<void> {
             target = text;
             return {};
         }});
}

void SettingsParser::addChoice(const std::string &name, std::string &target,
                               const std::vector<std::string> &choices, const std::string &help)
{
    const std::string listed = joinChoices(choices);
    add({name, help + " [" + listed + "]", target, false,
         [=, &target](const std::string &text) -> Result<void> {
             for (const auto &choice : choices) {
                 if (choice == text) {
                     target = text;
                     return {};
                 }
             }
             return invalidSetting(name, text, "one of " + listed);
         }});
}

void SettingsParser::addAddress(const std::string &name, SocketAddress &target,
                                const std::string &help, bool required)
{
    add({name, help + " [IPv4:port]", target.host.empty() ? "" : formatAddress(target), required,
         [name, &target](const std::string &text) -> Result<void> {
             auto parsed = capture([&] { return parseAddress(text); });
             if (const auto *error = std::get_if<Error>(&parsed))
                 return makeError(ErrorCode::InvalidArgument,
                                  "setting --" + name + ": " + error->message);
             target = std::get<SocketAddress>(parsed);
             return {};
         }});
}

void SettingsParser::addAddressList(const std::string &name, std::vector<SocketAddress> &target,
                                    const std::string &help)
{
    add({name, help + " [IPv4:port,...]", "", false,
         [name, &target](const std::string &text) -> Result<void> {
             target.clear();
             std::size_t begin = 0;
             while (begin < text.size()) {
                 const auto end = std::min(text.find(',', begin), text.size());
                 auto parsed =
                     capture([&] { return parseAddress(text.substr(begin, end - begin)); });
                 if (const auto *error = std::get_if<Error>(&parsed))
                     return makeError(ErrorCode::InvalidArgument,
                                      "setting --" + name + ": " + error->message);
                 target.push_back(std::get<SocketAddress>(parsed));
                 begin = end + 1;
             }
             return {};
         }});
}

Result<void> SettingsParser::parse(int argc, const char *const *argv,
                                   const Environment &environment)
{
    cxxopts::Options options(program_, description_);
    options.add_options()("help", "show this text");
    for (const Setting &setting : settings_)
        options.add_options()(setting.name, setting.help, cxxopts::value<std::string>());
    cxxopts::ParseResult flags;
    try {
        flags = options.parse(argc, argv);
    } catch (const std::exception &failure) { // cxxopts throws on invalid flags
        return makeError(ErrorCode::InvalidArgument, failure.what());
    }
    if (!flags.unmatched().empty())
        return makeError(ErrorCode::InvalidArgument,
                         "unexpected argument \"" + flags.unmatched().front() + "\"");
    helpRequested_ = flags.count("help") > 0;
    if (helpRequested_)
        return {};
    for (const Setting &setting : settings_) {
        std::optional<std::string> value;
        if (flags.count(setting.name) > 0)
            value = flags[setting.name].as<std::string>();
        else
            value = environment(environmentName(setting.name));
        if (value)
            BOOST_LEAF_CHECK(setting.assign(*value));
        else if (setting.required)
            return makeError(ErrorCode::InvalidArgument, "setting --" + setting.name + " ("
                                                             + environmentName(setting.name)
                                                             + ") is required");
    }
    return {};
}

std::string SettingsParser::helpText() const
{
    std::string text = program_ + ": " + description_
                       + "\n\nEach setting is a flag or an environment variable; a flag wins.\n\n";
    for (const Setting &setting : settings_) {
        text += "  --" + setting.name + "  (" + environmentName(setting.name) + ")\n      "
                + setting.help;
        if (setting.required)
            text += "; required";
        else if (!setting.defaultText.empty())
            text += "; default " + setting.defaultText;
        text += "\n";
    }
    return text;
}

std::optional<std::string> SettingsParser::processEnvironment(const std::string &name)
{
    if (const char *value = std::getenv(name.c_str()))
        return std::string(value);
    return std::nullopt;
}

} // namespace pistachiowood
