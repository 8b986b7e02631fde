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

/// In order of precedence at the same incarnation.
enum class MemberState { Alive, Suspect, Leaving, Dead };

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
    std::uint64_t statusDigest = 0; ///< as of the last direct contact

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// Members that apply at least a version, as one bit each in the order of VM ids. It means nothing
/// to a receiver with another roster, which is the set of (id, incarnation) of all members that
/// are not dead. Sending each member's version as an update of its record would need hundreds of
/// records per node and change at 800 members; the bits take 100 bytes.
struct VersionSummary
{
    ResourceVersion version;
    std::uint64_t rosterDigest = 0;
    std::vector<std::uint8_t> bits;
};

/// Content common to all messages.
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

/// Asks the receiver to probe the target and to pass its answer on.
struct PingRequest
{
    std::uint64_t sequence = 0;
    VmId target;
    SocketAddress targetAddress;
    GossipBody body;
};

/// Asks for all members; answered by JoinAnswer.
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

inline constexpr std::size_t maxGossipUpdates = 8;
inline constexpr std::size_t maxMembers = 4096;

struct MembershipOptions
{
    Milliseconds period{1000};
    Milliseconds directTimeout{300}; ///< then through other members until the period ends
    std::size_t indirectProbes = 3;
    Milliseconds suspicion{3000}; ///< at up to 6 members; grows with log2 of their number
    unsigned retryPeriods = 5; ///< one dead member is tried every so many periods
    /// Dead members are kept for longer than regions lose contact (an hour), because probing them
    /// is what joins the two sides again when the platform is down too.
    Milliseconds deadRetention{7200000};
    Milliseconds deadRetentionUnlisted{60000}; ///< when the VM list does not name it either
};

/// SWIM-style membership of one daemon.
///
/// Cost per node and second: one probe sent and, on average, one received, so two messages sent
/// and two received whatever the number of members n. As Cap'n Proto a record takes about 184
/// bytes, a message 200 bytes of RPC and TCP overhead, one record and 16 + n/8 bytes of summary.
/// - 6 members, quiet: 2 x (200 + 184 + 24) = about 0.8 KB/s sent.
/// - 800 members, quiet: 2 x (200 + 184 + 116) = about 1.0 KB/s sent. At 951 restarts a day, three
///   updates each and 29 transmissions per update and node, 1 record/s or 0.2 KB/s more.
/// - Upper bound with all messages full: 2 x 8 x 184 = 2.9 KB/s more, below 4 KB/s in total.
/// Simulated with these sizes (membership_property): 0.8 KB/s for 6 members and 1.3 KB/s for 800
/// while updates from their start still circulate; a version was known to be in force everywhere
/// after 3 s and 8 s.
///
/// A member that answers is never kept dead: whoever considers a member suspect or dead includes
/// that record in each message to it, and the member refutes it with a higher incarnation.
/// Accusations by a sender that is itself suspect or dead are ignored, so a daemon that can send
/// but not receive does not discredit the others.
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
    MembershipCommands handleJoin(TimePoint now, const JoinRequest &request);
    MembershipCommands handleJoinAnswer(TimePoint now, const JoinAnswer &answer);
    MembershipCommands handleVmList(TimePoint now, const std::vector<VmListEntry> &list);
    MembershipCommands tick(TimePoint now);
    TimePoint nextTick() const;

    /// Announces that this daemon is leaving.
    MembershipCommands leave(TimePoint now);
    void setApplied(ResourceVersion version, std::uint64_t statusDigest);

    const MemberRecord &self() const { return self_; }
    /// All members, with this daemon and the dead ones that are still remembered.
    std::vector<MemberRecord> members() const;
    const MemberRecord *find(const VmId &id) const;
    /// Number of members that are not dead, with this daemon.
    std::size_t liveCount() const { return live_ + 1; }
    /// Grows with each change of a member's state, incarnation or presence.
    std::uint64_t rosterVersion() const { return rosterVersion_; }
    /// A version is in force when the lowest applied version of all live members reaches it.
    ResourceVersion lowestAppliedVersion() const;
    ResourceVersion highestAppliedVersion() const;

private:
    struct Member
    {
        MemberRecord record;
        std::optional<TimePoint> deadline; ///< end of suspicion or of remembering
        bool counted = false; ///< in live_
    };
    struct Update
    {
        VmId id;
        unsigned sent = 0;
    };
    struct Probe
    {
        VmId target;
        std::uint64_t sequence = 0;
        TimePoint started;
        bool indirect = false;
        bool answered = false;
    };
    struct Relay
    {
        SocketAddress origin;
        std::uint64_t sequence = 0;
        VmId originId;
        VmId target;
        TimePoint expires;
    };

    bool accept(TimePoint now, const GossipBody &body);
    void merge(TimePoint now, const MemberRecord &record, bool direct, bool trusted);
    void refute(const MemberRecord &claim);
    void setState(TimePoint now, Member &member, MemberState state);
    void queueUpdate(const VmId &id);
    void applySummary(const VersionSummary &summary);
    VersionSummary summarize() const;
    std::vector<const MemberRecord *> roster() const;
    GossipBody makeBody(const VmId &receiver);
    Milliseconds suspicionTimeout() const;
    unsigned transmissionLimit() const;
    std::vector<VmId> pickMembers(std::size_t count, const VmId &except);
    std::optional<VmId> nextTarget();
    Send ping(const VmId &id, const SocketAddress &address, std::uint64_t sequence);
    void expire(TimePoint now);
    void startPeriod(TimePoint now, MembershipCommands &commands);
    void contactMissing(MembershipCommands &commands);
    void contactSuspects(MembershipCommands &commands);
    void contactDead(MembershipCommands &commands);
    void noticePause(TimePoint now);

    MemberRecord self_;
    RandomSource &random_;
    MembershipOptions options_;
    std::map<VmId, Member> members_; ///< without this daemon
    std::size_t live_ = 0;
    std::uint64_t rosterVersion_ = 0;
    mutable std::uint64_t digestVersion_ = UINT64_MAX;
    mutable std::uint64_t rosterDigest_ = 0;
    std::vector<Update> updates_;
    std::vector<VmId> order_; ///< members still to probe in this round
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::vector<VmListEntry> vmList_;
    bool joined_ = false;
    unsigned periods_ = 0;
    std::uint64_t lastSequence_ = 0;
    TimePoint nextPeriod_;
    TimePoint lastTick_;
};

} // namespace pistachiowood

#endif
