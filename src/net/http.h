#ifndef PISTACHIOWOOD_NET_HTTP_H
#define PISTACHIOWOOD_NET_HTTP_H

#include "base/byte_counters.h"
#include "net/event_loop.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pistachiowood {

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< path with query, as sent
    std::string body;
    std::string bearer; ///< credential of "Authorization: Bearer", empty if absent

    /// Further headers of an outgoing request, as name and value.
    std::vector<std::pair<std::string, std::string>> headers;

    std::uint64_t connection = 0; ///< set by the server: id of the connection, unique per server
};

/// Response status that makes the server close the connection without sending a response. The
/// stand-ins use it to simulate lost answers.
inline constexpr unsigned closeConnectionStatus = 0;

struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    /// Further headers, as name and value. A received response holds all of its headers.
    std::vector<std::pair<std::string, std::string>> headers;

    /// Value of the header; nullptr if the response has none. Ignores the case of the name.
    const std::string *findHeader(std::string_view name) const;
};

/// Limits of a server. A request that is too large, or a connection too many, gets an error
/// response before its connection is closed; a timeout closes the connection without a response.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxConnections = 8192;
    /// At maxConnections, close the oldest connection that waits for no response, not the new one.
    bool closeOldestIdle = false;
    Milliseconds requestReadTimeout{10000}; ///< from the first byte of a request to its last
    Milliseconds idleTimeout{600000}; ///< between requests
};

/// HTTP/1.1 server with keep-alive. Handles one request at a time per connection; further pipelined
/// requests wait. The handler may call the responder at once or later, from the loop's thread; only
/// the first call has an effect, and none once the connection is closed.
class HttpServer
{
public:
    using Responder = std::function<void(HttpResponse)>;
    using Handler = std::function<void(const HttpRequest &, Responder)>;
    using CloseHandler = std::function<void(std::uint64_t connection)>;

    HttpServer(EventLoop &loop, HttpLimits limits, Handler handler, ByteCounter *counter = nullptr);
    ~HttpServer();

    /// Binds and listens; port 0 selects a free port.
    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;
    /// Closes each connection after its next response, so that callers reconnect to another daemon.
    void closeAfterResponses();
    std::size_t openConnections() const;
    /// Requests whose response has not been given yet.
    std::size_t runningRequests() const;
    /// Called with the id of each connection that closes before the server is destroyed.
    void setCloseHandler(CloseHandler handler);

    struct Private;

private:
    std::unique_ptr<Private> private_;
};

/// Why a request got no response.
struct HttpFailure
{
    enum class Kind { ConnectFailed, Refused, Timeout, ConnectionLost, BadResponse, Closed };
    Kind kind = Kind::ConnectFailed;
    bool requestSent = false; ///< at least one byte of the request may have reached the peer
    std::string message;
};

using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

/// Client connection that runs one request at a time. Connects in connect() or with the first
/// request.
class HttpConnection
{
public:
    using Callback = std::function<void(HttpOutcome)>;
    using ConnectCallback = std::function<void(std::optional<HttpFailure>)>;

    HttpConnection(EventLoop &loop, SocketAddress address, ByteCounter *counter = nullptr);
    /// Closes the connection without calling pending callbacks.
    ~HttpConnection();

    void connect(Milliseconds timeout, ConnectCallback callback);
    /// The timeout covers connecting, sending and the whole response. Any failure closes the
    /// connection, and the next request opens a new one.
    void send(HttpRequest request, Milliseconds timeout, Callback callback);
    bool isOpen() const;
    /// True while a request or connect() is pending.
    bool isBusy() const;
    /// Closes the connection without calling pending callbacks.
    void close();
    /// Called when the peer closes the connection while no request is running.
    void setCloseHandler(std::function<void()> handler);

    struct Private;

private:
    std::shared_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
