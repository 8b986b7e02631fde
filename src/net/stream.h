#ifndef PISTACHIOWOOD_NET_STREAM_H
#define PISTACHIOWOOD_NET_STREAM_H

#include "base/byte_counters.h"
#include "net/event_loop.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pistachiowood {

/// Why a stream has ended.
struct StreamClosure
{
    bool refused = false; ///< nothing listens at the address
    std::string reason;
};

/// Receives the events of one stream; called in the loop's thread.
class StreamListener
{
public:
    virtual ~StreamListener() = default;
    virtual void handleStreamOpened() {}
    /// The listener removes what it has consumed from the input.
    virtual void handleStreamInput(std::string &input) = 0;
    /// The stream is closed; no further event follows.
    virtual void handleStreamClosed(const StreamClosure &closure) = 0;
};

/// Limits and time-outs of a stream.
struct StreamOptions
{
    std::size_t maxOutputBytes = 4 * 1024 * 1024; ///< unsent bytes after which a slow peer is cut
    Milliseconds connectTimeout{1000};
    Milliseconds peerTimeout{3000}; ///< unacknowledged data or missing keep-alive answers
};

/// One TCP connection that carries bytes both ways. A listener may close or destroy the stream
/// inside any event.
class Stream
{
public:
    /// Starts to connect to the address.
    Stream(EventLoop &loop, const SocketAddress &peer, StreamOptions options,
           StreamListener &listener, ByteCounter *counter = nullptr);
    /// Closes the stream without an event.
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    void send(std::string_view bytes);
    /// Closes the stream after the bytes sent so far, without an event.
    void closeAfterOutput();
    bool isOpen() const;
    /// Bytes handed to the operating system, which the peer may have received.
    std::uint64_t sentBytes() const;

    struct Private;

private:
    friend class StreamServer;
    explicit Stream(std::shared_ptr<Private> accepted);

    std::shared_ptr<Private> private_;
};

/// Accepts TCP connections.
class StreamServer
{
public:
    /// Takes an accepted stream; the listener is set with Acceptance::accept.
    class Acceptance
    {
    public:
        virtual ~Acceptance() = default;
        virtual std::unique_ptr<Stream> accept(StreamListener &listener) = 0;
    };
    using AcceptHandler = std::function<void(Acceptance &)>;

    StreamServer(EventLoop &loop, StreamOptions options, AcceptHandler handler,
                 ByteCounter *counter = nullptr);
    ~StreamServer();

    /// Binds and listens; port 0 picks a free one.
    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;
    void stopListening();

    struct Private;

private:
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
