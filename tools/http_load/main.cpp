#include "base/settings.h"
#include "net/event_loop.h"
#include "net/http.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace pistachiowood;

namespace {

constexpr Milliseconds requestTimeout{5000};

/// Closed loop: each connection sends the next request when it has the answer to the last one.
class Load
{
public:
    Load(EventLoop &loop, const SocketAddress &address, HttpRequest request, std::size_t count)
        : loop_(loop)
        , request_(std::move(request))
    {
        for (std::size_t i = 0; i < count; ++i)
            connections_.push_back(std::make_unique<HttpConnection>(loop, address));
    }

    void start()
    {
        for (std::size_t i = 0; i < connections_.size(); ++i)
            send(i);
    }

    void startMeasuring()
    {
        latencies_.clear();
        failures_ = 0;
        measureStart_ = clock_.now();
    }

    void print() const
    {
        auto sorted = latencies_;
        std::sort(sorted.begin(), sorted.end());
        const auto at = [&](std::size_t percent) {
            return sorted.empty() ? 0.0 : sorted[(sorted.size() - 1) * percent / 100] / 1000.0;
        };
        const std::chrono::duration<double> time = clock_.now() - measureStart_;
        std::cout << boost::json::serialize(
            boost::json::object{{"requests", sorted.size()},
                                {"failures", failures_},
                                {"per_second", static_cast<double>(sorted.size()) / time.count()},
                                {"p50_ms", at(50)},
                                {"p99_ms", at(99)}})
                  << std::endl;
    }

private:
    void send(std::size_t index)
    {
        connections_[index]->send(
            request_, requestTimeout,
            [this, index, startedAt = clock_.now()](const HttpOutcome &outcome) {
                const auto *response = std::get_if<HttpResponse>(&outcome);
                if (response && response->status == 200)
                    latencies_.push_back(
                        std::chrono::duration<double, std::micro>(clock_.now() - startedAt)
                            .count());
                else
                    ++failures_;
                loop_.post([this, index] { send(index); });
            });
    }

    EventLoop &loop_;
    SteadyClock clock_;
    HttpRequest request_;
    std::vector<std::unique_ptr<HttpConnection>> connections_;
    std::vector<double> latencies_; ///< microseconds
    std::size_t failures_ = 0;
    TimePoint measureStart_;
};

/// Opens connections one after another, prints "ready" and keeps them open until it is ended.
class IdleConnections
{
public:
    IdleConnections(EventLoop &loop, SocketAddress address, std::size_t count)
        : loop_(loop)
        , address_(std::move(address))
        , count_(count)
    {
    }

    void openNext()
    {
        if (connections_.size() == count_) {
            std::cout << "ready" << std::endl;
            return;
        }
        connections_.push_back(std::make_unique<HttpConnection>(loop_, address_));
        // One request each, so that the server holds what a connection holds after use.
        connections_.back()->send({"GET", "/healthz"}, requestTimeout,
                                  [this](const HttpOutcome &outcome) {
                                      if (!std::holds_alternative<HttpResponse>(outcome)) {
                                          std::cout << "failed" << std::endl;
                                          return;
                                      }
                                      loop_.post([this] { openNext(); });
                                  });
    }

private:
    EventLoop &loop_;
    SocketAddress address_;
    std::size_t count_;
    std::vector<std::unique_ptr<HttpConnection>> connections_;
};

int runLoad(const cxxopts::ParseResult &flags)
{
    const auto parsed = capture([&] { return parseAddress(flags["target"].as<std::string>()); });
    if (const auto *error = std::get_if<Error>(&parsed)) {
        std::cerr << "http_load: " << error->message << '\n';
        return 1;
    }
    const auto &target = std::get<SocketAddress>(parsed);
    EventLoop loop;
    const auto count = flags["connections"].as<std::size_t>();
    IdleConnections idle(loop, target, count);
    if (flags.count("idle") != 0) {
        idle.openNext();
        loop.run();
        return 0;
    }
    HttpRequest request{flags["method"].as<std::string>(), flags["path"].as<std::string>(),
                        flags["body"].as<std::string>()};
    Load load(loop, target, std::move(request), count);
    load.start();
    const Milliseconds warmUp(flags["warm-up-ms"].as<std::int64_t>());
    loop.startTimer(warmUp, [&] { load.startMeasuring(); });
    loop.startTimer(warmUp + Milliseconds(flags["duration-ms"].as<std::int64_t>()), [&] {
        load.print();
        loop.stop();
    });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("http_load", "Closed-loop HTTP load on one address, for benchmarks.");
    auto add = options.add_options();
    add("help", "Print the flags");
    add("target", "Address, host:port", cxxopts::value<std::string>());
    add("method", "Method of each request", cxxopts::value<std::string>()->default_value("POST"));
    add("path", "Target of each request", cxxopts::value<std::string>()->default_value("/healthz"));
    add("body", "Body of each request", cxxopts::value<std::string>()->default_value(""));
    add("connections", "Connections; each has one request in flight",
        cxxopts::value<std::size_t>()->default_value("1"));
    add("warm-up-ms", "Time before the measurement",
        cxxopts::value<std::int64_t>()->default_value("300"));
    add("duration-ms", "Time of the measurement",
        cxxopts::value<std::int64_t>()->default_value("2000"));
    add("idle", "Only open the connections, print \"ready\" and keep them open");
    try {
        const auto flags = options.parse(argc, argv);
        if (flags.count("help") != 0 || flags.count("target") == 0) {
            std::cout << options.help() << std::endl;
            return flags.count("help") != 0 ? 0 : 1;
        }
        return runLoad(flags);
    } catch (const cxxopts::exceptions::exception &failure) {
        std::cerr << "http_load: " << failure.what() << '\n';
        return 1;
    }
}
