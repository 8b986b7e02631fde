#ifndef PISTACHIOWOOD_MEMBERSHIP_OWNER_TABLE_H
#define PISTACHIOWOOD_MEMBERSHIP_OWNER_TABLE_H

#include "configuration/objects.h"
#include "membership/membership.h"

#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace pistachiowood {

/// Daemons per service that monitor its primary. Two in different zones must agree on a failure,
/// and the third replaces either of them. One in each of six zones would double the probes.
inline constexpr std::size_t maxResponsibleDaemons = 3;

/// Assigns endpoints and services to daemons by rendezvous hashing over the eligible members, so
/// that daemons with the same member list agree and the loss of a member reassigns only what it
/// had.
///
/// Alive and suspect members are eligible; leaving and dead ones are not. Suspect ones are included
/// because most suspicions are refuted, and each move of an endpoint reopens its connections.
class OwnerTable
{
public:
    /// Replaces the member list. Keeps cached results that the difference cannot affect, because
    /// computing all of them for 1,900 services and 800 members takes about 0.2 s.
    void update(const std::vector<MemberRecord> &members);

    /// Increases when the eligible members change.
    std::uint64_t version() const { return version_; }

    /// Daemon that owns the endpoint's connections: an eligible member of the endpoint's zone, else
    /// of its region, else any. Empty only if there is no eligible member.
    std::optional<VmId> endpointOwner(const EndpointSpec &endpoint);

    /// Up to maxResponsibleDaemons daemons in different zones, and in different regions as far as
    /// possible, by rank: the index in the result. Ranks are hashed per service, which spreads rank
    /// 0 over the zones.
    const std::vector<VmId> &responsibleDaemons(const ServiceName &service);

private:
    struct Candidate
    {
        VmId id;
        ZoneName zone;
        RegionName region;

        friend bool operator==(const Candidate &, const Candidate &) = default;
    };

    struct Owner
    {
        VmId id;
        std::pair<int, std::uint64_t> rating; ///< locality first, then rendezvous score
    };
    using EndpointKey = std::tuple<EndpointId, ZoneName, RegionName>;

    static std::pair<int, std::uint64_t> computeRating(const EndpointKey &endpoint,
                                                       const Candidate &candidate);
    void dropResultsOf(const std::vector<Candidate> &lost);
    void applyAdded(const Candidate &candidate, bool isNewZone);

    std::vector<Candidate> candidates_;
    std::uint64_t version_ = 0;
    std::map<EndpointKey, Owner> owners_;
    std::map<ServiceName, std::vector<VmId>> responsible_;
};

} // namespace pistachiowood

#endif
