#include "takeover/records.h"

#include "base/address.h"
#include "base/json.h"

namespace pistachiowood {

namespace {

constexpr std::string_view servicePrefix = "service-";
constexpr std::string_view memberPrefix = "member-";
constexpr std::string_view promotionLeaseName = "promotion-duty";

} // namespace

std::string primaryRecordName(const ServiceName &service)
{
    return std::string(servicePrefix) + service.value();
}

std::string daemonRecordName(const VmId &vm)
{
    return std::string(memberPrefix) + vm.value();
}

std::string promotionLeaseRecordName()
{
    return std::string(promotionLeaseName);
}

RecordKind recordKindOf(const std::string &name)
{
    if (name.starts_with(servicePrefix))
        return RecordKind::Primary;
    if (name.starts_with(memberPrefix))
        return RecordKind::Member;
    return name == promotionLeaseName ? RecordKind::PromotionLease : RecordKind::Other;
}

std::string encodePrimaryRecord(const PrimaryRecord &record)
{
    return boost::json::serialize(boost::json::object{
        {"service", record.service.value()},
        {"primary", record.primary.value()},
        {"replacing", record.replacing},
        {"changedBy", record.changedBy.value()},
        {"attempt", record.attempt},
    });
}

std::string encodePromotionLeaseRecord(const PromotionLeaseRecord &record)
{
    return boost::json::serialize(boost::json::object{
        {"holder", record.holder.value()},
        {"fencingToken", record.fencingToken},
        {"renewal", record.renewal},
    });
}

std::string encodeDaemonRecord(const DaemonRecord &record)
{
    return boost::json::serialize(boost::json::object{
        {"vm", record.vm.value()},
        {"region", record.region.value()},
        {"zone", record.zone.value()},
        {"address", formatAddress(record.address)},
        {"removed", record.removed},
    });
}

Result<PrimaryRecord> decodePrimaryRecord(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    BOOST_LEAF_AUTO(service, requireString(object, "service"));
    BOOST_LEAF_AUTO(primary, requireString(object, "primary"));
    BOOST_LEAF_AUTO(replacing, optionalBool(object, "replacing"));
    BOOST_LEAF_AUTO(changedBy, requireString(object, "changedBy"));
    BOOST_LEAF_AUTO(attempt, requireUnsigned(object, "attempt"));
    return PrimaryRecord{ServiceName(service), EndpointId(primary), replacing.value_or(false),
                         VmId(changedBy), attempt};
}

Result<PromotionLeaseRecord> decodePromotionLeaseRecord(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    BOOST_LEAF_AUTO(holder, requireString(object, "holder"));
    BOOST_LEAF_AUTO(token, requireUnsigned(object, "fencingToken"));
    BOOST_LEAF_AUTO(renewal, requireUnsigned(object, "renewal"));
    return PromotionLeaseRecord{VmId(holder), token, renewal};
}

Result<DaemonRecord> decodeDaemonRecord(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    BOOST_LEAF_AUTO(vm, requireString(object, "vm"));
    BOOST_LEAF_AUTO(region, requireString(object, "region"));
    BOOST_LEAF_AUTO(zone, optionalString(object, "zone"));
    BOOST_LEAF_AUTO(addressText, requireString(object, "address"));
    BOOST_LEAF_AUTO(address, parsePeerAddress(addressText));
    BOOST_LEAF_AUTO(removed, optionalBool(object, "removed"));
    return DaemonRecord{VmId(vm), RegionName(region), ZoneName(zone.value_or("")), address,
                        removed.value_or(false)};
}

} // namespace pistachiowood
