#include "base/log.h"
#include "platform_standin/platform_server.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace pistachiowood;
using namespace pistachiowood::platform;

namespace {

int run_standin(const cxxopts::ParseResult &flags)
{
    const SocketAddress address{flags["host"].as<std::string>(), flags["port"].as<std::uint16_t>()};
    EventLoop loop;
    PlatformServer server(loop, {flags["event-history"].as<std::size_t>(),
                                 Milliseconds(flags["vm-list-lag-ms"].as<unsigned>()),
                                 flags["max-writes-per-second"].as<double>(),
                                 flags["max-reads-per-second"].as<double>()});
    const auto listening = capture([&] { return server.listen(address); });
    if (const auto *error = std::get_if<Error>(&listening)) {
        std::cerr << "platform_standin: " << error->message << '\n';
        return 1;
    }
    std::cout << "listening on " << address.host << ":" << server.port() << std::endl;
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(Severity::Info);
    cxxopts::Options options("platform_standin",
                             "Stand-in for the platform's object API and VM list.");
    options.add_options()("help", "Print the flags")(
        "port", "Port; 0 picks a free one", cxxopts::value<std::uint16_t>()->default_value("0"))(
        "host", "Address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "event-history", "Events kept for watches",
        cxxopts::value<std::size_t>()->default_value("1000"))(
        "vm-list-lag-ms", "Age of the VM list", cxxopts::value<unsigned>()->default_value("5000"))(
        "max-writes-per-second", "Writes above this rate are refused",
        cxxopts::value<double>()->default_value("300"))(
        "max-reads-per-second", "Reads above this rate are refused",
        cxxopts::value<double>()->default_value("2000"));
    try {
        const auto flags = options.parse(argc, argv);
        if (flags.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run_standin(flags);
    } catch (const std::exception &error) { // cxxopts reports bad flags by exception
        std::cerr << "platform_standin: " << error.what() << '\n';
        return 2;
    }
}
