#include "takeover/records.h"

#include "base/address.h"
#include "base/json.h"

namespace pistachiowood {

namespace {

constexpr std::string_view servicePrefix = "service-";
constexpr std::string_view memberPrefix = "member-";
constexpr std::string_view promotionLeaseName = "promotion-duty";
constexpr std::string_view recoveredEraName = "recovered-era";

Result<std::optional<std::uint64_t>> optionalCount(const boost::json::object &object,
                                                   std::string_view field)
{
    BOOST_LEAF_AUTO(count, optionalUnsigned(object, field));
    if (count.value_or(0) > maxRecordCount)
        return makeError(ErrorCode::InvalidArgument,
                         "field \"" + std::string(field) + "\" is out of range");
    return count;
}

Result<std::uint64_t> requireCount(const boost::json::object &object, std::string_view field)
{
    BOOST_LEAF_AUTO(count, optionalCount(object, field));
    if (!count)
        return makeError(ErrorCode::InvalidArgument,
                         "field \"" + std::string(field) + "\" is missing");
    return *count;
}

// Unset in records of earlier versions.
Result<std::optional<TermInForce>> decodeTermInForce(const boost::json::object &object)
{
    BOOST_LEAF_AUTO(term, optionalCount(object, "term"));
    BOOST_LEAF_AUTO(positionTerm, optionalCount(object, "positionTerm"));
    BOOST_LEAF_AUTO(position, optionalCount(object, "position"));
    if (!term)
        return std::nullopt;
    return TermInForce{Term(*term),
                       {Term(positionTerm.value_or(0)), LogPosition(position.value_or(0))}};
}

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

std::string recoveredEraRecordName()
{
    return std::string(recoveredEraName);
}

ServiceName serviceOfPrimaryRecord(const std::string &name)
{
    return ServiceName(name.substr(servicePrefix.size()));
}

RecordKind recordKindOf(const std::string &name)
{
    if (name.starts_with(servicePrefix))
        return RecordKind::Primary;
    if (name.starts_with(memberPrefix))
        return RecordKind::Member;
    if (name == promotionLeaseName)
        return RecordKind::PromotionLease;
    return name == recoveredEraName ? RecordKind::RecoveredEra : RecordKind::Other;
}

std::uint64_t recordGeneration(const std::string &text)
{
    const auto generation = capture([&]() -> Result<std::optional<std::uint64_t>> {
        BOOST_LEAF_AUTO(object, parseJsonObject(text));
        return optionalCount(object, recordGenerationField);
    });
    const auto *value = std::get_if<std::optional<std::uint64_t>>(&generation);
    return value ? value->value_or(0) : 0;
}

std::string encodePrimaryRecord(const PrimaryRecord &record)
{
    boost::json::object object{
        {"service", record.service.value()}, {"primary", record.primary.value()},
        {"replacing", record.replacing},     {"changedBy", record.changedBy.value()},
        {"attempt", record.attempt},         {recordGenerationField, record.generation},
    };
    if (record.newest) {
        object["term"] = record.newest->term.value();
        object["positionTerm"] = record.newest->position.term.value();
        object["position"] = record.newest->position.number.value();
    }
    return boost::json::serialize(object);
}

std::string encodePromotionLeaseRecord(const PromotionLeaseRecord &record)
{
    return boost::json::serialize(boost::json::object{
        {"holder", record.holder.value()},
        {"fencingToken", record.fencingToken},
        {"renewal", record.renewal},
        {recordGenerationField, record.generation},
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
        {recordGenerationField, record.generation},
    });
}

std::string encodeRecoveredEraRecord(const RecoveredEraRecord &record)
{
    return boost::json::serialize(boost::json::object{
        {"era", record.era.value()},
        {recordGenerationField, record.generation},
    });
}

Result<RecoveredEraRecord> decodeRecoveredEraRecord(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    BOOST_LEAF_AUTO(era, requireCount(object, "era"));
    BOOST_LEAF_AUTO(generation, optionalCount(object, recordGenerationField));
    return RecoveredEraRecord{StoreEra(era), generation.value_or(0)};
}

Result<PrimaryRecord> decodePrimaryRecord(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    BOOST_LEAF_AUTO(service, requireString(object, "service"));
    BOOST_LEAF_AUTO(primary, requireString(object, "primary"));
    BOOST_LEAF_AUTO(replacing, optionalBool(object, "replacing"));
    BOOST_LEAF_AUTO(changedBy, requireString(object, "changedBy"));
    BOOST_LEAF_AUTO(attempt, requireCount(object, "attempt"));
    BOOST_LEAF_AUTO(generation, optionalCount(object, recordGenerationField));
    BOOST_LEAF_AUTO(newest, decodeTermInForce(object));
    return PrimaryRecord{ServiceName(service),
                         EndpointId(primary),
                         replacing.value_or(false),
                         VmId(changedBy),
                         attempt,
                         generation.value_or(0),
                         newest};
}

Result<PromotionLeaseRecord> decodePromotionLeaseRecord(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    BOOST_LEAF_AUTO(holder, requireString(object, "holder"));
    BOOST_LEAF_AUTO(token, requireCount(object, "fencingToken"));
    BOOST_LEAF_AUTO(renewal, requireCount(object, "renewal"));
    BOOST_LEAF_AUTO(generation, optionalCount(object, recordGenerationField));
    return PromotionLeaseRecord{VmId(holder), token, renewal, generation.value_or(0)};
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
    BOOST_LEAF_AUTO(generation, optionalCount(object, recordGenerationField));
    return DaemonRecord{VmId(vm), RegionName(region),      ZoneName(zone.value_or("")),
                        address,  removed.value_or(false), generation.value_or(0)};
}

} // namespace pistachiowood
