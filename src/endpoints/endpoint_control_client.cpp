#include "endpoints/endpoint_control_client.h"

#include "net/http.h"

#include <utility>
#include <vector>

namespace pistachiowood {

namespace {

constexpr Milliseconds controlRequestTimeout{1000};

EndpointControlClient::Failure failureOf(const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        if (failure->kind == HttpFailure::Kind::Refused)
            return EndpointControlClient::Failure::Refused;
        if (failure->kind == HttpFailure::Kind::Timeout)
            return EndpointControlClient::Failure::Timeout;
    }
    return EndpointControlClient::Failure::Other;
}

} // namespace

struct EndpointControlClient::Private
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

    // With acceptedByStatus, HTTP status 200 alone means accepted; otherwise the answer has to be
    // granted as well.
    void send(const SocketAddress &endpoint, HttpRequest request, Milliseconds timeout,
              bool acceptedByStatus, Callback callback)
    {
        const std::uint64_t id = ++lastRequest;
        Connection connection = takeConnection(endpoint);
        pendingRequests.emplace(id, connection);
        connection->send(std::move(request), timeout,
                         [this, id, endpoint, acceptedByStatus, startedAt = clock.now(),
                          callback = std::move(callback)](const HttpOutcome &outcome) {
                             finish(id, endpoint);
                             callback(decode(outcome, acceptedByStatus, startedAt));
                         });
    }

    void finish(std::uint64_t id, const SocketAddress &endpoint)
    {
        auto node = pendingRequests.extract(id);
        auto &idle = idleConnections[endpoint];
        if (!idle && node.mapped()->isOpen())
            idle = node.mapped();
        else
            loop.post([closed = node.mapped()] {}); // deferred: this runs in its own callback
    }

    std::variant<Answer, Failure> decode(const HttpOutcome &outcome, bool acceptedByStatus,
                                         TimePoint startedAt) const
    {
        Answer answer;
        answer.latency = std::chrono::duration_cast<Milliseconds>(clock.now() - startedAt);
        const auto *response = std::get_if<HttpResponse>(&outcome);
        if (!response)
            return failureOf(outcome);
        const auto decoded = capture([&] { return decodeControlAnswer(outcome); });
        const auto *controlAnswer = std::get_if<ControlAnswer>(&decoded);
        if (!controlAnswer)
            return Failure::Other;
        answer.status = controlAnswer->status;
        answer.accepted = response->status == 200 && (acceptedByStatus || controlAnswer->granted);
        return answer;
    }

    EventLoop &loop;
    const Clock &clock;
    std::uint64_t lastRequest = 0;
    std::map<std::uint64_t, Connection> pendingRequests;
    std::map<SocketAddress, Connection> idleConnections;
};

EndpointControlClient::EndpointControlClient(EventLoop &loop, const Clock &clock)
    : private_(std::make_unique<Private>(loop, clock))
{
}

EndpointControlClient::~EndpointControlClient() = default;

void EndpointControlClient::probe(const SocketAddress &endpoint, Milliseconds timeout,
                                  Callback callback)
{
    private_->send(endpoint, encodeStatusProbe(), timeout, true, std::move(callback));
}

void EndpointControlClient::raiseTerm(const SocketAddress &endpoint, Term term,
                                      const std::string &promoter, Callback callback)
{
    private_->send(endpoint, encodeRaiseTerm(term, promoter), controlRequestTimeout, false,
                   std::move(callback));
}

void EndpointControlClient::promote(const SocketAddress &endpoint, Term term,
                                    const std::string &promoter, Callback callback)
{
    private_->send(endpoint, encodePromote(term, promoter), controlRequestTimeout, true,
                   std::move(callback));
}

void EndpointControlClient::follow(const SocketAddress &endpoint, Term term,
                                   const EndpointId &primary, const SocketAddress &primaryAddress,
                                   Callback callback)
{
    private_->send(endpoint, encodeFollow(term, primary, primaryAddress), controlRequestTimeout,
                   true, std::move(callback));
}

} // namespace pistachiowood
