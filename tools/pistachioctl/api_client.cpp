#include "pistachioctl/api_client.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace pistachiowood::ctl {

namespace {

std::string encodeText(const std::string &text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

} // namespace

ApiClient::ApiClient(SocketAddress server, std::string token)
    : connection_(loop_, std::move(server))
    , token_(std::move(token))
{
}

HttpOutcome ApiClient::call(HttpRequest request, Milliseconds timeout)
{
    HttpOutcome result;
    request.bearer = token_;
    connection_.send(std::move(request), timeout, [this, &result](HttpOutcome outcome) {
        result = std::move(outcome);
        loop_.stop();
    });
    loop_.run();
    return result;
}

std::string makeTarget(const std::vector<std::string> &segments, const QueryParameters &query)
{
    std::string target = "/v1";
    for (const std::string &segment : segments)
        target += "/" + encodeText(segment);
    char separator = '?';
    for (const auto &[name, value] : query) {
        target += separator + name + "=" + encodeText(value);
        separator = '&';
    }
    return target;
}

} // namespace pistachiowood::ctl
