#include "rpc/control_rpc.h"

#include "rpc/control_wire.h"
#include "rpc/loop_calls.h"
#include "rpc/rpc_host.h"

#include <utility>

namespace pistachiowood {

namespace {

// A message that cannot be delivered within one gossip period is out of date.
constexpr auto deliveryTimeout = 1000 * kj::MILLISECONDS;

class ControlServer final : public wire::Control::Server
{
public:
    ControlServer(EventLoop &loop, ControlHandler &handler, std::function<void(RpcHost::Task)> post)
        : handler_(handler)
        , invoker_(loop, std::move(post))
    {
    }

    kj::Promise<void> gossip(GossipContext context) override
    {
        invoker_.run([this, message = decodeGossip(context.getParams().getMessage())] {
            handler_.handleGossip(message);
        });
        return kj::READY_NOW;
    }

    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override
    {
        return invoker_.call<ConfigurationSnapshot>([this] { return handler_.copyConfiguration(); })
            .then([context](const ConfigurationSnapshot &snapshot) mutable {
                auto builder = context.getResults().initSnapshot();
                builder.setVersion(snapshot.version.value());
                encodeObjects(snapshot.items,
                              builder.initObjects(static_cast<unsigned>(snapshot.items.size())));
            });
    }

    kj::Promise<void> fetchStatuses(FetchStatusesContext context) override
    {
        const ServiceName service(decodeText(context.getParams().getService()));
        return invoker_
            .call<std::vector<StoredObject>>(
                [this, service] { return handler_.copyStatuses(service); })
            .then([context](const std::vector<StoredObject> &statuses) mutable {
                encodeObjects(statuses, context.getResults().initStatuses(
                                            static_cast<unsigned>(statuses.size())));
            });
    }

    kj::Promise<void> announceStatuses(AnnounceStatusesContext context) override
    {
        invoker_.run([this, statuses = decodeObjects(context.getParams().getStatuses())] {
            handler_.handleStatuses(statuses);
        });
        return kj::READY_NOW;
    }

    kj::Promise<void> confirmReachable(ConfirmReachableContext context) override
    {
        const ServiceName service(decodeText(context.getParams().getService()));
        const EndpointId endpoint(decodeText(context.getParams().getEndpoint()));
        return invoker_
            .call<std::optional<bool>>(
                [this, service, endpoint] { return handler_.confirmReachable(service, endpoint); })
            .then([context](std::optional<bool> answer) mutable {
                context.getResults().setKnown(answer.has_value());
                context.getResults().setReachable(answer.value_or(false));
            });
    }

private:
    ControlHandler &handler_;
    LoopInvoker invoker_;
};

} // namespace

struct ControlRpc::Private
{
    // Sends a call without reporting its result; a failure is ignored.
    template <typename Build>
    void sendOneWay(const SocketAddress &peer, Build build)
    {
        host.post([peer, build = std::move(build)](RpcHost::Context &context) {
            auto call = context.connect(peer).then([build](capnp::Capability::Client client) {
                return build(client.castAs<wire::Control>());
            });
            context.run(context.timer()
                            .timeoutAfter(deliveryTimeout, kj::mv(call))
                            .catch_([](kj::Exception &&) {}));
        });
    }

    template <typename T, typename Call>
    void sendAndReceive(const SocketAddress &peer, Milliseconds timeout, Call call,
                        Callback<T> callback)
    {
        callPeer<wire::Control, T>(host, loop, peer, timeout, std::move(call), std::move(callback));
    }

    EventLoop &loop;
    ControlHandler &handler;
    RpcHost host;
};

ControlRpc::ControlRpc(EventLoop &loop, ControlHandler &handler)
    : private_(new Private{loop, handler, {}})
{
}

ControlRpc::~ControlRpc() = default;

Result<void> ControlRpc::listen(const SocketAddress &address)
{
    return private_->host.listen(
        address, ConnectionClass::ControlRpc, [this]() -> capnp::Capability::Client {
            return wire::Control::Client(kj::heap<ControlServer>(private_->loop, private_->handler,
                                                                 private_->host.poster()));
        });
}

std::uint16_t ControlRpc::port() const
{
    return private_->host.port();
}

void ControlRpc::gossip(const SocketAddress &peer, const GossipMessage &message)
{
    private_->sendOneWay(peer, [message](wire::Control::Client client) {
        auto request = client.gossipRequest();
        encodeGossip(message, request.initMessage());
        return request.send().ignoreResult();
    });
}

void ControlRpc::announceStatuses(const SocketAddress &peer,
                                  const std::vector<StoredObject> &statuses)
{
    private_->sendOneWay(peer, [statuses](wire::Control::Client client) {
        auto request = client.announceStatusesRequest();
        encodeObjects(statuses, request.initStatuses(static_cast<unsigned>(statuses.size())));
        return request.send().ignoreResult();
    });
}

void ControlRpc::fetchConfiguration(const SocketAddress &peer, Milliseconds timeout,
                                    Callback<ConfigurationSnapshot> callback)
{
    const auto call = [](wire::Control::Client client) {
        return client.fetchConfigurationRequest().send().then([](auto &&response) {
            const auto snapshot = response.getSnapshot();
            return ConfigurationSnapshot{ResourceVersion(snapshot.getVersion()),
                                         decodeObjects(snapshot.getObjects())};
        });
    };
    private_->sendAndReceive<ConfigurationSnapshot>(peer, timeout, call, std::move(callback));
}

void ControlRpc::fetchStatuses(const SocketAddress &peer, const ServiceName &service,
                               Milliseconds timeout, Callback<std::vector<StoredObject>> callback)
{
    const auto call = [service](wire::Control::Client client) {
        auto request = client.fetchStatusesRequest();
        request.setService(encodeText(service.value()));
        return request.send().then(
            [](auto &&response) { return decodeObjects(response.getStatuses()); });
    };
    private_->sendAndReceive<std::vector<StoredObject>>(peer, timeout, call, std::move(callback));
}

void ControlRpc::confirmReachable(const SocketAddress &peer, const ServiceName &service,
                                  const EndpointId &endpoint, Milliseconds timeout,
                                  Callback<std::optional<bool>> callback)
{
    const auto call = [service, endpoint](wire::Control::Client client) {
        auto request = client.confirmReachableRequest();
        request.setService(encodeText(service.value()));
        request.setEndpoint(encodeText(endpoint.value()));
        return request.send().then([](auto &&response) {
            return response.getKnown() ? std::optional<bool>(response.getReachable())
                                       : std::nullopt;
        });
    };
    private_->sendAndReceive<std::optional<bool>>(peer, timeout, call, std::move(callback));
}

} // namespace pistachiowood
