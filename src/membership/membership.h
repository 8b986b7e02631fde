#ifndef PISTACHIOWOOD_MEMBERSHIP_MEMBERSHIP_H
#define PISTACHIOWOOD_MEMBERSHIP_MEMBERSHIP_H

#include "base/random.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pistachiowood {

/// States of a member. Of two records with the same incarnation, the later state in this order
/// takes precedence.
enum class MemberState { Alive, Suspect, Leaving, Dead };

/// Gossiped record of one daemon.
struct MemberRecord
{
    VmId id;
    ZoneName zone;
    RegionName region;
    SocketAddress control; ///< RPC for control messages
    SocketAddress traffic; ///< RPC for forwarded statements
    SocketAddress admin;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
    ResourceVersion appliedVersion;
    std::uint64_t statusDigest = 0; ///< updated by messages from the member itself only

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// Tells which members have applied at least a version, with one bit per member in the order of VM
/// ids. The bits refer to the sender's roster, the set of (id, incarnation) of all members that are
/// not dead; receivers with another roster ignore them. Sending each member's version as an update
/// of its record would need hundreds of records per daemon and change at 800 members; the bits take
/// 100 bytes.
struct VersionSummary
{
    ResourceVersion version;
    std::uint64_t rosterDigest = 0;
    std::vector<std::uint8_t> bits;
};

/// Part that all messages have.
struct GossipBody
{
    MemberRecord sender;
    std::vector<MemberRecord> updates; ///< at most maxGossipUpdates
    VersionSummary versions;
};

struct Ping
{
    std::uint64_t sequence = 0;
    GossipBody body;
};

struct Ack
{
    std::uint64_t sequence = 0;
    VmId responder; ///< member that answered; differs from the sender after an indirect probe
    GossipBody body;
};

/// Asks the receiver to ping the target and to forward the target's answer to the sender.
struct PingRequest
{
    std::uint64_t sequence = 0;
    VmId target;
    SocketAddress targetAddress;
    GossipBody body;
};

/// Asks for the full member list; answered by JoinAnswer.
struct JoinRequest
{
    GossipBody body;
};

struct JoinAnswer
{
    GossipBody body;
    std::vector<MemberRecord> members;
};

using GossipMessage = std::variant<Ping, Ack, PingRequest, JoinRequest, JoinAnswer>;

/// Sends the message once, without waiting for an answer.
struct Send
{
    SocketAddress to;
    GossipMessage message;
};
using MembershipCommands = std::vector<Send>;

/// One entry of the platform's VM list.
struct VmListEntry
{
    VmId id;
    SocketAddress control;
};

/// Records per message besides the sender's own.
inline constexpr std::size_t maxGossipUpdates = 8;
inline constexpr std::size_t maxMembers = 4096;

/// Timing of probes and of failure detection.
struct MembershipOptions
{
    Milliseconds protocolPeriod{1000}; ///< SWIM protocol period: one member is probed per period
    Milliseconds directProbeTimeout{300}; ///< indirect probes are sent when it has passed
    std::size_t indirectProbeCount = 3; ///< members asked to probe an unresponsive one
    /// Time until a suspect counts as dead, for up to 6 live members; grows with log2 of their
    /// number.
    Milliseconds baseSuspicionTimeout{3000};
    unsigned deadProbePeriods = 5; ///< periods between pings of a random dead member
    /// Time that dead members are kept and pinged. Exceeds the longest expected loss of contact
    /// between regions (one hour), because these pings rejoin the two sides of a partition when the
    /// platform is unavailable too.
    Milliseconds deadRetention{7200000};
    Milliseconds unlistedDeadRetention{60000}; ///< of dead members that are not in the VM list
};

/// SWIM-style membership protocol of one daemon. It has no I/O of its own: its functions return the
/// messages to send.
///
/// Traffic per daemon and second: one probe sent and, on average, one received, so two messages
/// sent and two received, independent of the number of members n. Encoded as Cap'n Proto, a record
/// takes about 184 bytes, and a message has 200 bytes of RPC and TCP overhead, one record and
/// 16 + n/8 bytes of version summary.
/// - 6 members without changes: 2 x (200 + 184 + 24) = about 0.8 KB/s sent.
/// - 800 members without changes: 2 x (200 + 184 + 116) = about 1.0 KB/s sent. 951 restarts a day,
///   with three updates each and 29 transmissions per update and daemon, add 1 record/s or
///   0.2 KB/s.
/// - Upper bound with all messages full: 2 x 8 x 184 = 2.9 KB/s more, below 4 KB/s in total.
/// The simulation with these sizes (membership_property) gives 0.8 KB/s for 6 members and 1.3 KB/s
/// for 800 while updates from their start still circulate; all members know that a version is in
/// force after 3 s and 8 s.
///
/// A member that answers does not stay dead: each message to a member that the sender considers
/// suspect or dead includes that record, and the member refutes it with a higher incarnation.
/// Suspect and dead records from a sender that is itself suspect or dead are ignored, so a daemon
/// that can send but not receive cannot mark the others as failed.
class Membership
{
public:
    /// The incarnation of `self` is its wall-clock start time in microseconds, so that a restart
    /// under the same VM id counts as newer.
    Membership(MemberRecord self, RandomSource &random, TimePoint now,
               MembershipOptions options = {});

