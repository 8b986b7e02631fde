#ifndef PISTACHIOWOOD_NET_HTTP_CODEC_H
#define PISTACHIOWOOD_NET_HTTP_CODEC_H

#include "net/http.h"

#include <memory>
#include <string>
#include <string_view>

namespace pistachiowood {

/// Incremental parser state of one message.
enum class ParseState { NeedMore, Complete, HeaderTooLarge, BodyTooLarge, Malformed };

/// Parses the requests of one connection, one after the other (Boost.Beast).
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const HttpLimits &limits);
    ~HttpRequestParser();

    /// Consumes bytes from the front of the input.
    ParseState parse(std::string &input);
    /// Valid after Complete; resets the parser for the next request.
    HttpRequest takeRequest();
    bool keepAlive() const;
    bool started() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

/// Parses the responses of one connection, one after the other (Boost.Beast).
class HttpResponseParser
{
public:
    HttpResponseParser();
    ~HttpResponseParser();

    ParseState parse(std::string &input);
    HttpResponse takeResponse();
    bool keepAlive() const;
    void reset();

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

std::string encodeRequest(const HttpRequest &request, const SocketAddress &host);
std::string encodeResponse(const HttpResponse &response, bool keepAlive);

} // namespace pistachiowood

#endif
