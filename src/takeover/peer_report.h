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

/// Reachability of one primary as the sender of the report sees it.
struct PrimaryReport
{
    ServiceName service;
    EndpointId endpoint;
    std::optional<Milliseconds> replyAge; ///< time since its last reply
    std::optional<Milliseconds> failingAge; ///< time since it stopped replying
    std::uint64_t primaryEpoch = 0; ///< version of the record that made it the primary
    std::optional<TermPosition> position; ///< newest position that it reported
    Milliseconds positionAge{0}; ///< time since that position was requested
};

PrimaryReport describePrimary(const PrimaryReachability &evidence, TimePoint now);

/// States of a daemon's copies, age of its confirmations, and reachability of the primaries.
struct PeerStatus
{
    VmId vm;
    std::array<ReplicaState, objectGroupCount> replicas;
    StoreVersion appliedRecords; ///< version that the sender's traffic thread has applied
    std::optional<Milliseconds> confirmedAge; ///< time since its records were known to be complete
    /// The same, counting the store's answers only. Unset until the store has confirmed the records
    /// since the sender's process was started: it may lack what its former process acknowledged.
    std::optional<Milliseconds> storeConfirmedAge;
    /// Newest era of the store of which the sender, in this run and as a member, held the complete
    /// records; 0 if there is none.
    StoreEra confirmedEra;
    std::vector<PrimaryReport> primaries;
};

/// Message between daemons, used as request and as answer. The answer holds copies of the groups of
/// which the requesting daemon has an older version.
struct PeerReport : PeerStatus
{
    /// Request: asks for a promise. Answer: the sender announces no replacement for
    /// PrimaryPermission::lifetime.
    bool promise = false;
    /// The answer shall hold the groups whole if they are of a later era than the sender's.
    bool wantsEra = false;
    /// These groups shall leave out no object.
    bool wantsWhole = false;
    bool wantsConfiguration = false; ///< the answer shall hold it even if it is large
    /// Apart from these, the answer shall hold small copies only.
    bool declinesCopies = false;
    std::vector<GroupCopy> copies;
};

/// Exchanges reports with other daemons; callbacks run in the control thread.
class PeerChannel
{
public:
    /// Runs with an error once the timeout has passed, and again with the answer if it still
    /// arrives.
    using Callback = std::function<void(std::variant<PeerReport, Error>)>;

    virtual ~PeerChannel() = default;
    virtual void exchange(const SocketAddress &peer, const PeerReport &report, Milliseconds timeout,
                          Callback callback) = 0;
};

} // namespace pistachiowood

#endif