    MembershipCommands handle(TimePoint now, const GossipMessage &message);
    MembershipCommands handlePing(TimePoint now, const Ping &ping);
    MembershipCommands handleAck(TimePoint now, const Ack &ack);
    MembershipCommands handlePingRequest(TimePoint now, const PingRequest &request);
    MembershipCommands handleJoinRequest(TimePoint now, const JoinRequest &request);
    MembershipCommands handleJoinAnswer(TimePoint now, const JoinAnswer &answer);
    MembershipCommands handleVmList(TimePoint now, const std::vector<VmListEntry> &list);
    /// Returns the probes that are due and ends suspicions and retentions whose time has passed.
    MembershipCommands tick(TimePoint now);
    TimePoint nextTick() const;

    /// Marks this daemon as leaving and announces it to some members.
    MembershipCommands leave(TimePoint now);
    /// Sets the configuration version and the status digest that this daemon gossips.
    void setAppliedConfiguration(ResourceVersion version, std::uint64_t statusDigest);

    const MemberRecord &self() const { return self_; }
    /// All members, including this daemon and the dead members that are still kept.
    std::vector<MemberRecord> members() const;
    const MemberRecord *find(const VmId &id) const;
    /// Number of members that are not dead, including this daemon.
    std::size_t liveCount() const { return liveMemberCount_ + 1; }
    /// Increases when a member is added or removed or changes its state or incarnation.
    std::uint64_t rosterVersion() const { return rosterVersion_; }
    /// A version is in force when the lowest applied version of all live members reaches it.
    ResourceVersion lowestAppliedVersion() const;
    ResourceVersion highestAppliedVersion() const;

private:
    struct Member
    {
        MemberRecord record;
        std::optional<TimePoint> deadline; ///< when a suspect or unresponsive leaving member counts
                                           ///< as dead, or a dead one is removed
        bool countedLive = false; ///< in liveMemberCount_
    };
    /// Change of a member that is still to be gossiped.
    struct Update
    {
        VmId id;
        unsigned transmissions = 0;
    };
    struct Probe
    {
        VmId target;
        std::uint64_t sequence = 0;
        TimePoint started;
        bool indirect = false;
        bool answered = false;
    };
    /// Indirect probe that this daemon makes for another member.
    struct Relay
    {
        SocketAddress origin;
        std::uint64_t sequence = 0; ///< of the origin's request
        VmId originId;
        VmId target;
        TimePoint expires;
    };

    bool applyBody(TimePoint now, const GossipBody &body);
    void mergeRecord(TimePoint now, const MemberRecord &record, bool isSenderRecord,
                     bool isSenderTrusted);
    void refute(const MemberRecord &record);
    void setState(TimePoint now, Member &member, MemberState state);
    void queueUpdate(const VmId &id);
    void applySummary(const VersionSummary &summary);
    VersionSummary summarize() const;
    std::vector<const MemberRecord *> roster() const;
    GossipBody makeBody(const VmId &receiver);
    Milliseconds suspicionTimeout() const;
    unsigned transmissionLimit() const;
    std::vector<VmId> pickRandomMembers(std::size_t count, const VmId &except);
    std::optional<VmId> nextProbeTarget();
    Send ping(const VmId &id, const SocketAddress &address, std::uint64_t sequence);
    void expireDeadlines(TimePoint now);
    void startPeriod(TimePoint now, MembershipCommands &commands);
    void sendJoinRequests(MembershipCommands &commands);
    void pingSuspects(MembershipCommands &commands);
    void pingDeadMember(MembershipCommands &commands);
    void compensateForPause(TimePoint now);

    MemberRecord self_;
    RandomSource &random_;
    MembershipOptions options_;
    std::map<VmId, Member> members_; ///< without this daemon
    std::size_t liveMemberCount_ = 0; ///< entries of members_ that are not dead
    std::uint64_t rosterVersion_ = 0;
    mutable std::uint64_t rosterDigestVersion_ = UINT64_MAX; ///< roster version of rosterDigest_
    mutable std::uint64_t rosterDigest_ = 0;
    std::vector<Update> updates_;
    std::vector<VmId> probeOrder_; ///< members not yet probed in this round, next one last
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::vector<VmListEntry> vmList_;
    bool joined_ = false;
    unsigned periodCount_ = 0;
    std::uint64_t lastSequence_ = 0;
    TimePoint nextPeriod_;
    TimePoint lastTick_;
};

} // namespace pistachiowood

#endif
