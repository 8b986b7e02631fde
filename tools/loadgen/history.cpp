#include "loadgen/history.h"

#include "base/json.h"

namespace pistachiowood::loadgen {

namespace json = boost::json;

namespace {

std::string textField(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::string reasonOf(const json::object &body)
{
    for (const std::string_view field : {"reason", "error"}) {
        const json::value *value = body.if_contains(json::string_view(field.data(), field.size()));
        if (value && value->is_object())
            return textField(value->as_object(), "code");
        if (value && value->is_string())
            return std::string(value->as_string());
    }
    return {};
}

/// The value of a key that was only appended to is an array, or null before the first append.
std::optional<std::vector<std::string>> valuesOf(const json::object &body)
{
    const json::value *result = body.if_contains("result");
    std::vector<std::string> values;
    if (!result || result->is_null())
        return values;
    if (!result->is_array())
        return std::nullopt;
    for (const json::value &value : result->as_array())
        values.push_back(value.is_string() ? std::string(value.as_string())
                                           : json::serialize(value));
    return values;
}

std::int64_t microsecondsOf(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

} // namespace

Answer readAnswer(unsigned status, const std::string &body)
{
    Answer answer;
    answer.status = status;
    answer.outcome = status == 200 ? "committed" : status == 504 ? "unknown" : "not_run";
    const auto parsed = capture([&] { return parseJsonObject(body); });
    if (std::holds_alternative<Error>(parsed)) {
        if (status == 200)
            answer.outcome = "unknown";
        answer.reason = "invalid_response";
        return answer;
    }
    const auto &object = std::get<0>(parsed);
    if (const std::string outcome = textField(object, "outcome"); !outcome.empty())
        answer.outcome = outcome;
    if (answer.outcome != "committed") {
        answer.reason = reasonOf(object);
        if (answer.reason.empty())
            answer.reason = "status_" + std::to_string(status);
    }
    answer.values = valuesOf(object);
    answer.token = textField(object, "session");
    answer.endpoint = textField(object, "endpoint");
    answer.transaction = textField(object, "transaction");
    if (const json::value *value = object.if_contains("from_replica"))
        answer.fromReplica = value->is_bool() && value->as_bool();
    if (const json::value *value = object.if_contains("age_ms")) {
        json::error_code failure;
        const auto age = value->to_number<std::uint64_t>(failure);
        if (!failure)
            answer.ageMs = age;
    }
    return answer;
}

Answer failedAnswer(bool requestSent, const std::string &reason)
{
    Answer answer;
    answer.outcome = requestSent ? "unknown" : "not_run";
    answer.reason = reason;
    return answer;
}

std::string HistoryRecord::encode() const
{
    json::object line{{"scheduled_us", microsecondsOf(scheduled)},
                      {"start_us", microsecondsOf(start)},
                      {"end_us", microsecondsOf(end)},
                      {"session", session},
                      {"daemon", daemon},
                      {"service", service},
                      {"kind", kind},
                      {"key", key},
                      {"outcome", answer.outcome},
                      {"status", answer.status},
                      {"token", answer.token},
                      {"endpoint", answer.endpoint}};
    if (kind == "read") {
        line["token_read"] = tokenRead;
        line["from_replica"] = answer.fromReplica;
        if (maxAgeMs)
            line["max_age_ms"] = *maxAgeMs;
        if (answer.ageMs)
            line["age_ms"] = *answer.ageMs;
        if (answer.values && answer.outcome == "committed")
            line["result"] = json::value_from(*answer.values);
    } else {
        line["value"] = value;
        line["request_id"] = requestId;
        line["idempotent"] = idempotent;
    }
    if (!answer.reason.empty())
        line["reason"] = answer.reason;
    return json::serialize(line);
}

HistoryWriter::HistoryWriter(const std::string &fileName)
    : enabled_(!fileName.empty())
{
    if (enabled_)
        file_.open(fileName, std::ios::trunc);
}

void HistoryWriter::write(const HistoryRecord &record)
{
    if (enabled_)
        file_ << record.encode() << '\n';
}

bool HistoryWriter::finish()
{
    file_.flush();
    return !enabled_ || file_.good();
}

} // namespace pistachiowood::loadgen
