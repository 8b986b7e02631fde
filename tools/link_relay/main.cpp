#include "base/settings.h"
#include "link_relay/relay.h"
#include "link_relay/relay_control.h"

#include <cxxopts.hpp>

#include <cmath>
#include <iostream>

using namespace pistachiowood;
using namespace pistachiowood::relay;

namespace {

Result<void> addPairs(Relay &relay, const std::vector<std::string> &pairs, Direction direction)
{
    for (const std::string &pair : pairs) {
        const auto separator = pair.find('=');
        if (separator == std::string::npos)
            return makeError(ErrorCode::InvalidArgument,
                             "\"" + pair + "\" does not have the form listen=target");
        BOOST_LEAF_AUTO(listen, parseAddress(pair.substr(0, separator)));
        BOOST_LEAF_AUTO(target, parseAddress(pair.substr(separator + 1)));
        BOOST_LEAF_AUTO(port, relay.addPair(listen, target, direction));
        std::cout << "relaying " << listen.host << ":" << port << " to " << target.host << ":"
                  << target.port << std::endl;
    }
    return {};
}

Result<void> addAllPairs(Relay &relay, const cxxopts::ParseResult &flags)
{
    std::vector<std::string> pairs;
    if (flags.count("pair") != 0)
        pairs = flags["pair"].as<std::vector<std::string>>();
    if (flags.count("listen") != 0 || flags.count("target") != 0)
        pairs.push_back(flags["listen"].as<std::string>() + "="
                        + flags["target"].as<std::string>());
    BOOST_LEAF_CHECK(addPairs(relay, pairs, Forward));
    if (flags.count("reverse-pair") != 0) {
        BOOST_LEAF_CHECK(
            addPairs(relay, flags["reverse-pair"].as<std::vector<std::string>>(), Backward));
    }
    return {};
}

int run_relay(const cxxopts::ParseResult &flags)
{
    LinkSettings settings;
    settings.delay = std::chrono::microseconds(std::llround(flags["delay-ms"].as<double>() * 1000));
    settings.megabitsPerSecond = flags["rate-mbit"].as<double>();
    EventLoop loop;
    Relay relay(loop, settings);
    RelayControl control(loop, relay);
    const auto started = capture([&]() -> Result<void> {
        BOOST_LEAF_CHECK(addAllPairs(relay, flags));
        BOOST_LEAF_CHECK(control.listen({"127.0.0.1", flags["control-port"].as<std::uint16_t>()}));
        return {};
    });
    if (const auto *error = std::get_if<Error>(&started)) {
        std::cerr << "link_relay: " << error->message << '\n';
        return 1;
    }
    std::cout << "control on 127.0.0.1:" << control.port() << std::endl;
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("link_relay",
                             "TCP relay that delays, limits, cuts and freezes a link.");
    options.add_options()("help", "Print the flags")("listen", "Address to listen on",
                                                     cxxopts::value<std::string>())(
        "target", "Address to connect to", cxxopts::value<std::string>())(
        "pair", "listen=target; may be repeated, all pairs share the link",
        cxxopts::value<std::vector<std::string>>())(
        "reverse-pair", "like --pair, but its forward direction is the link's backward direction",
        cxxopts::value<std::vector<std::string>>())("delay-ms", "One-way delay, may be fractional",
                                                    cxxopts::value<double>()->default_value("0"))(
        "rate-mbit", "Rate each way in Mbit/s; 0 is unlimited",
        cxxopts::value<double>()->default_value("0"))(
        "control-port", "HTTP control port on 127.0.0.1; 0 picks a free one",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    try {
        const auto flags = options.parse(argc, argv);
        if (flags.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run_relay(flags);
    } catch (const std::exception &error) { // cxxopts reports bad flags by exception
        std::cerr << "link_relay: " << error.what() << '\n';
        return 2;
    }
}
