#include "rpc/rpc_host.h"

#include "base/address.h"
#include "base/log.h"
#include "net/address_overrides.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async.h>
#include <pthread.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pistachiowood {

namespace {

// Connecting to a peer in a partitioned zone must fail early enough for another attempt within the
// caller's deadline.
constexpr auto connectTimeout = 500 * kj::MILLISECONDS;

// Pause after a failed accept, for example while no file descriptor is free.
constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;

// Queues tasks from other threads and wakes the RPC thread.
class Mailbox
{
public:
    using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void push(RpcHost::Task task)
    {
        const std::lock_guard lock(mutex_);
        if (stopped_)
            return;
        tasks_.push_back(std::move(task));
        wake();
    }

    void stop()
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        wake();
    }

    bool isStopped()
    {
        const std::lock_guard lock(mutex_);
        return stopped_;
    }

    // Returns the queued tasks. The fulfiller is called at once when there are any or after stop(),
    // otherwise at the next push. Called in the RPC thread.
    std::vector<RpcHost::Task> takeTasks(Fulfiller waker)
    {
        const std::lock_guard lock(mutex_);
        if (!tasks_.empty() || stopped_)
            waker->fulfill();
        else
            waker_ = std::move(waker);
        return std::exchange(tasks_, {});
    }

private:
    void wake()
    {
        if (waker_) {
            (*waker_)->fulfill();
            waker_.reset();
        }
    }

    std::mutex mutex_;
    std::vector<RpcHost::Task> tasks_;
    std::optional<Fulfiller> waker_;
    bool stopped_ = false;
};

