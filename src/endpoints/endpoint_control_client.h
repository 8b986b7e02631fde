#ifndef PISTACHIOWOOD_ENDPOINTS_ENDPOINT_CONTROL_CLIENT_H
#define PISTACHIOWOOD_ENDPOINTS_ENDPOINT_CONTROL_CLIENT_H

#include "endpoints/endpoint_protocol.h"
#include "net/event_loop.h"

#include <functional>
#include <map>
#include <memory>

namespace pistachiowood {

/// Sends status probes and changes of term and role, on connections apart from statement traffic.
class EndpointControlClient
{
public:
    enum class Failure { Refused, Timeout, Other };
    /// Status after the request, and whether the endpoint accepted it.
    struct Answer
    {
        bool accepted = false;
        EndpointStatus status;
        Milliseconds latency{0};
    };
    using Callback = std::function<void(std::variant<Answer, Failure>)>;

    EndpointControlClient(EventLoop &loop, const Clock &clock);
    ~EndpointControlClient();

    void probe(const SocketAddress &endpoint, Milliseconds timeout, Callback callback);
    void raiseTerm(const SocketAddress &endpoint, Term term, const std::string &promoter,
                   Callback callback);
    void promote(const SocketAddress &endpoint, Term term, const std::string &promoter,
                 Callback callback);
    void follow(const SocketAddress &endpoint, Term term, const EndpointId &primary,
                const SocketAddress &primaryAddress, Callback callback);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
