#include "link_relay/relay.h"

#include "link_relay/link_schedule.h"
#include "net/precise_timer.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <cstring>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pistachiowood::relay {

namespace {

constexpr std::size_t readChunkBytes = 16 * 1024;
// 30 Mbit/s over a round trip of 16 ms need 60 KB in flight per connection.
constexpr std::size_t maxQueuedBytes = 128 * 1024;
constexpr int listenBacklog = 1024;

enum class Side : std::size_t { Client, Target };

struct Chunk
{
    std::string bytes;
    TimePoint due;
};

/// Bytes on their way in one direction of a connection.
struct Flow
{
    std::deque<Chunk> queue;
    std::size_t queuedBytes = 0;
    bool sourceEnded = false; ///< the source sent its last byte
    bool sourceBroken = false; ///< the source reset its connection
    TimePoint endDue{};
    bool endDelivered = false;
};

} // namespace

class Connection;

class SocketHandler : public ACE_Event_Handler
{
public:
    SocketHandler(Connection *owner, Side side)
        : owner_(owner)
        , side_(side)
    {
    }

    ACE_HANDLE get_handle() const override { return stream.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override;

    ACE_SOCK_Stream stream;
    ACE_Reactor_Mask mask = NULL_MASK; ///< events registered with the reactor

private:
    Connection *owner_;
    Side side_;
};

struct PairListener : public ACE_Event_Handler
{
    ACE_HANDLE get_handle() const override { return acceptor.get_handle(); }
    int handle_input(ACE_HANDLE) override;

    Relay::Private *relay = nullptr;
    ACE_SOCK_Acceptor acceptor;
    ACE_INET_Addr target;
    Direction connectDirection = Forward;
};

struct Relay::Private
{
    using Deadline = std::pair<TimePoint, std::uint64_t>;

    Private(EventLoop &eventLoop, const LinkSettings &linkSettings)
        : loop(eventLoop)
        , timer(loop, [this] { runDue(); })
    {
        apply(linkSettings);
    }

    void apply(const LinkSettings &linkSettings);
    void accept(PairListener &listener);
    void runDue();
    void startTimer();
    bool isCut(Direction direction) const { return settings.freeze || settings.cut[direction]; }

    EventLoop &loop;
    PreciseTimer timer;
    SteadyClock clock;
    LinkSettings settings;
    std::array<LinkSchedule, 2> schedules;
    LinkCounters counters;
    std::vector<std::unique_ptr<PairListener>> listeners;
    std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections;
    std::set<Deadline> deadlines; ///< time, connection
    std::uint64_t lastConnection = 0;
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Relay::Private *relay, std::uint64_t id, ACE_SOCK_Stream client,
               const PairListener &listener)
        : relay_(relay)
        , id_(id)
        , target_(listener.target)
        , connectDirection_(listener.connectDirection)
    {
        sockets_[0].stream = client;
        prepare(sockets_[0]);
        // The handshake takes one round trip.
        openDue_ = relay->clock.now() + 2 * relay->settings.delay;
        setDeadline(openDue_);
    }

    ~Connection() { close(false); }

    /// Moves everything that is due and adjusts the events to wait for.
    void advance()
    {
        if (state_ == State::Waiting)
            connectIfDue();
        if (state_ == State::Open) {
            deliver(Side::Client);
            deliver(Side::Target);
        }
        if (state_ == State::Open && flows_[0].endDelivered && flows_[1].endDelivered)
            close(false);
        updateEvents();
    }

    void handleReadable(Side side)
    {
        if (state_ == State::Connecting)
            finishConnect();
        else if (state_ == State::Open)
            read(side);
        advance();
    }

    void handleWritable()
    {
        if (state_ == State::Connecting)
            finishConnect();
        advance();
    }

