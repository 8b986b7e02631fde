#ifndef PISTACHIOWOOD_CONFIGURATION_PLATFORM_CLIENT_H
#define PISTACHIOWOOD_CONFIGURATION_PLATFORM_CLIENT_H

#include "configuration/change_tracker.h"
#include "configuration/configuration_feed.h"
#include "net/http.h"

#include <functional>
#include <memory>

namespace pistachiowood {

/// One entry of the platform's VM list, which lags behind the actual state of the VMs.
struct PlatformVm
{
    VmId vm;
    SocketAddress control; ///< RPC address for control messages; port 0 if not listed
    ZoneName zone;
    RegionName region;
    bool leaving = false;
};

/// HTTP client of the platform's object API. Hides its wire format from the other classes.
class PlatformClient
{
public:
    using ListCallback = std::function<void(ConfigurationFeed::ListOutcome)>;
    using WatchCallback = std::function<void(ConfigurationFeed::WatchOutcome)>;
    using PutCallback = std::function<void(ChangeTracker::PutOutcome)>;
    using ReadCallback = std::function<void(ChangeTracker::ReadOutcome)>;
    using VmsCallback = std::function<void(std::variant<std::vector<PlatformVm>, Error>)>;

    PlatformClient(EventLoop &loop, SocketAddress address);
    ~PlatformClient();

    void list(Milliseconds timeout, ListCallback callback);
    void watch(ResourceVersion from, Milliseconds wait, Milliseconds timeout,
               WatchCallback callback);
    /// Puts or deletes an object. Unavailable means that the change was not carried out.
    void change(const PutObject &command, PutCallback callback);
    void read(const ReadObject &command, ReadCallback callback);
    void listVms(Milliseconds timeout, VmsCallback callback);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
