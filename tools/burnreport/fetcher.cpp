#include "burnreport/fetcher.h"

#include "base/settings.h"
#include "burn/snapshot_codec.h"
#include "net/event_loop.h"
#include "net/http.h"

#include <deque>
#include <functional>
#include <memory>

namespace pistachiowood::burnreport {

namespace {

/// Requests in flight; bounds the memory for responses, which may reach 32 MiB each.
constexpr std::size_t maxParallelFetches = 16;

DaemonResult toResult(const SocketAddress &address, const HttpOutcome &outcome)
{
    const std::string name = formatAddress(address);
    if (const auto *failure = std::get_if<HttpFailure>(&outcome))
        return {name, Error{ErrorCode::Unavailable, failure->message}};
    const auto &response = std::get<HttpResponse>(outcome);
    if (response.status != 200)
        return {name,
                Error{ErrorCode::Unavailable, "HTTP status " + std::to_string(response.status)}};
    auto decoded = capture([&] { return decodeSnapshot(response.body); });
    if (const auto *error = std::get_if<Error>(&decoded))
        return {name, *error};
    return {name, std::move(std::get<MetricsSnapshot>(decoded))};
}

} // namespace

std::vector<DaemonResult> fetchSnapshots(const FetchOptions &options)
{
    std::vector<DaemonResult> results(options.daemons.size(), {"", Error{}});
    if (results.empty())
        return results;
    EventLoop loop;
    std::vector<std::unique_ptr<HttpConnection>> connections(options.daemons.size());
    std::size_t started = 0;
    std::size_t finished = 0;
    std::function<void()> startNext = [&] {
        if (started == options.daemons.size())
            return;
        const std::size_t index = started++;
        const SocketAddress &address = options.daemons[index];
        connections[index] = std::make_unique<HttpConnection>(loop, address);
        HttpRequest request;
        request.target = "/v1/burn/local";
        request.bearer = options.token;
        connections[index]->send(std::move(request), options.timeout,
                                 [&, index](const HttpOutcome &outcome) {
                                     results[index] = toResult(options.daemons[index], outcome);
                                     loop.post(startNext);
                                     if (++finished == results.size())
                                         loop.stop();
                                 });
    };
    for (std::size_t i = 0; i < maxParallelFetches; ++i)
        startNext();
    loop.run();
    return results;
}

int exitCodeOf(const BurnReport &report)
{
    if (report.worstAlarm() != Alarm::None)
        return 1;
    return report.isComplete() ? 0 : 3;
}

} // namespace pistachiowood::burnreport