    // The peer reset its connection; the other side learns it when the bytes before it arrived.
    void handleBroken(Side side)
    {
        sockets_[index(side)].mask = ACE_Event_Handler::NULL_MASK;
        if (state_ != State::Open) {
            close(true);
            return;
        }
        endFlow(side);
        flows_[index(side)].sourceBroken = true;
        advance();
    }

    void close(bool reset)
    {
        if (state_ == State::Closed)
            return;
        state_ = State::Closed;
        for (SocketHandler &socket : sockets_) {
            if (socket.stream.get_handle() == ACE_INVALID_HANDLE)
                continue;
            setEvents(socket, ACE_Event_Handler::NULL_MASK);
            if (reset) {
                linger abort{1, 0};
                socket.stream.set_option(SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            }
            socket.stream.close();
        }
        if (const auto self = weak_from_this().lock()) {
            // The reactor may still hold a pointer to a handler until the current event ends.
            relay_->loop.post([self] {});
            relay_->connections.erase(id_);
        }
    }

private:
    enum class State { Waiting, Connecting, Open, Closed };

    static std::size_t index(Side side) { return static_cast<std::size_t>(side); }

    /// Direction on the link of the bytes that come from a side.
    Direction directionFrom(Side side) const
    {
        const bool isForward = (side == Side::Client) == (connectDirection_ == Forward);
        return isForward ? Forward : Backward;
    }

    LinkSchedule &scheduleFrom(Side side) { return relay_->schedules[directionFrom(side)]; }

    static void prepare(SocketHandler &socket)
    {
        socket.stream.enable(ACE_NONBLOCK);
        int enabled = 1;
        socket.stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }

    void connectIfDue()
    {
        if (relay_->isCut(Forward) || relay_->isCut(Backward) || openDue_ > relay_->clock.now())
            return;
        pollfd client{sockets_[0].stream.get_handle(), POLLRDHUP, 0};
        if (::poll(&client, 1, 0) > 0) {
            close(true); // the client gave up before its handshake could have been answered
            return;
        }
        state_ = State::Connecting;
        ACE_SOCK_Connector connector;
        ACE_Time_Value immediately = ACE_Time_Value::zero;
        if (connector.connect(sockets_[1].stream, target_, &immediately) == 0)
            handleConnected();
        else if (errno != EWOULDBLOCK && errno != EINPROGRESS)
            close(true);
    }

    void finishConnect()
    {
        int socketError = 0;
        int size = sizeof socketError;
        sockets_[1].stream.get_option(SOL_SOCKET, SO_ERROR, &socketError, &size);
        if (socketError == 0)
            handleConnected();
        else
            close(true);
    }

    void handleConnected()
    {
        prepare(sockets_[1]);
        state_ = State::Open;
    }

    void read(Side side)
    {
        Flow &flow = flows_[index(side)];
        if (!wantsRead(side))
            return;
        std::string bytes(readChunkBytes, '\0');
        const ssize_t count = sockets_[index(side)].stream.recv(bytes.data(), bytes.size());
        if (count < 0 && errno == EWOULDBLOCK)
            return;
        if (count <= 0) {
            endFlow(side);
            flow.sourceBroken = count < 0;
            return;
        }
        bytes.resize(static_cast<std::size_t>(count));
        flow.queuedBytes += bytes.size();
        const TimePoint due = scheduleFrom(side).admit(relay_->clock.now(), bytes.size());
        flow.queue.push_back({std::move(bytes), due});
        setDeadline(due);
    }

    void endFlow(Side side)
    {
        Flow &flow = flows_[index(side)];
        if (std::exchange(flow.sourceEnded, true))
            return;
        flow.endDue = scheduleFrom(side).admit(relay_->clock.now(), 0);
        setDeadline(flow.endDue);
    }

    /// Delivers what came from the side and is due.
    void deliver(Side source)
    {
        Flow &flow = flows_[index(source)];
        ACE_SOCK_Stream &destination = sockets_[1 - index(source)].stream;
        const Direction direction = directionFrom(source);
        if (state_ != State::Open || relay_->isCut(direction))
            return;
        const TimePoint now = relay_->clock.now();
        while (!flow.queue.empty() && flow.queue.front().due <= now) {
            std::string &bytes = flow.queue.front().bytes;
            const ssize_t count = destination.send(bytes.data(), bytes.size());
            if (count < 0 && errno == EWOULDBLOCK)
                return;
            if (count < 0) {
                close(true);
                return;
            }
            const auto sent = static_cast<std::size_t>(count);
            relay_->counters.deliveredBytes[direction] += sent;
            flow.queuedBytes -= sent;
            if (sent < bytes.size())
                bytes.erase(0, sent);
            else
                flow.queue.pop_front();
        }
        if (!flow.queue.empty() || !flow.sourceEnded || flow.endDelivered || flow.endDue > now)
            return;
        flow.endDelivered = true;
        if (flow.sourceBroken)
            close(true);
        else
            destination.close_writer();
    }

    bool wantsRead(Side side) const
    {
        const Flow &flow = flows_[index(side)];
        return state_ == State::Open && !flow.sourceEnded && flow.queuedBytes < maxQueuedBytes
               && !relay_->isCut(directionFrom(side));
    }

    bool wantsWrite(Side side) const
    {
        if (state_ == State::Connecting)
            return side == Side::Target;
        const Side source = side == Side::Target ? Side::Client : Side::Target;
        const Flow &flow = flows_[index(source)];
        return state_ == State::Open && !relay_->isCut(directionFrom(source)) && !flow.queue.empty()
               && flow.queue.front().due <= relay_->clock.now();
    }

    void updateEvents()
    {
        if (state_ == State::Closed)
            return;
        for (const Side side : {Side::Client, Side::Target}) {
            ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
            if (wantsRead(side))
                mask |= ACE_Event_Handler::READ_MASK;
            if (wantsWrite(side))
                mask |= ACE_Event_Handler::WRITE_MASK;
            SocketHandler &socket = sockets_[index(side)];
            if (socket.stream.get_handle() != ACE_INVALID_HANDLE
                && !flows_[index(side)].sourceBroken)
                setEvents(socket, mask);
        }
    }

    void setEvents(SocketHandler &socket, ACE_Reactor_Mask mask)
    {
        ACE_Reactor *reactor = relay_->loop.reactor();
        const ACE_Reactor_Mask added = mask & ~socket.mask;
        const ACE_Reactor_Mask removed = socket.mask & ~mask;
        if (added != ACE_Event_Handler::NULL_MASK)
            reactor->register_handler(&socket, added);
        if (removed != ACE_Event_Handler::NULL_MASK)
            reactor->remove_handler(&socket, removed | ACE_Event_Handler::DONT_CALL);
        socket.mask = mask;
    }

    void setDeadline(TimePoint time)
    {
        relay_->deadlines.emplace(time, id_);
        relay_->startTimer();
    }

    Relay::Private *relay_;
    std::uint64_t id_;
    ACE_INET_Addr target_;
    Direction connectDirection_;
    TimePoint openDue_;
    State state_ = State::Waiting;
    std::array<SocketHandler, 2> sockets_{SocketHandler(this, Side::Client),
                                          SocketHandler(this, Side::Target)};
    std::array<Flow, 2> flows_; ///< by the side that the bytes come from
};

int SocketHandler::handle_input(ACE_HANDLE)
{
    const auto owner = owner_->shared_from_this();
    owner->handleReadable(side_);
    return 0;
}

int SocketHandler::handle_output(ACE_HANDLE)
{
    const auto owner = owner_->shared_from_this();
    owner->handleWritable();
    return 0;
}

// Called by the reactor, which has removed this handler, when the peer hung up.
int SocketHandler::handle_close(ACE_HANDLE, ACE_Reactor_Mask)
{
    const auto owner = owner_->shared_from_this();
    owner->handleBroken(side_);
    return 0;
}

int PairListener::handle_input(ACE_HANDLE)
{
    relay->accept(*this);
    return 0;
}

void Relay::Private::apply(const LinkSettings &linkSettings)
{
    const bool accepted = !settings.freeze;
    settings = linkSettings;
    for (LinkSchedule &schedule : schedules) {
        schedule.setDelay(settings.delay);
        schedule.setRate(settings.megabitsPerSecond);
    }
    for (const auto &listener : listeners) {
        if (accepted && settings.freeze)
            loop.reactor()->remove_handler(listener.get(), ACE_Event_Handler::ACCEPT_MASK
                                                               | ACE_Event_Handler::DONT_CALL);
        else if (!accepted && !settings.freeze)
            loop.reactor()->register_handler(listener.get(), ACE_Event_Handler::ACCEPT_MASK);
    }
    const auto current = connections;
    for (const auto &[id, connection] : current)
        connection->advance();
}

void Relay::Private::accept(PairListener &listener)
{
    ACE_SOCK_Stream stream;
    ACE_Time_Value immediately = ACE_Time_Value::zero;
    if (listener.acceptor.accept(stream, nullptr, &immediately) != 0)
        return;
    ++counters.acceptedConnections;
    const std::uint64_t id = ++lastConnection;
    const auto connection = std::make_shared<Connection>(this, id, stream, listener);
    connections.emplace(id, connection);
    connection->advance();
}

void Relay::Private::runDue()
{
    const TimePoint now = clock.now();
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        const std::uint64_t id = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        if (const auto found = connections.find(id); found != connections.end()) {
            const auto connection = found->second;
            connection->advance();
        }
    }
    startTimer();
}

