#include "net/address_overrides.h"
#include "net/http_codec.h"
#include "net/socket_options.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <sys/socket.h>

#include <array>
#include <cstring>

namespace pistachiowood {

namespace {

constexpr std::size_t readChunkBytes = 64 * 1024;
// A peer that is gone without a reset is noticed after this time, also while a long request waits.
constexpr Milliseconds peerTimeout{3000};

} // namespace

struct HttpConnection::Private : public ACE_Event_Handler,
                                 public std::enable_shared_from_this<Private>
{
    enum class State { Closed, Connecting, Open };

    Private(EventLoop &eventLoop, SocketAddress peer, ByteCounter *byteCounter)
        : loop(eventLoop)
        , address(std::move(peer))
        , counter(byteCounter)
    {
    }

    ~Private() override { stream.close(); }

    ACE_HANDLE get_handle() const override { return stream.get_handle(); }

    void startConnect()
    {
        const SocketAddress &target = overriddenAddress(address);
        ACE_INET_Addr remote;
        if (remote.set(target.port, target.host.c_str(), 1, AF_INET) != 0) {
            failLater(HttpFailure::Kind::ConnectFailed, "invalid address " + address.host);
            return;
        }
        state = State::Connecting;
        ACE_SOCK_Connector connector;
        ACE_Time_Value immediately = ACE_Time_Value::zero;
        if (connector.connect(stream, remote, &immediately) == 0) {
            handleConnected();
            return;
        }
        if (errno != EWOULDBLOCK && errno != EINPROGRESS) {
            const auto kind = errno == ECONNREFUSED ? HttpFailure::Kind::Refused
                                                    : HttpFailure::Kind::ConnectFailed;
            failLater(kind, std::strerror(errno));
            return;
        }
        loop.reactor()->register_handler(this, CONNECT_MASK);
    }

    void handleConnected()
    {
        stream.enable(ACE_NONBLOCK);
        setStreamOptions(stream, peerTimeout);
        state = State::Open;
        input.clear();
        parser.reset();
        loop.reactor()->register_handler(this, READ_MASK);
        if (auto connected = std::exchange(connectCallback, nullptr)) {
            stopTimeout();
            connected(std::nullopt);
        } else {
            writeOutput();
        }
    }

    int handle_output(ACE_HANDLE) override
    {
        const auto self = shared_from_this();
        if (state == State::Connecting)
            finishConnect();
        else if (state == State::Open)
            writeOutput();
        return 0;
    }

    int handle_input(ACE_HANDLE) override
    {
        const auto self = shared_from_this();
        if (state == State::Connecting)
            finishConnect();
        else if (state == State::Open)
            readInput();
        return 0;
    }

    // Called by the reactor when the peer hung up.
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override
    {
        const auto self = shared_from_this();
        fail(HttpFailure::Kind::ConnectionLost, "the peer closed the connection");
        return 0;
    }

    void finishConnect()
    {
        int socketError = 0;
        int size = sizeof socketError;
        stream.get_option(SOL_SOCKET, SO_ERROR, &socketError, &size);
        loop.reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        if (socketError == 0) {
            handleConnected();
            return;
        }
        const auto kind = socketError == ECONNREFUSED ? HttpFailure::Kind::Refused
                                                      : HttpFailure::Kind::ConnectFailed;
        fail(kind, std::strerror(socketError));
    }

    void writeOutput()
    {
        while (!output.empty()) {
            const ssize_t count = stream.send(output.data(), output.size());
            if (count > 0) {
                requestSent = true;
                if (counter) {
                    counter->sent += static_cast<std::uint64_t>(count);
                    ++counter->messages;
                }
                output.erase(0, static_cast<std::size_t>(count));
            } else if (errno == EWOULDBLOCK) {
                loop.reactor()->register_handler(this, WRITE_MASK);
                return;
            } else {
                fail(HttpFailure::Kind::ConnectionLost, std::strerror(errno));
                return;
            }
        }
        loop.reactor()->remove_handler(this, WRITE_MASK | DONT_CALL);
    }

    void readInput()
    {
        std::array<char, readChunkBytes> chunk;
        const ssize_t count = stream.recv(chunk.data(), chunk.size());
        if (count < 0 && errno == EWOULDBLOCK)
            return;
        if (count <= 0) {
            fail(HttpFailure::Kind::ConnectionLost, "the peer closed the connection");
            return;
        }
        if (!callback) {
            // Bytes without a request are a late answer; the connection cannot be trusted any more.
            fail(HttpFailure::Kind::BadResponse, "unexpected bytes from the peer");
            return;
        }
        if (counter)
            counter->received += static_cast<std::uint64_t>(count);
        input.append(chunk.data(), static_cast<std::size_t>(count));
        handleResponseBytes();
    }

    void handleResponseBytes()
    {
        const ParseState parseState = parser.parse(input);
        if (parseState == ParseState::NeedMore)
            return;
        if (parseState != ParseState::Complete || !input.empty()) {
            fail(HttpFailure::Kind::BadResponse, "the peer sent an invalid response");
            return;
        }
        const bool keepAlive = parser.keepAlive();
        HttpResponse response = parser.takeResponse();
        stopTimeout();
        auto done = std::exchange(callback, nullptr);
        if (!keepAlive)
            closeStream();
        done(std::move(response));
    }

    void fail(HttpFailure::Kind kind, const std::string &message)
    {
        const HttpFailure failure{kind, requestSent, message};
        stopTimeout();
        closeStream();
        auto requestCallback = std::exchange(callback, nullptr);
        auto openCallback = std::exchange(connectCallback, nullptr);
        if (openCallback)
            openCallback(failure);
        if (requestCallback)
            requestCallback(failure);
        else if (!openCallback && closeHandler)
            loop.post([handler = closeHandler] { handler(); });
    }

    void failLater(HttpFailure::Kind kind, const std::string &message)
    {
        state = State::Connecting;
        loop.post([weak = weak_from_this(), kind, message] {
            if (const auto self = weak.lock(); self && self->state == State::Connecting)
                self->fail(kind, message);
        });
    }

    void startTimeout(Milliseconds timeout)
    {
        stopTimeout();
        timer = loop.startTimer(timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->fail(HttpFailure::Kind::Timeout, "the request timed out");
        });
    }

