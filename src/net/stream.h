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

/// Why a stream was closed.
struct StreamClosure
{
    bool refused = false; ///< the connection was refused: nothing listens at the address
    std::string reason;
};

/// Receives the events of one stream in the loop's thread.
class StreamListener
{
public:
    virtual ~StreamListener() = default;
    virtual void handleStreamOpened() {}
    /// The input holds all received bytes that the listener has not removed yet; the listener
    /// removes what it consumes.
    virtual void handleStreamInput(std::string &input) = 0;
    /// Called after a part of the output that had to wait was sent.
    virtual void handleStreamOutputSent() {}
    /// Called last, when the peer or a failure has closed the stream.
    virtual void handleStreamClosed(const StreamClosure &closure) = 0;
};

/// Limits and timeouts of a stream; exceeding one closes the stream with an event.
struct StreamOptions
{
    std::size_t maxOutputBytes = 4 * 1024 * 1024; ///< output that a slow peer may leave unsent
    Milliseconds connectTimeout{1000};
    Milliseconds peerTimeout{3000}; ///< for TCP acknowledgements of data and keep-alive probes
};

/// One TCP connection. The listener may close or destroy the stream inside any event.
class Stream
{
public:
    /// Starts to connect to the address, or to its override.
    Stream(EventLoop &loop, const SocketAddress &peer, StreamOptions options,
           StreamListener &listener, ByteCounter *counter = nullptr);
    /// Closes the stream without an event.
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    void send(std::string_view bytes);
    /// Closes the stream once its output has been sent, without an event.
    void closeAfterOutput();
    /// Reads no more and closes the stream, with an event, once its output has been sent or the
    /// peer timeout is over.
    void finishOutput();
    /// Closes the stream at once, without an event.
    void abort();
    /// Leaves further input to the operating system, which makes the peer wait, until
    /// resumeReading(). The closing of the peer is not noticed meanwhile unless output waits.
    void pauseReading();
    /// Reads again; input that the listener has not removed is passed to it again.
    void resumeReading();
    /// Output that was not passed to the operating system yet.
    std::size_t unsentBytes() const;
    /// Memory that input and output take.
    std::size_t heldBytes() const;
    bool isOpen() const;
    /// Whether bytes have arrived that were not passed to the listener yet.
    bool hasUnreadInput() const;
    /// Bytes passed to the operating system, which the peer may have received.
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
    /// Accepted connection, which is closed after the handler unless accept() was called.
    class PendingConnection
    {
    public:
        virtual ~PendingConnection() = default;
        virtual std::unique_ptr<Stream> accept(StreamListener &listener) = 0;
    };
    using AcceptHandler = std::function<void(PendingConnection &)>;

    StreamServer(EventLoop &loop, StreamOptions options, AcceptHandler handler,
                 ByteCounter *counter = nullptr);
    ~StreamServer();

    /// Binds and listens; port 0 selects a free port.
    Result<void> listen(const SocketAddress &address);
    std::uint16_t port() const;
    void stopListening();

    struct Private;

private:
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
