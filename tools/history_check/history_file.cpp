#include "history_check/history_file.h"

#include "base/json.h"

#include <fstream>
#include <functional>

namespace pistachiowood::check {

namespace json = boost::json;

namespace {

Result<std::vector<std::string>> requireTexts(const json::object &object, std::string_view field)
{
    const json::value *list = object.if_contains(json::string_view(field.data(), field.size()));
    std::vector<std::string> texts;
    bool valid = list && list->is_array();
    if (valid) {
        for (const json::value &value : list->as_array()) {
            valid = valid && value.is_string();
            if (valid)
                texts.emplace_back(value.as_string());
        }
    }
    if (!valid)
        return makeError(ErrorCode::InvalidArgument,
                         "field \"" + std::string(field) + "\" must be an array of strings");
    return texts;
}

Result<RecordOutcome> parseOutcome(const std::string &name)
{
    if (name == "committed")
        return RecordOutcome::Committed;
    if (name == "not_run")
        return RecordOutcome::NotRun;
    if (name == "unknown")
        return RecordOutcome::Unknown;
    return makeError(ErrorCode::InvalidArgument, "unexpected outcome \"" + name + "\"");
}

Result<void> readLines(const std::string &fileName,
                       const std::function<Result<void>(std::size_t, const std::string &)> &handle)
{
    std::ifstream file(fileName);
    if (!file)
        return makeError(ErrorCode::NotFound, "cannot read " + fileName);
    std::string line;
    for (std::size_t number = 1; std::getline(file, line); ++number) {
        if (line.empty())
            continue;
        const auto outcome = capture([&] { return handle(number, line); });
        if (const auto *error = std::get_if<Error>(&outcome))
            return makeError(error->code,
                             fileName + ":" + std::to_string(number) + ": " + error->message);
    }
    return {};
}

} // namespace

Result<Record> parseRecord(const std::string &line)
{
    BOOST_LEAF_AUTO(object, parseJsonObject(line));
    Record record;
    record.text = line;
    BOOST_LEAF_AUTO(start, requireUnsigned(object, "start_us"));
    BOOST_LEAF_AUTO(end, requireUnsigned(object, "end_us"));
    record.startUs = static_cast<std::int64_t>(start);
    record.endUs = static_cast<std::int64_t>(end);
    BOOST_LEAF_ASSIGN(record.session, requireUnsigned(object, "session"));
    BOOST_LEAF_ASSIGN(record.service, requireString(object, "service"));
    BOOST_LEAF_ASSIGN(record.key, requireString(object, "key"));
    BOOST_LEAF_AUTO(outcome, requireString(object, "outcome"));
    BOOST_LEAF_ASSIGN(record.outcome, parseOutcome(outcome));
    BOOST_LEAF_AUTO(kind, requireString(object, "kind"));
    record.isRead = kind == "read";
    if (!record.isRead) {
        BOOST_LEAF_ASSIGN(record.value, requireString(object, "value"));
        BOOST_LEAF_AUTO(idempotent, optionalBool(object, "idempotent"));
        record.idempotent = idempotent.value_or(true);
        return record;
    }
    BOOST_LEAF_AUTO(tokenRead, optionalBool(object, "token_read"));
    BOOST_LEAF_AUTO(maxAge, optionalUnsigned(object, "max_age_ms"));
    record.tokenRead = tokenRead.value_or(false);
    if (maxAge)
        record.maxAgeMs = static_cast<std::int64_t>(*maxAge);
    if (record.outcome == RecordOutcome::Committed) {
        BOOST_LEAF_ASSIGN(record.result, requireTexts(object, "result"));
    }
    return record;
}

Result<std::vector<Record>> readHistory(const std::string &fileName)
{
    std::vector<Record> records;
    BOOST_LEAF_CHECK(
        readLines(fileName, [&](std::size_t number, const std::string &line) -> Result<void> {
            BOOST_LEAF_AUTO(record, parseRecord(line));
            record.line = number;
            records.push_back(std::move(record));
            return {};
        }));
    return records;
}

Result<FinalContent> readFinalContent(const std::string &fileName)
{
    FinalContent content;
    BOOST_LEAF_CHECK(readLines(fileName, [&](std::size_t, const std::string &line) -> Result<void> {
        BOOST_LEAF_AUTO(object, parseJsonObject(line));
        BOOST_LEAF_AUTO(service, requireString(object, "service"));
        BOOST_LEAF_AUTO(key, requireString(object, "key"));
        BOOST_LEAF_AUTO(values, requireTexts(object, "values"));
        if (!content.emplace(KeyId(service, key), std::move(values)).second)
            return makeError(ErrorCode::InvalidArgument,
                             "key " + service + "/" + key + " occurs twice");
        return {};
    }));
    return content;
}

} // namespace pistachiowood::check
