#include "base/log.h"
#include "database_standin/database_server.h"
#include "net/address_overrides.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

using namespace pistachiowood;

namespace {

constexpr std::uint32_t longestMilliseconds = 3600000;
constexpr std::uint32_t largestCount = 10000;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("database_standin", "Stand-in for one database endpoint of a group");
    const auto number = [](const char *text) {
        return cxxopts::value<std::uint32_t>()->default_value(text);
    };
    const auto text = [](const char *value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    options.add_options()("id", "endpoint id, unique in the group", cxxopts::value<std::string>())(
        "host", "address to listen on",
        text("127.0.0.1"))("port", "0 picks a free port",
                           number("0"))("group-size", "endpoints of the group", number("3"))(
        "slots", "statements served at once; others queue",
        number("5"))("max-connections", "further connections are refused", number("30"))(
        "connect-cost-ms", "delay of the first request of a connection",
        number("12"))("statement-cost-ms", "time that a statement occupies a slot", number("1"))(
        "replication-delay-ms", "delay before a replica applies what it received",
        number("0"))("fetch-interval-ms", "pause between two fetches of the log", number("0"))(
        "fetch-wait-ms", "how long the primary holds a fetch when nothing is new",
        number("200"))("address-overrides", "outgoing connections as address=via,...",
                       text(""))("help", "print this text");
    return options;
}

// Throws cxxopts::exceptions::exception with the name of the invalid option.
standin::DatabaseOptions readOptions(const cxxopts::ParseResult &parsed)
{
    const auto number = [&](const char *name, std::uint32_t lowest, std::uint32_t highest) {
        const auto value = parsed[name].as<std::uint32_t>();
        if (value < lowest || value > highest)
            throw cxxopts::exceptions::parsing("option --" + std::string(name) + " must be from "
                                               + std::to_string(lowest) + " to "
                                               + std::to_string(highest));
        return value;
    };
    const auto duration = [&](const char *name, std::uint32_t lowest = 0) {
        return Milliseconds(number(name, lowest, longestMilliseconds));
    };
    if (!parsed.count("id") || parsed["id"].as<std::string>().empty())
        throw cxxopts::exceptions::parsing("option --id must be present and not empty");
    const auto overrides = capture(
        [&] { return parseAddressOverrides(parsed["address-overrides"].as<std::string>()); });
    if (const auto *error = std::get_if<Error>(&overrides))
        throw cxxopts::exceptions::parsing("option --address-overrides: " + error->message);
    setAddressOverrides(std::get<AddressOverrides>(overrides));
    standin::DatabaseOptions options;
    options.id = EndpointId(parsed["id"].as<std::string>());
    options.address = {parsed["host"].as<std::string>(),
                       static_cast<std::uint16_t>(number("port", 0, 65535))};
    options.groupSize = number("group-size", 1, largestCount);
    options.slots = number("slots", 1, largestCount);
    options.maxConnections = number("max-connections", 1, largestCount);
    options.connectCost = duration("connect-cost-ms");
    options.statementCost = duration("statement-cost-ms");
    options.replicationDelay = duration("replication-delay-ms");
    options.fetchInterval = duration("fetch-interval-ms");
    // Without a wait an idle replica would fetch in a busy loop.
    options.fetchWait = duration("fetch-wait-ms", 1);
    return options;
}

int run(standin::DatabaseOptions options)
{
    std::signal(SIGTERM, [](int) { std::_Exit(0); });
    const SteadyClock clock;
    EventLoop loop;
    const std::string id = options.id.value();
    const std::string host = options.address.host;
    standin::DatabaseServer server(loop, clock, std::move(options));
    const auto outcome = capture([&] { return server.listen(); });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logEvent(Event::ListenFailed, {{"reason", error->message}});
        return 1;
    }
    logEvent(Event::DatabaseStarted, {{"id", id}, {"host", host}, {"port", server.port()}});
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(Severity::Info);
    auto description = describeOptions();
    standin::DatabaseOptions options;
    try {
        const auto parsed = description.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout << description.help() << "\n";
            return 0;
        }
        options = readOptions(parsed);
    } catch (const std::exception &failure) {
        logEvent(Event::SettingsInvalid, {{"reason", failure.what()}});
        return 2;
    }
    return run(std::move(options));
}
