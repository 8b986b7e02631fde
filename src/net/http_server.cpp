#include "net/http_codec.h"

#include "base/json.h"
#include "net/sockets.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

#include <array>
#include <unordered_map>

namespace pistachiowood {

namespace {

constexpr std::size_t readChunkBytes = 64 * 1024;

HttpResponse parseErrorResponse(ParseState state)
{
    switch (state) {
    case ParseState::HeaderTooLarge:
        return {431, errorBody({ErrorCode::TooLarge, "the request header is too large"})};
    case ParseState::BodyTooLarge:
        return {413, errorBody({ErrorCode::TooLarge, "the request body is too large"})};
    default:
        return {400, errorBody({ErrorCode::InvalidArgument, "the request is not valid HTTP/1.1"})};
    }
}

} // namespace

class ServerConnection;

struct HttpServer::Private : public ACE_Event_Handler
{
    Private(EventLoop &eventLoop, HttpLimits httpLimits, Handler requestHandler,
            ByteCounter *byteCounter)
        : loop(eventLoop)
        , limits(httpLimits)
        , handler(std::move(requestHandler))
        , counter(byteCounter)
        , acceptRetry(eventLoop)
    {
    }

    ACE_HANDLE get_handle() const override { return acceptor.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    void stopListening();
    bool closeOldestIdle();
    void remove(std::uint64_t id);

    EventLoop &loop;
    HttpLimits limits;
    Handler handler;
    ByteCounter *counter;
    CloseHandler closeHandler;
    ACE_SOCK_Acceptor acceptor;
    AcceptRetry acceptRetry;
    std::uint16_t port = 0;
    bool draining = false;
    std::uint64_t lastConnection = 0;
    std::size_t running = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>> connections;
};

class ServerConnection : public ACE_Event_Handler,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServer::Private *server, ACE_SOCK_Stream stream, std::uint64_t id)
        : server_(server)
        , stream_(stream)
        , id_(id)
        , parser_(server->limits)
    {
    }

    ~ServerConnection() override { stream_.close(); }

    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }
    std::uint64_t id() const { return id_; }
    bool handling() const { return handling_; }

    bool open()
    {
        stream_.enable(ACE_NONBLOCK);
        int enabled = 1;
        stream_.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        if (server_->loop.reactor()->register_handler(this, READ_MASK) != 0)
            return false;
        startTimeout(server_->limits.idleTimeout);
        return true;
    }

    int handle_input(ACE_HANDLE) override
    {
        const auto self = shared_from_this();
        std::array<char, readChunkBytes> chunk;
        const ssize_t count = stream_.recv(chunk.data(), chunk.size());
        if (count == 0 || (count < 0 && errno != EWOULDBLOCK)) {
            close();
            return 0;
        }
        if (count > 0) {
            if (server_->counter)
                server_->counter->received += static_cast<std::uint64_t>(count);
            input_.append(chunk.data(), static_cast<std::size_t>(count));
        }
        // Pipelined input waits while a request runs, so its size needs a limit.
        if (!handling_)
            handleInput();
        else if (input_.size() > server_->limits.maxBodyBytes)
            close();
        return 0;
    }

    int handle_output(ACE_HANDLE) override
    {
        const auto self = shared_from_this();
        writeOutput();
        return 0;
    }

    // Called by the reactor when the peer closed or reset the connection.
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override
    {
        close();
        return 0;
    }

    void respond(const HttpResponse &response, bool keepAlive)
    {
        if (closed_)
            return;
        if (response.status == closeConnectionStatus) {
            close();
            return;
        }
        if (handling_)
            --server_->running;
        handling_ = false;
        closeAfterWrite_ = !keepAlive || server_->draining;
        output_ += encodeResponse(response, !closeAfterWrite_);
        startTimeout(server_->limits.idleTimeout);
        writeOutput();
        if (!closed_ && !closeAfterWrite_ && !input_.empty())
            handleInput();
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        if (handling_)
            --server_->running;
        server_->loop.cancelTimer(timer_);
        server_->loop.reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        // The reactor may still hold a pointer to this handler until the current event ends.
        server_->loop.post([self = shared_from_this()] {});
        const auto handler = server_->closeHandler;
        server_->remove(id_);
        stream_.close();
        if (handler)
            handler(id_);
    }

    /// Closes without removing this connection from the server, whose destructor is running.
    void detach()
    {
        if (closed_)
            return;
        closed_ = true;
        server_->loop.cancelTimer(timer_);
        server_->loop.reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        stream_.close();
    }

