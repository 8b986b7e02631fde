#include "net/stream.h"

#include "base/log.h"
#include "net/address_overrides.h"
#include "net/sockets.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <sys/socket.h>

#include <array>
#include <cstring>
#include <utility>

namespace pistachiowood {

namespace {

constexpr std::size_t readChunkBytes = 16 * 1024;
// Output memory that a stream keeps while nothing waits.
constexpr std::size_t maxIdleOutputBytes = 32 * 1024;

} // namespace

struct Stream::Private : public ACE_Event_Handler, public std::enable_shared_from_this<Private>
{
    enum class State { Connecting, Open, Closed };

    Private(EventLoop &eventLoop, StreamOptions streamOptions, StreamListener *streamListener,
            ByteCounter *byteCounter)
        : loop(eventLoop)
        , options(streamOptions)
        , listener(streamListener)
        , counter(byteCounter)
    {
    }

    ~Private() override { stream.close(); }

    ACE_HANDLE get_handle() const override { return stream.get_handle(); }

    void startConnect(const SocketAddress &peer)
    {
        const SocketAddress &target = applyAddressOverride(peer);
        ACE_INET_Addr remote;
        if (remote.set(target.port, target.host.c_str(), 1, AF_INET) != 0) {
            postFailure("invalid address");
            return;
        }
        ACE_SOCK_Connector connector;
        ACE_Time_Value zeroTimeout = ACE_Time_Value::zero;
        if (connector.connect(stream, remote, &zeroTimeout) != 0 && errno != EWOULDBLOCK
            && errno != EINPROGRESS) {
            postFailure(std::strerror(errno), errno == ECONNREFUSED);
            return;
        }
        stream.enable(ACE_NONBLOCK);
        loop.reactor()->register_handler(this, CONNECT_MASK);
        connectTimer = loop.startTimer(options.connectTimeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && self->state == State::Connecting)
                self->fail("the connection was not established in time");
        });
    }

    bool startReading()
    {
        stream.enable(ACE_NONBLOCK);
        setStreamOptions(stream, options.peerTimeout);
        state = State::Open;
        return loop.reactor()->register_handler(this, READ_MASK) == 0;
    }

    int handle_input(ACE_HANDLE) override
    {
        handleEvent(&Private::readInput);
        return 0;
    }

    int handle_output(ACE_HANDLE) override
    {
        handleEvent(&Private::writeWaitingOutput);
        return 0;
    }

    // Called by the reactor when the peer closed or reset the connection.
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override
    {
        const auto self = shared_from_this();
        fail("the peer closed the connection");
        return 0;
    }

    // An unexpected error of the listener ends this connection and not the process.
    void handleEvent(void (Private::*handler)())
    {
        const auto self = shared_from_this();
        try {
            if (state == State::Connecting)
                finishConnect();
            else if (state == State::Open)
                (this->*handler)();
        } catch (const std::exception &failure) {
            logEvent(Event::TaskFailed, {{"reason", failure.what()}});
            postFailure("an unexpected error");
        }
    }

    void finishConnect()
    {
        int socketError = 0;
        int size = sizeof socketError;
        stream.get_option(SOL_SOCKET, SO_ERROR, &socketError, &size);
        loop.reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        loop.cancelTimer(connectTimer);
        if (socketError != 0) {
            fail(std::strerror(socketError), socketError == ECONNREFUSED);
            return;
        }
        if (!startReading()) {
            fail("the connection could not be registered");
            return;
        }
        if (listener)
            listener->handleStreamOpened();
        if (state == State::Open)
            writeOutput();
    }

    void readInput()
    {
        std::array<char, readChunkBytes> chunk;
        const ssize_t count = stream.recv(chunk.data(), chunk.size());
        if (count < 0 && (errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (count <= 0) {
            fail(count == 0 ? "the peer closed the connection" : std::strerror(errno));
            return;
        }
        if (counter)
            counter->received += static_cast<std::uint64_t>(count);
        input.append(chunk.data(), static_cast<std::size_t>(count));
        if (listener)
            listener->handleStreamInput(input);
    }

    void send(std::string_view bytes)
    {
        if (state == State::Closed)
            return;
        output.append(bytes);
        if (unsentBytes() > options.maxOutputBytes) {
            postFailure("the peer does not read");
            return;
        }
        if (state == State::Open && !writing)
            writeOutput();
    }

    void writeWaitingOutput()
    {
        writeOutput();
        if (state == State::Open && listener)
            listener->handleStreamOutputSent();
    }

    void writeOutput()
    {
        while (unsentBytes() > 0) {
            const ssize_t count = stream.send(output.data() + outputSent, unsentBytes());
            if (count > 0) {
                sentBytes += static_cast<std::uint64_t>(count);
                if (counter) {
                    counter->sent += static_cast<std::uint64_t>(count);
                    ++counter->messages;
                }
                outputSent += static_cast<std::size_t>(count);
            } else if (errno == EWOULDBLOCK || errno == EINTR) {
                discardSentOutput();
                if (!std::exchange(writing, true))
                    loop.reactor()->register_handler(this, WRITE_MASK);
                return;
            } else {
                postFailure(std::strerror(errno));
                return;
            }
        }
        discardSentOutput();
        if (std::exchange(writing, false))
            loop.reactor()->remove_handler(this, WRITE_MASK | DONT_CALL);
        if (closing && listener)
            postFailure("closed after the output");
        else if (closing)
            close();
    }

    std::size_t unsentBytes() const { return output.size() - outputSent; }

    // Moves the rest only when more was sent than is left, so that a large output is moved a
    // limited number of times; returns the memory of a large output.
    void discardSentOutput()
    {
        if (outputSent < unsentBytes())
            return;
        output.erase(0, outputSent);
        outputSent = 0;
        if (output.capacity() > maxIdleOutputBytes && output.size() < output.capacity() / 2)
            output.shrink_to_fit();
    }

    void pauseReading()
    {
        if (state == State::Open && !std::exchange(paused, true))
            loop.reactor()->remove_handler(this, READ_MASK | DONT_CALL);
    }

    void resumeReading()
    {
        if (state != State::Open || !std::exchange(paused, false))
            return;
        if (loop.reactor()->register_handler(this, READ_MASK) != 0) {
            postFailure("the connection could not be registered");
            return;
        }
        if (!input.empty())
            loop.post([weak = weak_from_this()] {
                const auto self = weak.lock();
                if (self && self->state == State::Open && self->listener && !self->paused)
                    self->listener->handleStreamInput(self->input);
            });
    }

    void close()
    {
        if (state == State::Closed)
            return;
        state = State::Closed;
        loop.cancelTimer(connectTimer);
        if (stream.get_handle() != ACE_INVALID_HANDLE) {
            loop.reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
            stream.close();
        }
        // The reactor may still hold a pointer to this handler until the current event ends.
        loop.post([self = shared_from_this()] {});
    }

    void fail(const std::string &reason, bool refused = false)
    {
        if (state == State::Closed)
            return;
        close();
        if (auto *receiver = std::exchange(listener, nullptr))
            receiver->handleStreamClosed({refused, reason});
    }

    // Reports a failure from the event loop, after the owner's current call into the stream
    // returns.
    void postFailure(const std::string &reason, bool refused = false)
    {
        loop.post([weak = weak_from_this(), reason, refused] {
            if (const auto self = weak.lock())
                self->fail(reason, refused);
        });
    }

    EventLoop &loop;
    StreamOptions options;
    StreamListener *listener;
    ByteCounter *counter;
    ACE_SOCK_Stream stream;
    State state = State::Connecting;
    bool writing = false;
    bool closing = false;
    bool paused = false;
    TimerId connectTimer = 0;
    std::uint64_t sentBytes = 0;
    std::string input;
    std::string output;
    std::size_t outputSent = 0; ///< bytes at the front of the output that were sent
};

Stream::Stream(EventLoop &loop, const SocketAddress &peer, StreamOptions options,
               StreamListener &listener, ByteCounter *counter)
    : private_(std::make_shared<Private>(loop, options, &listener, counter))
{
    private_->startConnect(peer);
}

Stream::Stream(std::shared_ptr<Private> accepted)
    : private_(std::move(accepted))
{
}

Stream::~Stream()
{
    private_->listener = nullptr;
    if (!private_->closing || private_->unsentBytes() == 0) {
        private_->close();
    } else if (private_->state == Private::State::Open) {
        // The timer keeps this object alive while the reactor sends the rest of the output.
        private_->loop.startTimer(private_->options.peerTimeout,
                                  [self = private_] { self->close(); });
    }
}

void Stream::send(std::string_view bytes)
{
    private_->send(bytes);
}

void Stream::closeAfterOutput()
{
    private_->listener = nullptr;
    private_->closing = true;
    if (private_->unsentBytes() == 0)
        private_->close();
}

void Stream::finishOutput()
{
    private_->closing = true;
    private_->pauseReading();
    const auto timeout =
        private_->unsentBytes() == 0 ? Milliseconds(0) : private_->options.peerTimeout;
    private_->loop.startTimer(timeout, [weak = std::weak_ptr(private_)] {
        if (const auto stream = weak.lock())
            stream->fail("the output was sent, or the peer does not read");
    });
}

void Stream::abort()
{
    private_->listener = nullptr;
    private_->closing = false;
    private_->close();
}

void Stream::pauseReading()
{
    private_->pauseReading();
}

void Stream::resumeReading()
{
    private_->resumeReading();
}

std::size_t Stream::unsentBytes() const
{
    return private_->unsentBytes();
}

std::size_t Stream::heldBytes() const
{
    return private_->input.capacity() + private_->output.capacity();
}

std::uint64_t Stream::sentBytes() const
{
    return private_->sentBytes;
}

bool Stream::hasUnreadInput() const
{
    char next = 0;
    return isOpen() && private_->stream.recv(&next, sizeof next, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Stream::isOpen() const
{
    return private_->state == Private::State::Open;
}

struct StreamServer::Private : public ACE_Event_Handler, public StreamServer::PendingConnection
{
    Private(EventLoop &eventLoop, StreamOptions streamOptions, AcceptHandler acceptHandler,
            ByteCounter *byteCounter)
        : loop(eventLoop)
        , options(streamOptions)
        , handler(std::move(acceptHandler))
        , counter(byteCounter)
        , acceptRetry(eventLoop)
    {
    }

    ACE_HANDLE get_handle() const override { return acceptor.get_handle(); }

    int handle_input(ACE_HANDLE) override
    {
        ACE_SOCK_Stream stream;
        if (acceptor.accept(stream) != 0) {
            acceptRetry.handleFailure(*this, errno);
        } else {
            accepted = stream;
            handler(*this);
            if (accepted.get_handle() != ACE_INVALID_HANDLE)
                accepted.close(); // the handler did not accept it
        }
        return 0;
    }

    std::unique_ptr<Stream> accept(StreamListener &listener) override
    {
        auto connection = std::make_shared<Stream::Private>(loop, options, &listener, counter);
        connection->stream = std::exchange(accepted, ACE_SOCK_Stream());
        if (!connection->startReading())
            return nullptr;
        return std::unique_ptr<Stream>(new Stream(std::move(connection)));
    }

    EventLoop &loop;
    StreamOptions options;
    AcceptHandler handler;
    ByteCounter *counter;
    ACE_SOCK_Acceptor acceptor;
    ACE_SOCK_Stream accepted;
    AcceptRetry acceptRetry;
    std::uint16_t port = 0;
    bool listening = false;
};

StreamServer::StreamServer(EventLoop &loop, StreamOptions options, AcceptHandler handler,
                           ByteCounter *counter)
    : private_(std::make_unique<Private>(loop, options, std::move(handler), counter))
{
}

StreamServer::~StreamServer()
{
    stopListening();
}

Result<void> StreamServer::listen(const SocketAddress &address)
{
    BOOST_LEAF_ASSIGN(private_->port, openAcceptor(private_->acceptor, address));
    private_->loop.reactor()->register_handler(private_.get(), ACE_Event_Handler::ACCEPT_MASK);
    private_->listening = true;
    return {};
}

std::uint16_t StreamServer::port() const
{
    return private_->port;
}

void StreamServer::stopListening()
{
    if (!std::exchange(private_->listening, false))
        return;
    private_->acceptRetry.cancel();
    private_->loop.reactor()->remove_handler(private_.get(), ACE_Event_Handler::ACCEPT_MASK
                                                                 | ACE_Event_Handler::DONT_CALL);
    private_->acceptor.close();
}

} // namespace pistachiowood
