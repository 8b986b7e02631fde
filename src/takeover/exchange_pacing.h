#ifndef PISTACHIOWOOD_TAKEOVER_EXCHANGE_PACING_H
#define PISTACHIOWOOD_TAKEOVER_EXCHANGE_PACING_H

#include "takeover/link_traffic.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace pistachiowood {

/// Copies by urgency. Reports have no limit: they are small, and they renew permissions.
enum class CopyUrgency {
    RecordChanges, ///< without them, reports can't renew the permission of the receiver
    Configuration,
    Rest
};

/// Where a peer is, seen from a daemon that lacks something.
enum class CopySource { RegionConfirmer, RegionMember, OtherRegion };

/// Bounds the traffic between the daemons of a large fleet: how often a daemon asks, how long it
/// waits, from whom it accepts copies, and which copies it sends. Performs no I/O. Load patterns:
/// - the store drops its history, and all daemons need whole copies at once;
/// - a part of the fleet is cut off and comes back with old copies, at a time when others ask too;
/// - a link is full, and answers arrive after their timeout;
/// - the peer that serves copies is lost or has no bytes left for them.
class ExchangePacing
{
public:
    /// Copies up to this size also go to peers that accept none from this daemon: the size of ten
    /// changed records, no more than three reports.
    static constexpr std::size_t smallCopyBytes = 4096;

    /// Peers that are known to hold what this daemon lacks.
    struct Holders
    {
        bool confirmer = false; ///< a confirmer of this daemon's region
        bool region = false; ///< any daemon of the region
        bool anywhere = false;
    };

    ExchangePacing();

    /// Rate of this VM's link; unset if the settings have none.
    void setLinkRate(std::optional<unsigned> megabitsPerSecond);
    /// Number of daemons that share the link to the other regions with this one, itself included.
    void setRegionMembers(std::size_t count);

    /// Time after which an exchange counts as unanswered.
    Milliseconds timeout() const;
    /// Interval of exchanges whose usual interval is given.
    Milliseconds interval(Milliseconds usual) const { return usual * (1 << level_); }
    /// Time from the last attempt until a peer that left `failures` exchanges unanswered may be
    /// asked again where another peer would do as well.
    static Milliseconds retryDelay(unsigned failures);
    /// Notes the end of an exchange. Returns whether exchanges are slowed down now, if that has
    /// changed.
    std::optional<bool> noteEnd(ExchangeEnd end, TimePoint now);

    /// Whether a request to a peer there shall accept copies: only one does at a time. `collects`
    /// tells whether this daemon fetches from other regions for its own one.
    bool acceptsCopies(CopySource source, const Holders &holders, bool collects,
                       TimePoint now) const;
    /// Notes a request that accepts copies.
    void noteCopiesRequested(TimePoint now) { requestedUntil_ = now + timeout(); }
    /// Notes the answer to such a request. `stillBehind` tells that it held no copy although the
    /// peer has what this daemon lacks: then others of the region may be asked.
    void noteCopiesAnswered(bool stillBehind);
    /// Whether copies should be asked for of others than confirmers.
    bool asksRegionMembers() const { return refused_; }
    /// Notes whether any peer has what this daemon lacks.
    void noteBehind(bool behind, TimePoint now);

    /// Whether to send that copy of a group now; if so, its bytes count as sent. The `version`
    /// identifies the sender's state of the group.
    bool takeCopy(const VmId &peer, bool otherRegion, std::size_t group, std::uint64_t version,
                  CopyUrgency urgency, std::size_t bytes, TimePoint now);
    /// Forgets the peers that do not meet the condition.
    void retainPeers(const std::function<bool(const VmId &peer)> &condition)
    {
        std::erase_if(given_, [&](const auto &entry) { return !condition(entry.first); });
    }

private:
    /// Bytes that may be sent over a link; a negative number is a debt of a copy sent already.
    struct Budget
    {
        double bytesPerSecond = 0;
        double available = 0;
        TimePoint updatedAt{};

        void setRate(double rate);
        void refill(TimePoint now);
        bool admits(CopyUrgency urgency) const;
        void take(CopyUrgency urgency, std::size_t bytes);
    };
    /// Copy of a group that a peer was sent last.
    struct Given
    {
        std::uint64_t version = 0;
        unsigned times = 0; ///< times that this version was sent
        TimePoint at{};
    };

    unsigned level_ = 0; ///< timeouts and intervals are doubled that often
    TimePoint windowStart_{};
    std::array<unsigned, 3> windowEnds_{}; ///< indexed by ExchangeEnd
    TimePoint requestedUntil_{}; ///< a request that accepts copies is in flight until then
    bool refused_ = false; ///< see noteCopiesAnswered()
    std::optional<TimePoint> behindSince_;
    Budget ownLink_;
    Budget regionLink_; ///< this daemon's part of the link to the other regions
    std::map<VmId, std::map<std::size_t, Given>> given_; ///< by peer and group
};

} // namespace pistachiowood

#endif