    void stopTimeout() { loop.cancelTimer(std::exchange(timer, 0)); }

    void closeStream()
    {
        if (stream.get_handle() != ACE_INVALID_HANDLE) {
            loop.reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
            stream.close();
        }
        state = State::Closed;
        output.clear();
        input.clear();
        parser.reset();
        // The reactor may still hold a pointer to this handler until the current event ends.
        loop.post([self = shared_from_this()] {});
    }

    EventLoop &loop;
    SocketAddress address;
    ByteCounter *counter;
    ACE_SOCK_Stream stream;
    State state = State::Closed;
    HttpResponseParser parser;
    std::string input;
    std::string output;
    Callback callback;
    ConnectCallback connectCallback;
    std::function<void()> closeHandler;
    bool requestSent = false;
    TimerId timer = 0;
};

HttpConnection::HttpConnection(EventLoop &loop, SocketAddress address, ByteCounter *counter)
    : private_(std::make_shared<Private>(loop, std::move(address), counter))
{
}

HttpConnection::~HttpConnection()
{
    close();
}

void HttpConnection::connect(Milliseconds timeout, ConnectCallback callback)
{
    private_->requestSent = false;
    private_->connectCallback = std::move(callback);
    private_->startTimeout(timeout);
    private_->startConnect();
}

void HttpConnection::send(HttpRequest request, Milliseconds timeout, Callback callback)
{
    private_->requestSent = false;
    private_->callback = std::move(callback);
    private_->output = encodeRequest(request, private_->address);
    private_->startTimeout(timeout);
    if (private_->state == Private::State::Open)
        private_->writeOutput();
    else
        private_->startConnect();
}

bool HttpConnection::isOpen() const
{
    return private_->state == Private::State::Open;
}

bool HttpConnection::isBusy() const
{
    return private_->callback != nullptr || private_->connectCallback != nullptr;
}

void HttpConnection::close()
{
    private_->callback = nullptr;
    private_->connectCallback = nullptr;
    private_->closeHandler = nullptr;
    private_->stopTimeout();
    private_->closeStream();
}

void HttpConnection::setCloseHandler(std::function<void()> handler)
{
    private_->closeHandler = std::move(handler);
}

} // namespace pistachiowood
