#ifndef LOADGEN_CALLER_H
#define LOADGEN_CALLER_H

#include "loadgen/history.h"
#include "net/http.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachiowood::loadgen {

boost::json::object readStatement(const std::string &key);
boost::json::object appendStatement(const std::string &key, const std::string &value);

/// Sends the requests of one session, one at a time, over one connection per daemon.
class Caller
{
public:
    using Callback = std::function<void(Answer)>;

    Caller(EventLoop &loop, const std::vector<SocketAddress> &daemons, Milliseconds deadline);

    /// Posts to /v1/services/{service}/{operation}, with the deadline added to the body.
    void post(std::size_t daemon, const std::string &service, const std::string &operation,
              boost::json::object body, Callback callback);

private:
    EventLoop &loop_;
    const std::vector<SocketAddress> &daemons_;
    Milliseconds deadline_;
    std::map<std::size_t, std::unique_ptr<HttpConnection>> connections_;
};

} // namespace pistachiowood::loadgen

#endif
