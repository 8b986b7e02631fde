#ifndef PISTACHIOWOOD_TAKEOVER_PEER_REPORT_H
#define PISTACHIOWOOD_TAKEOVER_PEER_REPORT_H

#include "gateway/gateway.h"
#include "takeover/platform_store.h"

#include <pistachiowood/log_position.h>

#include <array>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Reachability of one primary, as its sender sees it.
struct PrimaryReport
{
    ServiceName service;
    EndpointId endpoint;
    std::optional<Milliseconds> replyAge; ///< time since its last reply
    std::optional<Milliseconds> failingAge; ///< time since it has stopped replying
    std::uint64_t primaryEpoch = 0; ///< version of the record that made it the primary
    std::optional<TermPosition> position; ///< that it reported
    Milliseconds positionAge{0}; ///< time since it was asked for the position
};

PrimaryReport describePrimary(const PrimaryReachability &evidence, TimePoint now);

/// What a daemon tells a peer of its copies and of the primaries.
struct PeerFacts
{
    VmId vm;
    std::array<ResourceVersion, objectGroupCount> versions;
    ResourceVersion obeyedRecords; ///< version of the records that the sender's traffic obeys
    std::optional<Milliseconds> confirmedAge; ///< since its records were known to be complete
    std::optional<Milliseconds> storeConfirmedAge; ///< the same by the store, not by promises
    std::vector<PrimaryReport> primaries;
};

/// One message between daemons. The answer holds copies of the groups of which the asking daemon
/// has an older version.
struct PeerReport : PeerFacts
{
    bool promise = false; ///< asked for, or given: no replacement is announced for a while
    bool wantsConfiguration = false; ///< the answer shall hold it even if it is large
    std::vector<GroupCopy> copies;
};

/// Exchanges reports with other daemons; callbacks run in the control thread.
class PeerChannel
{
public:
    using Callback = std::function<void(std::variant<PeerReport, Error>)>;

    virtual ~PeerChannel() = default;
    virtual void exchange(const SocketAddress &peer, const PeerReport &report, Milliseconds timeout,
                          Callback callback) = 0;
};

} // namespace pistachiowood

#endif
