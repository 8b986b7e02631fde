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

/// Two daemons in different zones must agree on a failure, and the third stands in for either. A
/// daemon in each of six zones would double the probes.
inline constexpr std::size_t maxResponsible = 3;

/// Assigns endpoints and services to daemons by rendezvous hashing over the live members, so that
/// daemons with the same member list agree and a lost member moves only what it had.
///
/// Leaving and dead members are excluded. Suspect ones are included: most suspicions are refuted,
/// and moving an endpoint back and forth costs connections.
class OwnerTable
{
public:
    /// Replaces the member list. Cached results that the difference cannot affect are kept, since
    /// computing all of them for 1,900 services and 800 members takes about 0.2 s.
    void update(const std::vector<MemberRecord> &members);

    /// Changes with the eligible members.
    std::uint64_t version() const { return version_; }

    /// Owner in the endpoint's zone; if that has no live member, in its region; otherwise in any.
    /// Empty only if there is no eligible member at all.
    std::optional<VmId> endpointOwner(const EndpointSpec &endpoint);

    /// Up to maxResponsible daemons in different zones, and in different regions as far as there
    /// are any. Rank is the place in the result; it differs by service, so that rank 0 spreads over
    /// the zones.
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
        std::pair<int, std::uint64_t> rating;
    };
    using EndpointKey = std::tuple<EndpointId, ZoneName, RegionName>;

    static std::pair<int, std::uint64_t> rate(const EndpointKey &endpoint,
                                              const Candidate &candidate);
    void forgetLost(const std::vector<Candidate> &lost);
    void consider(const Candidate &candidate, bool isNewZone);

    std::vector<Candidate> candidates_;
    std::uint64_t version_ = 0;
    std::map<EndpointKey, Owner> owners_;
    std::map<ServiceName, std::vector<VmId>> responsible_;
};

} // namespace pistachiowood

#endif
