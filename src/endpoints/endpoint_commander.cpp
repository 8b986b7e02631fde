#include "endpoints/endpoint_commander.h"

#include "net/http.h"

#include <utility>
#include <vector>

namespace pistachiowood {

namespace {

constexpr Milliseconds commandTimeout{1000};

EndpointCommander::Failure failureOf(const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        if (failure->kind == HttpFailure::Kind::Refused)
            return EndpointCommander::Failure::Refused;
        if (failure->kind == HttpFailure::Kind::Timeout)
            return EndpointCommander::Failure::Timeout;
    }
    return EndpointCommander::Failure::Other;
}

} // namespace

struct EndpointCommander::Private
{
    using Connection = std::shared_ptr<HttpConnection>;

    Private(EventLoop &eventLoop, const Clock &steadyClock)
        : loop(eventLoop)
        , clock(steadyClock)
    {
    }

    // Keeps one idle connection per endpoint, so that a probe costs no connection set-up.
    Connection takeConnection(const SocketAddress &endpoint)
    {
        auto &idle = idleConnections[endpoint];
        if (idle && idle->isOpen())
            return std::exchange(idle, nullptr);
        return std::make_shared<HttpConnection>(loop, endpoint,
                                                &byteCounter(ConnectionClass::EndpointControl));
    }

    void send(const SocketAddress &endpoint, HttpRequest request, Milliseconds timeout,
              bool isProbe, Callback callback)
    {
        const std::uint64_t id = ++lastRequest;
        Connection connection = takeConnection(endpoint);
        running.emplace(id, connection);
        connection->send(std::move(request), timeout,
                         [this, id, endpoint, isProbe, startedAt = clock.now(),
                          callback = std::move(callback)](const HttpOutcome &outcome) {
                             finish(id, endpoint);
                             callback(decode(outcome, isProbe, startedAt));
                         });
    }

    void finish(std::uint64_t id, const SocketAddress &endpoint)
    {
        auto node = running.extract(id);
        auto &idle = idleConnections[endpoint];
        if (!idle && node.mapped()->isOpen())
            idle = node.mapped();
        else
            loop.post([closed = node.mapped()] {}); // deferred: this runs in its own callback
    }

    std::variant<Answer, Failure> decode(const HttpOutcome &outcome, bool isProbe,
                                         TimePoint startedAt) const
    {
        Answer answer;
        answer.latency = std::chrono::duration_cast<Milliseconds>(clock.now() - startedAt);
        const auto *response = std::get_if<HttpResponse>(&outcome);
        if (!response)
            return failureOf(outcome);
        const auto decoded = capture([&] { return decodeGrant(outcome); });
        const auto *grant = std::get_if<GrantAnswer>(&decoded);
        if (!grant)
            return Failure::Other;
        answer.status = grant->status;
        answer.accepted = response->status == 200 && (isProbe || grant->granted);
        return answer;
    }

    EventLoop &loop;
    const Clock &clock;
    std::uint64_t lastRequest = 0;
    std::map<std::uint64_t, Connection> running;
    std::map<SocketAddress, Connection> idleConnections;
};

EndpointCommander::EndpointCommander(EventLoop &loop, const Clock &clock)
    : private_(std::make_unique<Private>(loop, clock))
{
}

EndpointCommander::~EndpointCommander() = default;

void EndpointCommander::probe(const SocketAddress &endpoint, Milliseconds timeout,
                              Callback callback)
{
    private_->send(endpoint, encodeStatusProbe(), timeout, true, std::move(callback));
}

void EndpointCommander::raiseTerm(const SocketAddress &endpoint, Term term,
                                  const std::string &promoter, Callback callback)
{
    private_->send(endpoint, encodeRaiseTerm(term, promoter), commandTimeout, false,
                   std::move(callback));
}

void EndpointCommander::promote(const SocketAddress &endpoint, Term term,
                                const std::string &promoter, Callback callback)
{
    private_->send(endpoint, encodePromote(term, promoter), commandTimeout, true,
                   std::move(callback));
}

void EndpointCommander::follow(const SocketAddress &endpoint, Term term, const EndpointId &primary,
                               const SocketAddress &primaryAddress, Callback callback)
{
    private_->send(endpoint, encodeFollow(term, primary, primaryAddress), commandTimeout, true,
                   std::move(callback));
}

} // namespace pistachiowood
