#include "net/http_codec.h"
#include "net/stream.h"

#include <limits>

namespace pistachiowood {

namespace {

// Long enough never to expire first: the request timeout also covers connecting.
constexpr Milliseconds streamConnectTimeout = std::chrono::hours(1);

} // namespace

struct HttpConnection::Private : public StreamListener, public std::enable_shared_from_this<Private>
{
    Private(EventLoop &eventLoop, SocketAddress peer, ByteCounter *byteCounter)
        : loop(eventLoop)
        , address(std::move(peer))
        , counter(byteCounter)
    {
    }

    void openStream()
    {
        opened = false;
        sentBytesBeforeRequest = 0;
        parser.reset();
        const StreamOptions options{.maxOutputBytes = std::numeric_limits<std::size_t>::max(),
                                    .connectTimeout = streamConnectTimeout};
        stream = std::make_unique<Stream>(loop, address, options, *this, counter);
    }

    void sendRequest(const std::string &bytes)
    {
        sentBytesBeforeRequest = stream->sentBytes();
        stream->send(bytes);
    }

    void handleStreamOpened() override
    {
        const auto self = shared_from_this();
        opened = true;
        if (auto connected = std::exchange(connectCallback, nullptr)) {
            stopTimeout();
            connected(std::nullopt);
        }
    }

    void handleStreamInput(std::string &input) override
    {
        const auto self = shared_from_this();
        if (!callback) {
            // The next request could take this unsolicited response for its own.
            fail(HttpFailure::Kind::BadResponse, "unexpected bytes from the peer");
            return;
        }
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
            stream.reset();
        done(std::move(response));
    }

    void handleStreamClosed(const StreamClosure &closure) override
    {
        const auto self = shared_from_this();
        if (opened)
            fail(HttpFailure::Kind::ConnectionLost, closure.reason);
        else if (closure.refused)
            fail(HttpFailure::Kind::Refused, closure.reason);
        else
            fail(HttpFailure::Kind::ConnectFailed, closure.reason);
    }

    void fail(HttpFailure::Kind kind, const std::string &message)
    {
        const bool requestSent = stream && stream->sentBytes() > sentBytesBeforeRequest;
        const HttpFailure failure{kind, requestSent, message};
        stopTimeout();
        stream.reset();
        auto requestCallback = std::exchange(callback, nullptr);
        auto openCallback = std::exchange(connectCallback, nullptr);
        if (openCallback)
            openCallback(failure);
        if (requestCallback)
            requestCallback(failure);
        else if (!openCallback && closeHandler)
            loop.post([handler = closeHandler] { handler(); });
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

    EventLoop &loop;
    SocketAddress address;
    ByteCounter *counter;
    std::unique_ptr<Stream> stream;
    bool opened = false;
    std::uint64_t sentBytesBeforeRequest = 0; ///< of the stream, for the current request
    HttpResponseParser parser;
    Callback callback;
    ConnectCallback connectCallback;
    std::function<void()> closeHandler;
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
    private_->connectCallback = std::move(callback);
    private_->startTimeout(timeout);
    private_->openStream();
}

void HttpConnection::send(HttpRequest request, Milliseconds timeout, Callback callback)
{
    private_->callback = std::move(callback);
    private_->startTimeout(timeout);
    if (!isOpen())
        private_->openStream();
    private_->sendRequest(encodeRequest(request, private_->address));
}

bool HttpConnection::isOpen() const
{
    return private_->stream && private_->stream->isOpen();
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
    private_->stream.reset();
}

void HttpConnection::setCloseHandler(std::function<void()> handler)
{
    private_->closeHandler = std::move(handler);
}

} // namespace pistachiowood