// Counts the bytes that a stream receives and sends, and its writes.
class CountingStream final : public kj::AsyncIoStream
{
public:
    CountingStream(kj::Own<kj::AsyncIoStream> stream, ByteCounter &counter)
        : stream_(kj::mv(stream))
        , counter_(counter)
    {
    }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes,
                                     std::size_t maxBytes) override
    {
        return stream_->tryRead(buffer, minBytes, maxBytes).then([this](std::size_t count) {
            counter_.received += count;
            return count;
        });
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        count(size);
        return stream_->write(buffer, size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        std::size_t size = 0;
        for (const auto &piece : pieces)
            size += piece.size();
        count(size);
        return stream_->write(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override { return stream_->whenWriteDisconnected(); }
    void shutdownWrite() override { stream_->shutdownWrite(); }
    void abortRead() override { stream_->abortRead(); }
    void getsockopt(int level, int option, void *value, kj::uint *length) override
    {
        stream_->getsockopt(level, option, value, length);
    }
    void setsockopt(int level, int option, const void *value, kj::uint length) override
    {
        stream_->setsockopt(level, option, value, length);
    }

private:
    void count(std::size_t size)
    {
        counter_.sent += size;
        ++counter_.messages;
    }

    kj::Own<kj::AsyncIoStream> stream_;
    ByteCounter &counter_;
};

class ThreadContext final : public RpcHost::Context, private kj::TaskSet::ErrorHandler
{
public:
    ThreadContext(kj::AsyncIoContext &io, ByteCounter &counter)
        : io_(io)
        , counter_(counter)
        , tasks_(*this)
    {
    }

    kj::Timer &timer() override { return io_.provider->getTimer(); }
    void run(kj::Promise<void> promise) override { tasks_.add(kj::mv(promise)); }

    kj::Promise<capnp::Capability::Client> connect(const SocketAddress &peer) override
    {
        const std::string key = formatAddress(peer);
        if (const auto found = connections_.find(key); found != connections_.end())
            return found->second->bootstrap.addBranch();
        auto connection =
            kj::heap<Connection>(open(key, formatAddress(applyAddressOverride(peer))).fork());
        auto branch = connection->bootstrap.addBranch();
        connections_.emplace(key, kj::mv(connection));
        return branch;
    }

    void dropConnection(const SocketAddress &peer) override { remove(formatAddress(peer)); }

private:
    struct Connection
    {
        explicit Connection(kj::ForkedPromise<capnp::Capability::Client> promise)
            : bootstrap(kj::mv(promise))
        {
        }

        kj::ForkedPromise<capnp::Capability::Client> bootstrap;
    };

    // Connected stream with the RPC system that uses it.
    struct Peer
    {
        explicit Peer(kj::Own<kj::AsyncIoStream> connected)
            : stream(kj::mv(connected))
            , client(*stream)
        {
        }

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
    };

    kj::Promise<capnp::Capability::Client> open(const std::string &key, const std::string &target)
    {
        auto connecting = io_.provider->getNetwork().parseAddress(target).then(
            [](kj::Own<kj::NetworkAddress> address) {
                return address->connect().attach(kj::mv(address));
            });
        return timer()
            .timeoutAfter(connectTimeout, kj::mv(connecting))
            .then([this, key](kj::Own<kj::AsyncIoStream> stream) -> capnp::Capability::Client {
                auto peer =
                    std::make_shared<Peer>(kj::heap<CountingStream>(kj::mv(stream), counter_));
                peers_[key] = peer;
                run(peer->client.onDisconnect().then([this, key, peer] { removePeer(key, peer); }));
                return peer->client.bootstrap();
            })
            .catch_([this, key](kj::Exception &&failure) -> kj::Promise<capnp::Capability::Client> {
                // Removed later, because the promise that is being resolved still uses the entry.
                run(kj::evalLater([this, key] { remove(key); }));
                return kj::mv(failure);
            });
    }

    void removePeer(const std::string &key, const std::shared_ptr<Peer> &peer)
    {
        if (const auto found = peers_.find(key); found != peers_.end() && found->second == peer)
            remove(key);
    }

    void remove(const std::string &key)
    {
        connections_.erase(key);
        // Destroyed later, because this may run inside one of the peer's own callbacks.
        if (const auto found = peers_.find(key); found != peers_.end()) {
            run(kj::evalLater([peer = found->second] {}));
            peers_.erase(found);
        }
    }

    void taskFailed(kj::Exception &&) override {}

    kj::AsyncIoContext &io_;
    ByteCounter &counter_;
    std::map<std::string, std::shared_ptr<Peer>> peers_;
    std::map<std::string, kj::Own<Connection>> connections_;
    kj::TaskSet tasks_;
};

} // namespace

struct RpcHost::Private
{
    static kj::Promise<void> acceptAll(capnp::TwoPartyServer &server,
                                       kj::ConnectionReceiver &receiver, ByteCounter &counter,
                                       kj::Timer &timer)
    {
        // evalNow() also catches what accept() throws at once.
        return kj::evalNow([&] { return receiver.accept(); })
            .then(
                [&](kj::Own<kj::AsyncIoStream> stream) {
                    server.accept(kj::heap<CountingStream>(kj::mv(stream), counter));
                    return acceptAll(server, receiver, counter, timer);
                },
                [&](kj::Exception &&failure) {
                    logEvent(Event::AcceptFailed, {{"reason", failure.getDescription().cStr()}});
                    return timer.afterDelay(acceptRetryDelay).then([&] {
                        return acceptAll(server, receiver, counter, timer);
                    });
                });
    }

    void runThread(const SocketAddress &address, ConnectionClass connectionClass,
                   const BootstrapFactory &factory)
    {
        // Thread names are limited to 15 characters.
        pthread_setname_np(pthread_self(), connectionClassName(connectionClass).data());
        ByteCounter &counter = byteCounter(connectionClass);
        auto io = kj::setupAsyncIo();
        ThreadContext context(io, counter);
        kj::Own<kj::ConnectionReceiver> receiver;
        try {
            auto local =
                io.provider->getNetwork().parseAddress(formatAddress(address)).wait(io.waitScope);
            receiver = local->listen();
        } catch (const kj::Exception &failure) {
            reportStart(0, failure.getDescription().cStr());
            return;
        }
        capnp::TwoPartyServer server(factory());
        context.run(acceptAll(server, *receiver, counter, io.provider->getTimer()));
        reportStart(receiver->getPort(), "");
        while (!mailbox->isStopped()) {
            auto wakeUp = kj::newPromiseAndCrossThreadFulfiller<void>();
            for (const Task &task : mailbox->takeTasks(kj::mv(wakeUp.fulfiller)))
                task(context);
            wakeUp.promise.wait(io.waitScope);
        }
    }

    void reportStart(unsigned listeningPort, const std::string &failure)
    {
        const std::lock_guard lock(mutex);
        port = static_cast<std::uint16_t>(listeningPort);
        startFailure = failure;
        started = true;
        startedCondition.notify_one();
    }

    std::shared_ptr<Mailbox> mailbox = std::make_shared<Mailbox>();
    std::thread thread;
    std::mutex mutex;
    std::condition_variable startedCondition;
    bool started = false;
    std::uint16_t port = 0;
    std::string startFailure;
};

RpcHost::RpcHost()
    : private_(std::make_unique<Private>())
{
}

RpcHost::~RpcHost()
{
    private_->mailbox->stop();
    if (private_->thread.joinable())
        private_->thread.join();
}

Result<void> RpcHost::listen(const SocketAddress &address, ConnectionClass connectionClass,
                             BootstrapFactory factory)
{
    private_->thread = std::thread(
        [state = private_.get(), address, connectionClass, factory = std::move(factory)] {
            state->runThread(address, connectionClass, factory);
        });
    std::unique_lock lock(private_->mutex);
    private_->startedCondition.wait(lock, [this] { return private_->started; });
    if (!private_->startFailure.empty())
        return makeError(ErrorCode::Unavailable, "cannot listen on " + formatAddress(address) + ": "
                                                     + private_->startFailure);
    return {};
}

std::uint16_t RpcHost::port() const
{
    return private_->port;
}

void RpcHost::post(Task task)
{
    private_->mailbox->push(std::move(task));
}

std::function<void(RpcHost::Task)> RpcHost::poster() const
{
    return [mailbox = private_->mailbox](Task task) { mailbox->push(std::move(task)); };
}

} // namespace pistachiowood
