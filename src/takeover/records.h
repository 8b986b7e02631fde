#ifndef PISTACHIOWOOD_TAKEOVER_RECORDS_H
#define PISTACHIOWOOD_TAKEOVER_RECORDS_H

#include "takeover/store_version.h"
#include "takeover/term_in_force.h"

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowood {

/// Field of every record that holds its generation: the number of changes of the record so far.
inline constexpr std::string_view recordGenerationField = "generation";

/// Primary of a service that all daemons use, or the announcement that it is being replaced.
struct PrimaryRecord
{
    ServiceName service;
    EndpointId primary; ///< while replacing: the old primary
    bool replacing = false;
    VmId changedBy;
    std::uint64_t attempt = 0; ///< distinguishes announcements of one daemon
    std::uint64_t generation = 0;
    /// Newest term in force that the writer knew; unset in records of earlier versions and in the
    /// first record of a service.
    std::optional<TermInForce> newest;

    friend bool operator==(const PrimaryRecord &, const PrimaryRecord &) = default;
};

/// Holder of the promotion lease, which permits one daemon to request promotions, and its fencing
/// token.
struct PromotionLeaseRecord
{
    VmId holder; ///< empty if the lease is free
    std::uint64_t fencingToken = 0;
    std::uint64_t renewal = 0; ///< incremented with each renewal
    std::uint64_t generation = 0;

    friend bool operator==(const PromotionLeaseRecord &, const PromotionLeaseRecord &) = default;
};

/// Tells that the records are complete: what the store lost when its era began has been written
/// again, as far as the daemons knew it.
struct RecoveredEraRecord
{
    StoreEra era;
    std::uint64_t generation = 0;
};

/// Member record: one daemon and the address at which its peers reach it.
struct DaemonRecord
{
    VmId vm;
    RegionName region;
    ZoneName zone; ///< empty in records of earlier versions
    SocketAddress address;
    /// No longer a member, after its loss. The record stays until every permission of the daemon
    /// has expired.
    bool removed = false;
    std::uint64_t generation = 0;
};

std::string primaryRecordName(const ServiceName &service);
std::string daemonRecordName(const VmId &vm);
std::string promotionLeaseRecordName();
std::string recoveredEraRecordName();

/// Kind of a record, as its name tells.
enum class RecordKind { Primary, Member, PromotionLease, RecoveredEra, Other };
RecordKind recordKindOf(const std::string &name);
/// Service of the primary record of that name.
ServiceName serviceOfPrimaryRecord(const std::string &name);
/// Generation in the text of any record; 0 if there is none or it is out of range.
std::uint64_t recordGeneration(const std::string &text);

/// Counts in records are incremented for good, so those beyond this are not of a daemon. JSON
/// numbers hold every count up to it.
inline constexpr std::uint64_t maxRecordCount = std::uint64_t{1} << 53;

std::string encodePrimaryRecord(const PrimaryRecord &record);
std::string encodePromotionLeaseRecord(const PromotionLeaseRecord &record);
std::string encodeDaemonRecord(const DaemonRecord &record);
std::string encodeRecoveredEraRecord(const RecoveredEraRecord &record);
/// Fail if a field is missing or of another type, or a count is beyond maxRecordCount.
Result<PrimaryRecord> decodePrimaryRecord(const std::string &text);
Result<PromotionLeaseRecord> decodePromotionLeaseRecord(const std::string &text);
Result<DaemonRecord> decodeDaemonRecord(const std::string &text);
Result<RecoveredEraRecord> decodeRecoveredEraRecord(const std::string &text);

} // namespace pistachiowood

#endif