void Relay::Private::startTimer()
{
    if (!deadlines.empty())
        timer.start(deadlines.begin()->first);
}

Relay::Relay(EventLoop &loop, const LinkSettings &settings)
    : private_(std::make_unique<Private>(loop, settings))
{
}

Relay::~Relay()
{
    for (const auto &listener : private_->listeners) {
        private_->loop.reactor()->remove_handler(
            listener.get(), ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        listener->acceptor.close();
    }
    resetConnections();
}

Result<std::uint16_t> Relay::addPair(const SocketAddress &listen, const SocketAddress &target,
                                     Direction connectDirection)
{
    auto listener = std::make_unique<PairListener>();
    listener->connectDirection = connectDirection;
    listener->relay = private_.get();
    ACE_INET_Addr local;
    if (local.set(listen.port, listen.host.c_str(), 1, AF_INET) != 0
        || listener->target.set(target.port, target.host.c_str(), 1, AF_INET) != 0)
        return makeError(ErrorCode::InvalidArgument,
                         "invalid address " + listen.host + " or " + target.host);
    if (listener->acceptor.open(local, 1, AF_INET, listenBacklog) != 0)
        return makeError(ErrorCode::Unavailable, "cannot listen on " + listen.host + ":"
                                                     + std::to_string(listen.port) + ": "
                                                     + std::strerror(errno));
    listener->acceptor.enable(ACE_NONBLOCK);
    listener->acceptor.get_local_addr(local);
    if (!private_->settings.freeze)
        private_->loop.reactor()->register_handler(listener.get(), ACE_Event_Handler::ACCEPT_MASK);
    private_->listeners.push_back(std::move(listener));
    return local.get_port_number();
}

void Relay::apply(const LinkSettings &settings)
{
    private_->apply(settings);
}

const LinkSettings &Relay::settings() const
{
    return private_->settings;
}

void Relay::resetConnections()
{
    const auto current = private_->connections;
    for (const auto &[id, connection] : current)
        connection->close(true);
}

LinkCounters Relay::counters() const
{
    LinkCounters counters = private_->counters;
    counters.openConnections = private_->connections.size();
    return counters;
}

} // namespace pistachiowood::relay
