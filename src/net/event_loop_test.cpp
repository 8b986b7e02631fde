#include "net/event_loop.h"
#include "net/stream.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <stdexcept>
#include <vector>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

// Echoes its input and throws on the input "fail".
struct Echo final : public StreamListener
{
    void handleStreamInput(std::string &input) override
    {
        if (std::exchange(input, {}) == "fail")
            throw std::runtime_error("unexpected");
        stream->send("echo");
    }
    void handleStreamClosed(const StreamClosure &) override { closed = true; }

    std::unique_ptr<Stream> stream;
    bool closed = false;
};

struct Caller final : public StreamListener
{
    Caller(EventLoop &loop, std::uint16_t port)
        : stream(loop, {"127.0.0.1", port}, {}, *this)
    {
    }
    void handleStreamInput(std::string &input) override { received += std::exchange(input, {}); }
    void handleStreamClosed(const StreamClosure &) override { closed = true; }

    std::string received;
    bool closed = false;
    Stream stream;
};

} // namespace

TEST_GROUP(EventLoop)
{
    EventLoop loop;
    std::vector<std::unique_ptr<Echo>> accepted;

    void runLoop()
    {
        loop.startTimer(20ms, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }
};

// Guards against an unexpected error in one task or timer that ends the whole process.
TEST(EventLoop, taskThatThrowsDoesNotStopTheLoop)
{
    bool taskRan = false;
    bool timerRan = false;
    loop.post([] { throw std::runtime_error("unexpected"); });
    loop.post([&] { taskRan = true; });
    loop.startTimer(1ms, [] { throw std::length_error("unexpected"); });
    loop.startTimer(2ms, [&] { timerRan = true; });
    runLoop();
    CHECK_TRUE(taskRan);
    CHECK_TRUE(timerRan);
}

// Guards against an unexpected error at one connection that ends the other connections: only the
// connection concerned is closed.
TEST(EventLoop, listenerThatThrowsLosesOnlyItsConnection)
{
    StreamServer server(loop, {}, [this](StreamServer::PendingConnection &pending) {
        auto echo = std::make_unique<Echo>();
        echo->stream = pending.accept(*echo);
        accepted.push_back(std::move(echo));
    });
    CHECK_TRUE(!!server.listen({"127.0.0.1", 0}));
    Caller failing(loop, server.port());
    Caller other(loop, server.port());
    runLoop();
    failing.stream.send("fail");
    runLoop();
    other.stream.send("hello");
    runLoop();
    CHECK_TRUE(failing.closed);
    CHECK_FALSE(other.closed);
    CHECK_TRUE(other.received == "echo");
    accepted.clear();
    runLoop();
}
