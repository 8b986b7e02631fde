#include "base/settings.h"
#include "loadgen/final_dump.h"
#include "loadgen/runner.h"

#include <cxxopts.hpp>

#include <cmath>
#include <iostream>

using namespace pistachiowood;
using namespace pistachiowood::loadgen;

namespace {

Result<std::vector<SocketAddress>> readDaemons(const cxxopts::ParseResult &flags)
{
    std::vector<SocketAddress> daemons;
    for (const std::string &text : flags["daemons"].as<std::vector<std::string>>()) {
        BOOST_LEAF_AUTO(address, parseAddress(text));
        daemons.push_back(std::move(address));
    }
    return daemons;
}

Result<double> readShare(const cxxopts::ParseResult &flags, const std::string &name)
{
    const auto share = flags[name].as<double>();
    if (!(share >= 0 && share <= 1))
        return makeError(ErrorCode::InvalidArgument, "--" + name + " must be between 0 and 1");
    return share;
}

Result<RunOptions> readOptions(const cxxopts::ParseResult &flags)
{
    RunOptions options;
    WorkloadOptions &workload = options.workload;
    BOOST_LEAF_ASSIGN(options.daemons, readDaemons(flags));
    workload.daemons = options.daemons.size();
    workload.services = flags["services"].as<std::vector<std::string>>();
    workload.rate = flags["rate"].as<double>();
    workload.sessions = flags["sessions"].as<std::size_t>();
    workload.keys = flags["keys"].as<std::size_t>();
    workload.seed = flags["seed"].as<std::uint64_t>();
    BOOST_LEAF_ASSIGN(workload.roam, readShare(flags, "roam"));
    BOOST_LEAF_ASSIGN(workload.readShare, readShare(flags, "read-share"));
    BOOST_LEAF_ASSIGN(workload.maxAgeShare, readShare(flags, "max-age-share"));
    BOOST_LEAF_ASSIGN(workload.nonIdempotentShare, readShare(flags, "non-idempotent-share"));
    BOOST_LEAF_ASSIGN(workload.transactionShare, readShare(flags, "transaction-share"));
    if (!(workload.rate > 0) || workload.sessions == 0 || workload.keys == 0)
        return makeError(ErrorCode::InvalidArgument,
                         "--rate, --sessions and --keys must be greater than 0");
    options.duration = Milliseconds(std::llround(flags["duration-s"].as<double>() * 1000));
    options.deadline = Milliseconds(flags["deadline-ms"].as<unsigned>());
    options.maxAge = Milliseconds(flags["max-age-ms"].as<unsigned>());
    return options;
}

Result<void> run(const cxxopts::ParseResult &flags)
{
    BOOST_LEAF_AUTO(options, readOptions(flags));
    const auto output = flags["output"].as<std::string>();
    if (output != "table" && output != "json")
        return makeError(ErrorCode::InvalidArgument, "--output must be table or json");
    const auto historyFile = flags["history"].as<std::string>();
    const auto dumpFile = flags["dump-final"].as<std::string>();
    if (dumpFile.empty() || !historyFile.empty()) {
        HistoryWriter history(historyFile);
        EventLoop loop;
        Runner runner(loop, options, history);
        runner.start([&loop] { loop.stop(); });
        loop.run();
        if (!history.finish())
            return makeError(ErrorCode::Internal, "cannot write " + historyFile);
        std::cout << (output == "json" ? runner.measures().formatJson(runner.end())
                                       : runner.measures().formatTable(runner.end()));
    }
    if (!dumpFile.empty()) {
        BOOST_LEAF_CHECK(dumpFinal({.daemons = options.daemons,
                                    .services = options.workload.services,
                                    .seed = options.workload.seed,
                                    .keys = options.workload.keys,
                                    .deadline = options.deadline},
                                   dumpFile));
    }
    return {};
}

cxxopts::Options describeFlags()
{
    cxxopts::Options options("loadgen", "Open-loop load generator and history recorder.");
    auto add = options.add_options();
    const auto number = [](const char *value) {
        return cxxopts::value<double>()->default_value(value);
    };
    const auto count = [](const char *value) {
        return cxxopts::value<std::size_t>()->default_value(value);
    };
    const auto milliseconds = [](const char *value) {
        return cxxopts::value<unsigned>()->default_value(value);
    };
    const auto text = [](const char *value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    add("help", "Print the flags");
    add("daemons", "Caller ports: host:port,...", cxxopts::value<std::vector<std::string>>());
    add("services", "Names, separated by commas", cxxopts::value<std::vector<std::string>>());
    add("rate", "Statements or transactions per second", number("100"));
    add("duration-s", "Time in which statements are scheduled", number("10"));
    add("sessions", "Sessions; each runs one statement at a time", count("20"));
    add("roam", "Probability that a statement moves its session to a random daemon", number("0.1"));
    add("read-share", "Share of reads", number("0.8"));
    add("max-age-share", "Share of the reads that state an accepted age, not a token", number("0"));
    add("max-age-ms", "Accepted age of these reads", milliseconds("5000"));
    add("non-idempotent-share", "Share of the writes", number("0"));
    add("transaction-share", "Share of the writes that are transactions", number("0"));
    add("keys", "Keys per service", count("100"));
    add("deadline-ms", "Deadline stated with each request", milliseconds("2000"));
    add("seed", "Seed of the workload; part of the key names and values", count("1"));
    add("history", "File for the history, as JSON lines", text(""));
    add("dump-final", "File for the content of all keys; without --history only this is done",
        text(""));
    add("output", "table or json", text("table"));
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    auto description = describeFlags();
    try {
        const auto flags = description.parse(argc, argv);
        if (flags.count("help") != 0) {
            std::cout << description.help();
            return 0;
        }
        const auto outcome = capture([&] { return run(flags); });
        if (const auto *error = std::get_if<Error>(&outcome)) {
            std::cerr << "loadgen: " << error->message << '\n';
            return 1;
        }
    } catch (const std::exception &error) { // cxxopts reports bad flags by exception
        std::cerr << "loadgen: " << error.what() << '\n';
        return 2;
    }
}
