#include "database_standin/endpoint_wire.h"

#include <algorithm>
#include <array>
#include <boost/url/ipv4_address.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url.hpp>
#include <charconv>

namespace pistachiowood::standin {

namespace json = boost::json;

namespace {

constexpr Milliseconds longestDuration = std::chrono::hours(1);
// A steady clock counts from the start of the machine; larger values overflow its nanoseconds.
constexpr std::uint64_t latestTime = 100ULL * 365 * 24 * 3600 * 1000;

struct RefusalInfo
{
    std::string_view name;
    unsigned status;
};

// Indexed by RefusalCode.
constexpr std::array<RefusalInfo, 10> refusalTable{{
    {"stale_term", 409},
    {"newer_term_required", 409},
    {"not_primary", 409},
    {"refused_request", 409},
    {"transaction_lost", 409},
    {"invalid_argument", 400},
    {"conflict", 409},
    {"too_many_connections", 503},
    {"unavailable", 503},
    {"not_found", 404},
}};

// Indexed by OperationKind.
constexpr std::array<std::string_view, 5> operationNames{"put", "get", "append", "list", "count"};

std::uint64_t encodeTime(TimePoint time)
{
    return static_cast<std::uint64_t>(
        std::chrono::floor<Milliseconds>(time.time_since_epoch()).count());
}

TimePoint decodeTime(std::uint64_t milliseconds)
{
    return TimePoint(Milliseconds(std::min(milliseconds, latestTime)));
}

boost::leaf::error_id invalid(const std::string &message)
{
    return makeError(ErrorCode::InvalidArgument, message);
}

json::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

json::object encodeOperation(const Operation &operation)
{
    return {{"op", view(operationNames.at(static_cast<std::size_t>(operation.kind)))},
            {"key", operation.key},
            {"value", operation.value}};
}

Result<void> readOperation(const json::value &statement, Operation &operation)
{
    if (!statement.is_object())
        return invalid("field \"statement\" must be an object");
    const json::object &object = statement.get_object();
    BOOST_LEAF_AUTO(name, requireString(object, "op"));
    BOOST_LEAF_AUTO(key, optionalString(object, "key"));
    const auto found = std::find(operationNames.begin(), operationNames.end(), name);
    if (found == operationNames.end())
        return invalid("field \"op\" must be put, get, append, list or count");
    operation.kind = static_cast<OperationKind>(found - operationNames.begin());
    const bool selects =
        operation.kind == OperationKind::List || operation.kind == OperationKind::Count;
    if (!key && !selects)
        return invalid("field \"key\" must be present and a string");
    operation.key = key.value_or("");
    if (isWrite(operation.kind)) {
        const json::value *value = object.if_contains("value");
        if (!value)
            return invalid("field \"value\" must be present");
        operation.value = *value;
    }
    return {};
}

json::object encodeEntry(const LogEntry &entry)
{
    json::object object{{"term", entry.term.value()}, {"result", entry.result}};
    if (!entry.requestId.value().empty())
        object["request_id"] = entry.requestId.value();
    if (entry.refused)
        object["refused"] = true;
    json::array operations;
    for (const Operation &operation : entry.operations)
        operations.push_back(encodeOperation(operation));
    object["operations"] = std::move(operations);
    return object;
}

Result<const json::array *> requireArray(const json::object &object, std::string_view field)
{
    const json::value *value = object.if_contains(view(field));
    if (!value || !value->is_array())
        return invalid("field \"" + std::string(field) + "\" must be present and an array");
    return &value->get_array();
}

Result<LogEntry> decodeEntry(const json::value &value)
{
    if (!value.is_object())
        return invalid("a log entry must be an object");
    const json::object &object = value.get_object();
    LogEntry entry;
    BOOST_LEAF_AUTO(term, requireUnsigned(object, "term"));
    BOOST_LEAF_AUTO(requestId, optionalString(object, "request_id"));
    BOOST_LEAF_AUTO(refused, optionalBool(object, "refused"));
    BOOST_LEAF_AUTO(operations, requireArray(object, "operations"));
    for (const json::value &item : *operations) {
        entry.operations.emplace_back();
        BOOST_LEAF_CHECK(readOperation(item, entry.operations.back()));
    }
    entry.term = Term(term);
    entry.requestId = RequestId(requestId.value_or(""));
    entry.refused = refused.value_or(false);
    if (const json::value *result = object.if_contains("result"))
        entry.result = *result;
    return entry;
}

} // namespace

Result<std::uint64_t> requireUnsigned(const RequestTarget &target, std::string_view name)
{
    BOOST_LEAF_AUTO(number, target.queryUnsigned(name));
    if (!number)
        return invalid("query parameter \"" + std::string(name)
                       + "\" must be present and a non-negative integer");
    return *number;
}

Result<std::optional<Milliseconds>> optionalDuration(const json::object &object,
                                                     const std::string &field)
{
    BOOST_LEAF_AUTO(number, optionalUnsigned(object, field));
    if (!number)
        return std::optional<Milliseconds>{};
    if (*number > static_cast<std::uint64_t>(longestDuration.count()))
        return invalid("field \"" + field + "\" must be at most "
                       + std::to_string(longestDuration.count()));
    return std::optional<Milliseconds>{Milliseconds(*number)};
}

std::string_view refusalCodeName(RefusalCode code)
{
    return refusalTable.at(static_cast<std::size_t>(code)).name;
}

unsigned refusalStatus(RefusalCode code)
{
    return refusalTable.at(static_cast<std::size_t>(code)).status;
}

json::object encodeReport(const ReplicaLog &log)
{
    const EndpointReport report = log.report();
    return {{"term", report.term.value()},
            {"position", report.position.value()},
            {"last_entry_term", report.lastEntryTerm.value()},
            {"role", report.role == EndpointRole::Primary ? "primary" : "replica"},
            {"age_ms", report.age.count()},
            {"matched", log.isMatched()}};
}

json::array encodeHistory(const std::vector<TermStart> &history)
{
    json::array items;
    for (const TermStart &entry : history)
        items.push_back(json::object{{"term", entry.term.value()}, {"start", entry.start.value()}});
    return items;
}

Result<Operation> decodeOperation(const json::value &statement)
{
    Operation operation;
    BOOST_LEAF_CHECK(readOperation(statement, operation));
    return operation;
}

std::string encodeQuery(const LogQuery &query, Milliseconds wait)
{
    boost::urls::url target("/v1/log");
    auto parameters = target.params();
    const auto add = [&](std::string_view name, std::uint64_t number) {
        parameters.append({view(name), std::to_string(number)});
    };
    add("term", query.term.value());
    add("from", query.from.value());
    add("last_entry_term", query.lastEntryTerm.value());
    parameters.append({"follower", view(query.follower)});
    if (query.echo)
        add("echo", encodeTime(*query.echo));
    add("limit", query.maxEntries);
    add("wait_ms", static_cast<std::uint64_t>(wait.count()));
    return std::string(target.buffer());
}

Result<LogQuery> decodeQuery(const RequestTarget &target)
{
    BOOST_LEAF_AUTO(term, requireUnsigned(target, "term"));
    BOOST_LEAF_AUTO(from, requireUnsigned(target, "from"));
    BOOST_LEAF_AUTO(lastEntryTerm, requireUnsigned(target, "last_entry_term"));
    BOOST_LEAF_AUTO(echo, target.queryUnsigned("echo"));
    BOOST_LEAF_AUTO(limit, target.queryUnsigned("limit"));
    LogQuery query;
    query.follower = target.queryText("follower");
    if (query.follower.empty())
        return invalid("query parameter \"follower\" must be present and not empty");
    query.term = Term(term);
    query.from = LogPosition(from);
    query.lastEntryTerm = Term(lastEntryTerm);
    if (echo)
        query.echo = decodeTime(*echo);
    if (limit.value_or(1) == 0)
        return invalid("query parameter \"limit\" must be at least 1");
    query.maxEntries = std::min<std::size_t>(limit.value_or(query.maxEntries), query.maxEntries);
    return query;
}

json::object encodeBatch(const LogBatch &batch, std::size_t maxBytes)
{
    json::array entries;
    std::size_t bytes = 0;
    for (const LogEntry &entry : batch.entries) {
        if (bytes > maxBytes)
            break;
        json::object encoded = encodeEntry(entry);
        bytes += json::serialize(encoded).size();
        entries.push_back(std::move(encoded));
    }
    const bool complete = entries.size() == batch.entries.size();
    json::object object{{"primary", batch.primary.value()},
                        {"from", batch.from.value()},
                        {"entries", std::move(entries)},
                        {"caught_up", batch.caughtUp && complete},
                        {"primary_time", encodeTime(batch.primaryTime)},
                        {"history", encodeHistory(batch.history)}};
    if (batch.truncateTo) {
        object["truncate_to"] = batch.truncateTo->value();
        object["truncate_term"] = batch.truncateTerm.value();
    }
    return object;
}

Result<LogBatch> decodeBatch(const json::object &object)
{
    BOOST_LEAF_AUTO(term, requireUnsigned(object, "term"));
    BOOST_LEAF_AUTO(primary, requireString(object, "primary"));
    BOOST_LEAF_AUTO(from, requireUnsigned(object, "from"));
    BOOST_LEAF_AUTO(caughtUp, optionalBool(object, "caught_up"));
    BOOST_LEAF_AUTO(age, requireUnsigned(object, "age_ms"));
    BOOST_LEAF_AUTO(primaryTime, requireUnsigned(object, "primary_time"));
    BOOST_LEAF_AUTO(truncateTo, optionalUnsigned(object, "truncate_to"));
    BOOST_LEAF_AUTO(truncateTerm, optionalUnsigned(object, "truncate_term"));
    BOOST_LEAF_AUTO(entries, requireArray(object, "entries"));
    BOOST_LEAF_AUTO(history, requireArray(object, "history"));
    LogBatch batch;
    batch.term = Term(term);
    batch.primary = EndpointId(primary);
    batch.from = LogPosition(from);
    batch.caughtUp = caughtUp.value_or(false);
    batch.primaryAge = Milliseconds(std::min(age, static_cast<std::uint64_t>(unknownAge.count())));
    batch.primaryTime = decodeTime(primaryTime);
    if (truncateTo)
        batch.truncateTo = LogPosition(*truncateTo);
    batch.truncateTerm = Term(truncateTerm.value_or(0));
    for (const json::value &item : *entries) {
        batch.entries.emplace_back();
        BOOST_LEAF_ASSIGN(batch.entries.back(), decodeEntry(item));
    }
    for (const json::value &item : *history) {
        if (!item.is_object())
            return invalid("a history entry must be an object");
        BOOST_LEAF_AUTO(historyTerm, requireUnsigned(item.get_object(), "term"));
        BOOST_LEAF_AUTO(start, requireUnsigned(item.get_object(), "start"));
        batch.history.push_back({Term(historyTerm), LogPosition(start)});
    }
    return batch;
}

} // namespace pistachiowood::standin
