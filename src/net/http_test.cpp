#include "net/http.h"
#include "net/http_codec.h"

#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

const SocketAddress anyPort{"127.0.0.1", 0};

HttpResponse echo(const HttpRequest &request)
{
    return {200, request.method + " " + request.target + " " + request.body};
}

} // namespace

TEST_GROUP(Http)
{
    EventLoop loop;

    // Runs one request and returns its outcome.
    HttpOutcome exchange(HttpConnection & connection, HttpRequest request, Milliseconds timeout)
    {
        HttpOutcome result;
        connection.send(std::move(request), timeout, [&](HttpOutcome outcome) {
            result = std::move(outcome);
            loop.stop();
        });
        EventLoop &running = loop;
        running.run();
        return result;
    }
};

// Guards against a lost or altered body on a kept-alive connection.
TEST(Http, answersRequestWithLargeBody)
{
    HttpServer server(loop, {},
                      [](const HttpRequest &request, const HttpServer::Responder &respond) {
                          respond(echo(request));
                      });
    CHECK_TRUE(!!server.listen(anyPort));
    HttpConnection connection(loop, {"127.0.0.1", server.port()});
    const std::string body(500000, 'x');
    const auto outcome = exchange(connection, {.method = "POST", .target = "/a?b=c", .body = body},
                                  Milliseconds(5000));
    CHECK_EQUAL(0, outcome.index());
    CHECK_TRUE(std::get<HttpResponse>(outcome).body == "POST /a?b=c " + body);
    CHECK_TRUE(connection.isOpen());
}

// Guards against memory use without limit for an oversized body.
TEST(Http, refusesOversizedBody)
{
    HttpServer server(loop, {.maxBodyBytes = 1000},
                      [](const HttpRequest &request, const HttpServer::Responder &respond) {
                          respond(echo(request));
                      });
    CHECK_TRUE(!!server.listen(anyPort));
    HttpConnection connection(loop, {"127.0.0.1", server.port()});
    const auto outcome = exchange(connection, {.method = "POST", .body = std::string(2000, 'x')},
                                  Milliseconds(5000));
    CHECK_EQUAL(413, std::get<HttpResponse>(outcome).status);
}

// Guards against requestSent being false for a request that may have reached the peer: the sender
// would run a non-idempotent request again.
TEST(Http, timeoutAfterSendingReportsRequestSent)
{
    std::vector<HttpServer::Responder> pending;
    HttpServer server(loop, {}, [&](const HttpRequest &, HttpServer::Responder respond) {
        pending.push_back(std::move(respond));
    });
    CHECK_TRUE(!!server.listen(anyPort));
    HttpConnection connection(loop, {"127.0.0.1", server.port()});
    const auto outcome = exchange(connection, {}, Milliseconds(50));
    const auto &failure = std::get<HttpFailure>(outcome);
    CHECK_TRUE(failure.kind == HttpFailure::Kind::Timeout);
    CHECK_TRUE(failure.requestSent);
    CHECK_FALSE(connection.isOpen());
}

// Guards against requestSent being true after a refused connection: the outcome would be reported
// as unknown although nothing ran.
TEST(Http, refusedConnectionReportsNothingSent)
{
    HttpConnection connection(loop, {"127.0.0.1", 1});
    const auto outcome = exchange(connection, {}, Milliseconds(1000));
    const auto &failure = std::get<HttpFailure>(outcome);
    CHECK_TRUE(failure.kind == HttpFailure::Kind::Refused);
    CHECK_FALSE(failure.requestSent);
}

// Guards against a response that is sent although the handler asked to close the connection.
TEST(Http, closeConnectionStatusSendsNoResponse)
{
    HttpServer server(loop, {}, [](const HttpRequest &, const HttpServer::Responder &respond) {
        respond({closeConnectionStatus, "body"});
    });
    CHECK_TRUE(!!server.listen(anyPort));
    HttpConnection connection(loop, {"127.0.0.1", server.port()});
    const auto outcome = exchange(connection, {}, Milliseconds(1000));
    const auto &failure = std::get<HttpFailure>(outcome);
    CHECK_TRUE(failure.kind == HttpFailure::Kind::ConnectionLost);
    CHECK_TRUE(failure.requestSent);
    CHECK_EQUAL(0, server.runningRequests());
}

// Guards against callers that hold a connection open with a request that they never complete.
TEST(Http, closesConnectionOfIncompleteRequest)
{
    HttpServer server(loop, {.requestReadTimeout = Milliseconds(50)},
                      [](const HttpRequest &request, const HttpServer::Responder &respond) {
                          respond(echo(request));
                      });
    CHECK_TRUE(!!server.listen(anyPort));
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, connect(caller, reinterpret_cast<sockaddr *>(&address), sizeof address));
    const std::string beginning = "POST / HTTP/1.1\r\nContent-Le";
    LONGS_EQUAL(beginning.size(), send(caller, beginning.data(), beginning.size(), 0));
    loop.startTimer(Milliseconds(25), [&] { LONGS_EQUAL(1, server.openConnections()); });
    loop.startTimer(Milliseconds(2000), [&] { loop.stop(); });
    server.setCloseHandler([&](std::uint64_t) { loop.stop(); });
    loop.run();
    LONGS_EQUAL(0, server.openConnections());
    close(caller);
}

// Guards against callers that keep using their connection to a server that is shutting down.
TEST(Http, connectionClosesAfterItsResponseDuringShutdown)
{
    HttpServer server(loop, {},
                      [](const HttpRequest &request, const HttpServer::Responder &respond) {
                          respond(echo(request));
                      });
    CHECK_TRUE(!!server.listen(anyPort));
    HttpConnection connection(loop, {"127.0.0.1", server.port()});
    exchange(connection, {}, Milliseconds(5000));
    CHECK_TRUE(connection.isOpen());
    server.closeAfterResponses();
    const auto outcome = exchange(connection, {}, Milliseconds(5000));
    CHECK_EQUAL(200, std::get<HttpResponse>(outcome).status);
    CHECK_FALSE(connection.isOpen());
}

// Guards against a client that cannot tell which state of the platform's store has answered.
TEST(Http, responseHeadersReachTheCaller)
{
    HttpServer server(loop, {}, [](const HttpRequest &, const HttpServer::Responder &respond) {
        respond({.body = "{}", .headers = {{"Store-Age", "7"}}});
    });
    CHECK_TRUE(!!server.listen(anyPort));
    HttpConnection connection(loop, {"127.0.0.1", server.port()});
    const auto outcome = exchange(connection, {}, Milliseconds(5000));
    const auto &response = std::get<HttpResponse>(outcome);
    CHECK_TRUE(response.findHeader("store-age") != nullptr);
    STRCMP_EQUAL("7", response.findHeader("store-age")->c_str());
    CHECK_TRUE(response.findHeader("store") == nullptr);
}

// Guards against a request inside another one: heads and chunk sizes end their lines at CR LF
// alone.
TEST_GROUP(HttpLines){};

TEST(HttpLines, loneLineFeedEndsNoLine)
{
    const std::string chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::string input :
         {std::string("GET /a HTTP/1.1\nHost: x\n\n"),
          std::string("GET /a HTTP/1.1\r\nA: b\nHost: x\r\n\r\n"), chunked + "1\nx\r\n0\r\n\r\n"}) {
        HttpRequestParser parser{HttpLimits{}};
        CHECK_TRUE(parser.parse(input) == ParseState::Malformed);
    }
}
