#ifndef PISTACHIOWOOD_RPC_LOOP_CALLS_H
#define PISTACHIOWOOD_RPC_LOOP_CALLS_H

#include "net/event_loop.h"
#include "rpc/rpc_host.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>

namespace pistachiowood {

/// Runs functions in the loop's thread and returns their results to the RPC thread.
class LoopInvoker
{
public:
    LoopInvoker(EventLoop &loop, std::function<void(RpcHost::Task)> post)
        : loop_(loop)
        , post_(std::move(post))
    {
    }

    template <typename T>
    kj::Promise<T> call(std::function<T()> function)
    {
        auto pair = kj::newPromiseAndFulfiller<T>();
        // The fulfiller must stay in the RPC thread; a result that arrives after the host has
        // stopped is dropped.
        const std::uint64_t id = ++lastCall_;
        auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(kj::mv(pair.fulfiller));
        finishers_.emplace(id, [fulfiller](void *result) {
            (*fulfiller)->fulfill(kj::mv(*static_cast<T *>(result)));
        });
        loop_.post([this, id, post = post_, function = std::move(function)] {
            auto result = std::make_shared<T>(function());
            post([this, id, result](RpcHost::Context &) {
                if (auto node = finishers_.extract(id))
                    node.mapped()(result.get());
            });
        });
        return kj::mv(pair.promise);
    }

    void run(std::function<void()> function) { loop_.post(std::move(function)); }

private:
    EventLoop &loop_;
    std::function<void(RpcHost::Task)> post_;
    std::uint64_t lastCall_ = 0;
    std::map<std::uint64_t, std::function<void(void *)>> finishers_;
};

/// Sends a call and passes its decoded answer, or Unavailable, to the callback in the loop's
/// thread.
template <typename Interface, typename T, typename Call, typename Callback>
void callPeer(RpcHost &host, EventLoop &loop, const SocketAddress &peer, Milliseconds timeout,
              Call call, Callback callback)
{
    const auto finish = [eventLoop = &loop,
                         callback = std::move(callback)](std::variant<T, Error> outcome) {
        eventLoop->post([callback, outcome = std::move(outcome)] { callback(outcome); });
    };
    host.post([peer, timeout, call = std::move(call), finish](RpcHost::Context &context) {
        auto answer = context.connect(peer).then(
            [call](capnp::Capability::Client client) { return call(client.castAs<Interface>()); });
        const auto limit = timeout.count() * kj::MILLISECONDS;
        context.run(
            context.timer()
                .timeoutAfter(limit, kj::mv(answer))
                .then([finish](T value) { finish(std::move(value)); },
                      [finish](kj::Exception &&failure) {
                          finish(Error{ErrorCode::Unavailable, failure.getDescription().cStr()});
                      }));
    });
}

} // namespace pistachiowood

#endif
