#ifndef PISTACHIOWOOD_PISTACHIOCTL_API_CLIENT_H
#define PISTACHIOWOOD_PISTACHIOCTL_API_CLIENT_H

#include "net/http.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiowood::ctl {

/// Sends one request at a time to a daemon's administration port.
class ApiClient
{
public:
    ApiClient(SocketAddress server, std::string token);

    HttpOutcome call(HttpRequest request, Milliseconds timeout);

private:
    EventLoop loop_;
    HttpConnection connection_;
    std::string token_;
};

using QueryParameters = std::vector<std::pair<std::string, std::string>>;

/// Path below /v1 with percent-encoded segments and query.
std::string makeTarget(const std::vector<std::string> &segments, const QueryParameters &query);

} // namespace pistachiowood::ctl

#endif
