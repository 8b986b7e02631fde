#include "burn/snapshot_codec.h"

#include "base/json.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <limits>
#include <set>

namespace pistachiowood {

namespace json = boost::json;

namespace {

constexpr std::uint64_t codecVersion = 1;
constexpr std::size_t maxNameBytes = 253; // longest DNS name; platform names follow it
constexpr std::uint64_t maxUptimeMs = 100ULL * 366 * 86400 * 1000; // 100 years
constexpr std::uint64_t maxBoundMs = 86400000; // limit of the object model, one day
constexpr double minShare = 0.5; // limits of the object model; 1 would leave no error budget
constexpr double maxShare = 0.99999;

// Order of the counters in a bucket, after its age.
constexpr std::array bucketCounters{
    &BurnBucket::total,        &BurnBucket::failed, &BurnBucket::slow,
    &BurnBucket::replicaReads, &BurnBucket::stale,  &BurnBucket::longestGapMs,
};

json::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

template <typename Range>
json::array encodeNumbers(const Range &numbers)
{
    json::array array;
    for (const auto number : numbers)
        array.emplace_back(number);
    return array;
}

json::object encodeHistogram(const DurationHistogram &histogram)
{
    return {{"counts", encodeNumbers(histogram.counts)}, {"sum_s", histogram.sumSeconds}};
}

template <typename BucketAt>
json::array encodeBuckets(std::size_t count, BucketAt bucketAt)
{
    json::array buckets;
    for (std::size_t age = 0; age < count; ++age) {
        const BurnBucket &bucket = bucketAt(age);
        if (bucket == BurnBucket{})
            continue;
        json::array numbers{age};
        for (const auto counter : bucketCounters)
            numbers.emplace_back(bucket.*counter);
        buckets.emplace_back(std::move(numbers));
    }
    return buckets;
}

json::object encodeRecord(const ServiceRecord &record, std::uint64_t minute)
{
    BurnHistory history = record.history;
    history.advance(minute);
    json::object refusals;
    for (std::size_t code = 0; code < errorCodes; ++code) {
        if (record.refusals[code] > 0)
            refusals[view(errorCodeName(static_cast<ErrorCode>(code)))] = record.refusals[code];
    }
    return {
        {"service", record.service.value()},
        {"objectives",
         {{"availability", record.objectives.availability},
          {"latency_ms", record.objectives.latency.count()},
          {"latency_share", record.objectives.latencyShare},
          {"freshness_ms", record.objectives.freshness.count()},
          {"failover_gap_ms", record.objectives.failoverGap.count()}}},
        {"reads", encodeNumbers(record.outcomes[0])},
        {"writes", encodeNumbers(record.outcomes[1])},
        {"refusals", std::move(refusals)},
        {"read_latency", encodeHistogram(record.latency[0])},
        {"write_latency", encodeHistogram(record.latency[1])},
        {"replica_age", encodeHistogram(record.replicaAge)},
        {"replica_reads", record.replicaReads},
        {"primary_reads", record.primaryReads},
        {"minutes", encodeBuckets(BurnHistory::minuteBuckets,
                                  [&](std::size_t age) -> const BurnBucket & {
                                      return history.minuteAt(age);
                                  })},
        {"hours",
         encodeBuckets(BurnHistory::hourBuckets,
                       [&](std::size_t age) -> const BurnBucket & { return history.hourAt(age); })},
    };
}

boost::leaf::error_id invalid(std::string_view field, std::string_view expected)
{
    return makeError(ErrorCode::InvalidArgument, "snapshot field \"" + std::string(field)
                                                     + "\" must be " + std::string(expected));
}

/// Refuses a field that is unknown, so that a newer format is not read as if it were this one.
Result<void> checkFields(const json::object &object, std::initializer_list<std::string_view> known)
{
    for (const auto &field : object) {
        const std::string_view name(field.key().data(), field.key().size());
        if (std::find(known.begin(), known.end(), name) == known.end())
            return makeError(ErrorCode::InvalidArgument,
                             "unknown snapshot field \"" + std::string(name.substr(0, maxNameBytes))
                                 + "\"");
    }
    return {};
}

Result<std::uint64_t> readNumber(const json::value &value, std::string_view field,
                                 std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max())
{
    json::error_code failure;
    const bool integral = value.is_int64() || value.is_uint64();
    const auto number = integral ? value.to_number<std::uint64_t>(failure) : 0;
    if (!integral || failure || number > maximum)
        return invalid(field, "a whole number up to " + std::to_string(maximum));
    return number;
}

Result<const json::value *> find(const json::object &object, std::string_view field)
{
    if (const json::value *value = object.if_contains(view(field)))
        return value;
    return invalid(field, "present");
}

Result<std::uint64_t>
requireNumber(const json::object &object, std::string_view field,
              std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max())
{
    BOOST_LEAF_AUTO(value, find(object, field));
    return readNumber(*value, field, maximum);
}

Result<double> requireReal(const json::object &object, std::string_view field, double minimum,
                           double maximum)
{
    BOOST_LEAF_AUTO(value, find(object, field));
    json::error_code failure;
    const double number = value->is_number() ? value->to_number<double>(failure) : -1;
    if (!value->is_number() || failure || !(number >= minimum && number <= maximum))
        return invalid(field, "a number from " + std::to_string(minimum) + " to "
                                  + std::to_string(maximum));
    return number;
}

Result<std::string> requireName(const json::object &object, std::string_view field)
{
    BOOST_LEAF_AUTO(name, requireString(object, field));
    if (name.empty() || name.size() > maxNameBytes)
        return invalid(field, "1 to " + std::to_string(maxNameBytes) + " bytes long");
    return name;
}

Result<const json::object *> requireObject(const json::object &object, std::string_view field)
{
    BOOST_LEAF_AUTO(value, find(object, field));
    if (!value->is_object())
        return invalid(field, "an object");
    return &value->as_object();
}

Result<const json::array *> requireArray(const json::object &object, std::string_view field,
                                         std::size_t maxSize)
{
    BOOST_LEAF_AUTO(value, find(object, field));
    if (!value->is_array() || value->as_array().size() > maxSize)
        return invalid(field, "an array of up to " + std::to_string(maxSize) + " elements");
    return &value->as_array();
}

template <typename T, std::size_t size>
Result<void> readNumbers(const json::object &object, std::string_view field,
                         std::array<T, size> &target)
{
    BOOST_LEAF_AUTO(array, requireArray(object, field, size));
    if (array->size() != size)
        return invalid(field, "an array of " + std::to_string(size) + " elements");
    for (std::size_t i = 0; i < size; ++i) {
        BOOST_LEAF_AUTO(number, readNumber((*array)[i], field, std::numeric_limits<T>::max()));
        target[i] = static_cast<T>(number);
    }
    return {};
}

Result<void> readHistogram(const json::object &object, std::string_view field,
                           DurationHistogram &target)
{
    BOOST_LEAF_AUTO(histogram, requireObject(object, field));
    BOOST_LEAF_CHECK(checkFields(*histogram, {"counts", "sum_s"}));
    BOOST_LEAF_CHECK(readNumbers(*histogram, "counts", target.counts));
    BOOST_LEAF_ASSIGN(target.sumSeconds, requireReal(*histogram, "sum_s", 0, 1e18));
    return {};
}

Result<BurnBucket> readBucket(const json::array &numbers, std::string_view field)
{
    BurnBucket bucket;
    for (std::size_t i = 0; i < bucketCounters.size(); ++i) {
        BOOST_LEAF_AUTO(
            number, readNumber(numbers[i + 1], field, std::numeric_limits<std::uint32_t>::max()));
        bucket.*bucketCounters[i] = static_cast<std::uint32_t>(number);
    }
    // More bad statements than statements would give a share above 1.
    if (bucket.failed > bucket.total || bucket.slow > bucket.total
        || bucket.replicaReads > bucket.total || bucket.stale > bucket.replicaReads)
        return invalid(field, "buckets whose parts do not exceed their total");
    return bucket;
}

template <typename BucketAt>
Result<void> readBuckets(const json::object &object, std::string_view field, std::size_t count,
                         BucketAt bucketAt)
{
    BOOST_LEAF_AUTO(buckets, requireArray(object, field, count));
    std::uint64_t nextAge = 0;
    for (const json::value &element : *buckets) {
        if (!element.is_array() || element.as_array().size() != bucketCounters.size() + 1)
            return invalid(field, "an array of buckets with age and counters");
        const json::array &numbers = element.as_array();
        BOOST_LEAF_AUTO(age, readNumber(numbers[0], field, count - 1));
        if (age < nextAge)
            return invalid(field, "ordered by age without repetition");
        nextAge = age + 1;
        BOOST_LEAF_AUTO(bucket, readBucket(numbers, field));
        bucketAt(age) = bucket;
    }
    return {};
}

Result<void> readRefusals(const json::object &object, ServiceRecord &record)
{
    BOOST_LEAF_AUTO(refusals, requireObject(object, "refusals"));
    std::size_t known = 0;
    for (std::size_t code = 0; code < errorCodes; ++code) {
        const std::string_view name = errorCodeName(static_cast<ErrorCode>(code));
        if (const json::value *value = refusals->if_contains(view(name))) {
            BOOST_LEAF_ASSIGN(record.refusals[code], readNumber(*value, "refusals"));
            ++known;
        }
    }
    if (known != refusals->size())
        return invalid("refusals", "an object with known reasons only");
    return {};
}

Result<ServiceObjectives> readObjectives(const json::object &object)
{
    BOOST_LEAF_AUTO(fields, requireObject(object, "objectives"));
    BOOST_LEAF_CHECK(checkFields(*fields, {"availability", "latency_ms", "latency_share",
                                           "freshness_ms", "failover_gap_ms"}));
    ServiceObjectives result;
    BOOST_LEAF_ASSIGN(result.availability,
                      requireReal(*fields, "availability", minShare, maxShare));
    BOOST_LEAF_ASSIGN(result.latencyShare,
                      requireReal(*fields, "latency_share", minShare, maxShare));
    BOOST_LEAF_AUTO(latency, requireNumber(*fields, "latency_ms", maxBoundMs));
    BOOST_LEAF_AUTO(freshness, requireNumber(*fields, "freshness_ms", maxBoundMs));
    BOOST_LEAF_AUTO(failoverGap, requireNumber(*fields, "failover_gap_ms", maxBoundMs));
    if (failoverGap == 0)
        return invalid("failover_gap_ms", "greater than 0");
    result.latency = Milliseconds(latency);
    result.freshness = Milliseconds(freshness);
    result.failoverGap = Milliseconds(failoverGap);
    return result;
}

Result<std::shared_ptr<const ServiceRecord>> readRecord(const json::value &value,
                                                        std::uint64_t minute)
{
    if (!value.is_object())
        return invalid("services", "an array of objects");
    const json::object &object = value.as_object();
    BOOST_LEAF_CHECK(checkFields(object, {"service", "objectives", "reads", "writes", "refusals",
                                          "read_latency", "write_latency", "replica_age",
                                          "replica_reads", "primary_reads", "minutes", "hours"}));
    const auto record = std::make_shared<ServiceRecord>();
    record->history = BurnHistory(minute);
    BOOST_LEAF_AUTO(name, requireName(object, "service"));
    record->service = ServiceName(std::move(name));
    BOOST_LEAF_ASSIGN(record->objectives, readObjectives(object));
    BOOST_LEAF_CHECK(readNumbers(object, "reads", record->outcomes[0]));
    BOOST_LEAF_CHECK(readNumbers(object, "writes", record->outcomes[1]));
    BOOST_LEAF_CHECK(readRefusals(object, *record));
    BOOST_LEAF_CHECK(readHistogram(object, "read_latency", record->latency[0]));
    BOOST_LEAF_CHECK(readHistogram(object, "write_latency", record->latency[1]));
    BOOST_LEAF_CHECK(readHistogram(object, "replica_age", record->replicaAge));
    BOOST_LEAF_ASSIGN(record->replicaReads, requireNumber(object, "replica_reads"));
    BOOST_LEAF_ASSIGN(record->primaryReads, requireNumber(object, "primary_reads"));
    BOOST_LEAF_CHECK(readBuckets(
        object, "minutes", BurnHistory::minuteBuckets,
        [&](std::size_t age) -> BurnBucket & { return record->history.minuteAt(age); }));
    BOOST_LEAF_CHECK(
        readBuckets(object, "hours", BurnHistory::hourBuckets,
                    [&](std::size_t age) -> BurnBucket & { return record->history.hourAt(age); }));
    return std::shared_ptr<const ServiceRecord>(record);
}

} // namespace

std::string encodeSnapshot(const MetricsSnapshot &snapshot)
{
    const json::object head{{"version", codecVersion},
                            {"daemon", snapshot.daemon.value()},
                            {"uptime_ms", snapshot.uptime.count()},
                            {"unattributed", snapshot.unattributed}};
    std::string text = json::serialize(head);
    text.back() = ',';
    text += "\"services\":[";
    // One service at a time, because the values of all services take several times their text.
    const char *separator = "";
    for (const auto &record : snapshot.services) {
        text += separator;
        text += json::serialize(encodeRecord(*record, snapshot.minute()));
        separator = ",";
    }
    return text + "]}";
}

Result<MetricsSnapshot> decodeSnapshot(std::string_view text)
{
    if (text.size() > maxSnapshotBytes)
        return makeError(ErrorCode::TooLarge,
                         "the snapshot exceeds " + std::to_string(maxSnapshotBytes) + " bytes");
    BOOST_LEAF_AUTO(object, parseJsonObject(text));
    BOOST_LEAF_AUTO(version, requireNumber(object, "version"));
    if (version != codecVersion)
        return invalid("version", std::to_string(codecVersion));
    BOOST_LEAF_CHECK(
        checkFields(object, {"version", "daemon", "uptime_ms", "unattributed", "services"}));
    MetricsSnapshot snapshot;
    BOOST_LEAF_AUTO(daemon, requireName(object, "daemon"));
    snapshot.daemon = VmId(std::move(daemon));
    BOOST_LEAF_AUTO(uptime, requireNumber(object, "uptime_ms", maxUptimeMs));
    snapshot.uptime = Milliseconds(uptime);
    BOOST_LEAF_ASSIGN(snapshot.unattributed, requireNumber(object, "unattributed"));
    BOOST_LEAF_AUTO(services, requireArray(object, "services", maxRecordedServices));
    std::set<ServiceName> names;
    for (const json::value &element : *services) {
        BOOST_LEAF_AUTO(record, readRecord(element, snapshot.minute()));
        if (!names.insert(record->service).second)
            return invalid("services", "without repeated names");
        snapshot.services.push_back(std::move(record));
    }
    return snapshot;
}

} // namespace pistachiowood