private:
    void handleInput()
    {
        if (closed_ || closeAfterWrite_ || input_.empty())
            return;
        const bool wasStarted = parser_.started();
        const ParseState state = parser_.parse(input_);
        if (state == ParseState::NeedMore) {
            if (!wasStarted)
                startTimeout(server_->limits.requestReadTimeout);
            return;
        }
        if (state != ParseState::Complete) {
            respond(parseErrorResponse(state), false);
            return;
        }
        const bool keepAlive = parser_.keepAlive();
        HttpRequest request = parser_.takeRequest();
        request.connection = id_;
        handling_ = true;
        ++server_->running;
        server_->loop.cancelTimer(timer_);
        auto responder = [weak = weak_from_this(), keepAlive,
                          used = false](const HttpResponse &response) mutable {
            if (std::exchange(used, true))
                return;
            if (const auto self = weak.lock())
                self->respond(response, keepAlive);
        };
        server_->handler(request, std::move(responder));
    }

    void writeOutput()
    {
        while (!output_.empty()) {
            const ssize_t count = stream_.send(output_.data(), output_.size());
            if (count > 0) {
                if (server_->counter) {
                    server_->counter->sent += static_cast<std::uint64_t>(count);
                    ++server_->counter->messages;
                }
                output_.erase(0, static_cast<std::size_t>(count));
            } else if (errno == EWOULDBLOCK) {
                server_->loop.reactor()->register_handler(this, WRITE_MASK);
                return;
            } else {
                close();
                return;
            }
        }
        server_->loop.reactor()->remove_handler(this, WRITE_MASK | DONT_CALL);
        if (closeAfterWrite_)
            close();
    }

    void startTimeout(Milliseconds timeout)
    {
        server_->loop.cancelTimer(timer_);
        timer_ = server_->loop.startTimer(timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->close();
        });
    }

    HttpServer::Private *server_;
    ACE_SOCK_Stream stream_;
    std::uint64_t id_;
    HttpRequestParser parser_;
    std::string input_;
    std::string output_;
    TimerId timer_ = 0;
    bool handling_ = false;
    bool closeAfterWrite_ = false;
    bool closed_ = false;
};

int HttpServer::Private::handle_input(ACE_HANDLE)
{
    ACE_SOCK_Stream stream;
    ACE_Time_Value zeroTimeout = ACE_Time_Value::zero;
    if (acceptor.accept(stream, nullptr, &zeroTimeout) != 0) {
        acceptRetry.handleFailure(*this, errno);
        return 0;
    }
    if (connections.size() >= limits.maxConnections
        && !(limits.closeOldestIdle && closeOldestIdle())) {
        const auto refusal = encodeResponse(
            {503, errorBody({ErrorCode::Unavailable, "too many connections"})}, false);
        stream.send(refusal.data(), refusal.size());
        stream.close();
        return 0;
    }
    const std::uint64_t id = ++lastConnection;
    auto connection = std::make_shared<ServerConnection>(this, stream, id);
    connections.emplace(id, connection);
    if (!connection->open())
        connections.erase(id);
    return 0;
}

// Returns false if every connection waits for a response.
bool HttpServer::Private::closeOldestIdle()
{
    std::shared_ptr<ServerConnection> oldest;
    for (const auto &[id, connection] : connections) {
        if (!connection->handling() && (!oldest || id < oldest->id()))
            oldest = connection;
    }
    if (oldest)
        oldest->close();
    return oldest != nullptr;
}

void HttpServer::Private::stopListening()
{
    if (acceptor.get_handle() == ACE_INVALID_HANDLE)
        return;
    acceptRetry.cancel();
    loop.reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
    acceptor.close();
}

void HttpServer::Private::remove(std::uint64_t id)
{
    connections.erase(id);
}

HttpServer::HttpServer(EventLoop &loop, HttpLimits limits, Handler handler, ByteCounter *counter)
    : private_(std::make_unique<Private>(loop, limits, std::move(handler), counter))
{
}

HttpServer::~HttpServer()
{
    private_->stopListening();
    for (const auto &[id, connection] : private_->connections)
        connection->detach();
}

Result<void> HttpServer::listen(const SocketAddress &address)
{
    BOOST_LEAF_ASSIGN(private_->port, openAcceptor(private_->acceptor, address));
    private_->loop.reactor()->register_handler(private_.get(), ACE_Event_Handler::ACCEPT_MASK);
    return {};
}

std::uint16_t HttpServer::port() const
{
    return private_->port;
}

void HttpServer::closeAfterResponses()
{
    private_->draining = true;
}

std::size_t HttpServer::openConnections() const
{
    return private_->connections.size();
}

std::size_t HttpServer::runningRequests() const
{
    return private_->running;
}

void HttpServer::setCloseHandler(CloseHandler handler)
{
    private_->closeHandler = std::move(handler);
}

} // namespace pistachiowood
