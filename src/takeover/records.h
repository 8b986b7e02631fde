#ifndef PISTACHIOWOOD_TAKEOVER_RECORDS_H
#define PISTACHIOWOOD_TAKEOVER_RECORDS_H

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <optional>
#include <string>

namespace pistachiowood {

/// Primary of a service that all daemons use, or the announcement that it is being replaced.
struct PrimaryRecord
{
    ServiceName service;
    EndpointId primary; ///< while replacing: the old primary
    bool replacing = false;
    VmId changedBy;
    std::uint64_t attempt = 0; ///< distinguishes announcements of one daemon

    friend bool operator==(const PrimaryRecord &, const PrimaryRecord &) = default;
};

/// Holder of the promotion lease, which permits one daemon to request promotions, and its fencing
/// token.
struct PromotionLeaseRecord
{
    VmId holder;
    std::uint64_t fencingToken = 0;
    std::uint64_t renewal = 0; ///< incremented with each renewal

    friend bool operator==(const PromotionLeaseRecord &, const PromotionLeaseRecord &) = default;
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
};

std::string primaryRecordName(const ServiceName &service);
std::string daemonRecordName(const VmId &vm);
std::string promotionLeaseRecordName();

/// Kind of a record, as its name tells.
enum class RecordKind { Primary, Member, PromotionLease, Other };
RecordKind recordKindOf(const std::string &name);

std::string encodePrimaryRecord(const PrimaryRecord &record);
std::string encodePromotionLeaseRecord(const PromotionLeaseRecord &record);
std::string encodeDaemonRecord(const DaemonRecord &record);
Result<PrimaryRecord> decodePrimaryRecord(const std::string &text);
Result<PromotionLeaseRecord> decodePromotionLeaseRecord(const std::string &text);
Result<DaemonRecord> decodeDaemonRecord(const std::string &text);

} // namespace pistachiowood

#endif
