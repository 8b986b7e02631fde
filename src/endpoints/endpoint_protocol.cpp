#include "endpoints/endpoint_protocol.h"

#include "base/address.h"
#include "base/json.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace pistachiowood {

namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;
constexpr std::size_t maxHistoryInAnswer = 4 * maxTermHistory;

constexpr std::array<std::pair<std::string_view, EndpointRefusal>, 7> refusalCodes{{
    {"stale_term", EndpointRefusal::StaleTerm},
    {"newer_term_required", EndpointRefusal::NewerTermRequired},
    {"not_primary", EndpointRefusal::NotPrimary},
    {"too_many_connections", EndpointRefusal::TooManyConnections},
    {"refused_request", EndpointRefusal::RefusedRequest},
    {"transaction_lost", EndpointRefusal::TransactionLost},
    {"invalid_argument", EndpointRefusal::InvalidStatement},
}};

EndpointRefusal refusalOf(std::string_view code)
{
    for (const auto &[name, refusal] : refusalCodes) {
        if (name == code)
            return refusal;
    }
    return EndpointRefusal::Other;
}

HttpRequest makePostRequest(std::string target, const json::object &body)
{
    return {.method = "POST", .target = std::move(target), .body = json::serialize(body)};
}

Result<EndpointReport> readReport(const json::object &body)
{
    EndpointReport report;
    BOOST_LEAF_AUTO(term, requireUnsigned(body, "term"));
    BOOST_LEAF_AUTO(position, requireUnsigned(body, "position"));
    BOOST_LEAF_AUTO(lastEntryTerm, requireUnsigned(body, "last_entry_term"));
    BOOST_LEAF_AUTO(role, requireString(body, "role"));
    BOOST_LEAF_AUTO(age, requireUnsigned(body, "age_ms"));
    report.term = Term(term);
    report.position = LogPosition(position);
    report.lastEntryTerm = Term(lastEntryTerm);
    report.role = role == "primary" ? EndpointRole::Primary : EndpointRole::Replica;
    report.age =
        Milliseconds(std::min<std::uint64_t>(age, std::numeric_limits<std::int64_t>::max() / 2));
    return report;
}

Result<std::vector<TermStart>> readHistory(const json::object &body)
{
    std::vector<TermStart> history;
    const json::value *field = body.if_contains("history");
    if (!field || !field->is_array())
        return history;
    for (const json::value &item : field->as_array()) {
        if (!item.is_object() || history.size() == maxHistoryInAnswer)
            return makeError(ErrorCode::InvalidArgument,
                             "field \"history\" is malformed or too long");
        BOOST_LEAF_AUTO(term, requireUnsigned(item.as_object(), "term"));
        BOOST_LEAF_AUTO(start, requireUnsigned(item.as_object(), "start"));
        history.push_back({Term(term), LogPosition(start)});
    }
    return history;
}

Result<json::object> readBody(const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome))
        return makeError(failure->kind == HttpFailure::Kind::Timeout ? ErrorCode::DeadlineExceeded
                                                                     : ErrorCode::Unavailable,
                         failure->message);
    return parseJsonObject(std::get<HttpResponse>(outcome).body);
}

Error readError(const json::object &body)
{
    Error error{ErrorCode::Unavailable, "the endpoint refused the statement"};
    const json::value *field = body.if_contains("error");
    if (!field || !field->is_object())
        return error;
    const auto message = capture([&] { return requireString(field->as_object(), "message"); });
    if (const auto *text = std::get_if<std::string>(&message))
        error.message = *text;
    return error;
}

std::string readErrorCode(const json::object &body)
{
    const json::value *field = body.if_contains("error");
    if (!field || !field->is_object())
        return {};
    const auto code = capture([&] { return requireString(field->as_object(), "code"); });
    const auto *text = std::get_if<std::string>(&code);
    return text ? *text : std::string();
}

AttemptAnswer failedAttempt(const HttpFailure &failure)
{
    AttemptAnswer answer;
    answer.state = failure.requestSent ? AttemptState::Uncertain : AttemptState::NotExecuted;
    answer.error = {failure.requestSent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                    failure.message};
    return answer;
}

ErrorCode errorCodeOf(EndpointRefusal refusal)
{
    switch (refusal) {
    case EndpointRefusal::StaleTerm:
    case EndpointRefusal::NewerTermRequired:
    case EndpointRefusal::NotPrimary:
        return ErrorCode::StateStale;
    case EndpointRefusal::InvalidStatement:
        return ErrorCode::InvalidArgument;
    case EndpointRefusal::RefusedRequest:
        return ErrorCode::Conflict;
    default:
        return ErrorCode::Unavailable;
    }
}

Result<AttemptAnswer> readExecuted(const json::object &body)
{
    AttemptAnswer answer;
    answer.state = AttemptState::Executed;
    BOOST_LEAF_AUTO(entryPosition, optionalUnsigned(body, "entry_position"));
    BOOST_LEAF_AUTO(duplicate, optionalBool(body, "duplicate"));
    BOOST_LEAF_AUTO(state, optionalString(body, "state"));
    BOOST_LEAF_ASSIGN(answer.report, readReport(body));
    answer.entryPosition = entryPosition ? LogPosition(*entryPosition) : answer.report.position;
    answer.duplicate = duplicate.value_or(false);
    answer.resolvedCommitted = state == "committed";
    if (const json::value *result = body.if_contains("result"))
        answer.result = json::serialize(*result);
    return answer;
}

json::object statementBody(const AttemptRequest &request)
{
    json::object body{{"term", request.term.value()},
                      {"kind", request.kind == StatementKind::Write ? "write" : "read"}};
    json::error_code failure;
    body["statement"] = json::parse(request.statement, failure);
    if (!request.requestId.value().empty())
        body["request_id"] = request.requestId.value();
    if (request.transaction)
        body["transaction"] = true;
    return body;
}

} // namespace

HttpRequest encodeAttempt(const AttemptRequest &request)
{
    json::object body{{"term", request.term.value()}};
    switch (request.operation) {
    case AttemptOperation::Begin:
        return makePostRequest("/v1/transactions/begin", body);
    case AttemptOperation::Rollback:
        return makePostRequest("/v1/transactions/rollback", body);
    case AttemptOperation::Commit:
        body["request_id"] = request.requestId.value();
        return makePostRequest("/v1/transactions/commit", body);
    case AttemptOperation::Resolve:
        body["request_id"] = request.requestId.value();
        return makePostRequest("/v1/requests/resolve", body);
    case AttemptOperation::Statement:
        break;
    }
    return makePostRequest("/v1/statements", statementBody(request));
}

AttemptAnswer decodeAttempt(const AttemptRequest &request, const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome))
        return failedAttempt(*failure);
    const auto &response = std::get<HttpResponse>(outcome);
    const auto parsed = capture([&] { return parseJsonObject(response.body); });
    if (const auto *error = std::get_if<Error>(&parsed))
        return failedAttempt({HttpFailure::Kind::BadResponse, true, error->message});
    const auto &body = std::get<json::object>(parsed);
    if (response.status != statusOk) {
        AttemptAnswer answer;
        answer.refusal = refusalOf(readErrorCode(body));
        answer.error = readError(body);
        answer.error.code = errorCodeOf(answer.refusal);
        // An unknown error code does not rule out that the write was executed.
        if (answer.refusal == EndpointRefusal::Other && request.kind == StatementKind::Write)
            answer.state = AttemptState::Uncertain;
        const auto report = capture([&] { return readReport(body); });
        if (const auto *known = std::get_if<EndpointReport>(&report))
            answer.report = *known;
        return answer;
    }
    const auto executed = capture([&] { return readExecuted(body); });
    if (const auto *error = std::get_if<Error>(&executed))
        return failedAttempt({HttpFailure::Kind::BadResponse, true, error->message});
    return std::get<AttemptAnswer>(executed);
}

HttpRequest encodeStatusProbe()
{
    return {.target = "/v1/status"};
}

namespace {

Result<EndpointStatus> readStatus(const json::object &body)
{
    EndpointStatus status;
    BOOST_LEAF_ASSIGN(status.report, readReport(body));
    BOOST_LEAF_AUTO(promoter, optionalString(body, "promoter"));
    BOOST_LEAF_AUTO(contact, optionalUnsigned(body, "primary_contact_ms"));
    BOOST_LEAF_ASSIGN(status.history, readHistory(body));
    status.promoter = promoter.value_or("");
    status.primaryContact = Milliseconds(contact.value_or(0));
    return status;
}

} // namespace

HttpRequest encodePositionWait(Term term, LogPosition above, Milliseconds wait)
{
    return {.target = "/v1/position?term=" + std::to_string(term.value()) + "&above="
                      + std::to_string(above.value()) + "&wait_ms=" + std::to_string(wait.count())};
}

Result<EndpointReport> decodeReport(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(body, readBody(outcome));
    return readReport(body);
}

HttpRequest encodeRaiseTerm(Term term, const std::string &promoter)
{
    return makePostRequest("/v1/raise_term", {{"term", term.value()}, {"promoter", promoter}});
}

HttpRequest encodePromote(Term term, const std::string &promoter)
{
    return makePostRequest("/v1/promote", {{"term", term.value()}, {"promoter", promoter}});
}

HttpRequest encodeFollow(Term term, const EndpointId &primary, const SocketAddress &primaryAddress)
{
    return makePostRequest("/v1/follow", {{"term", term.value()},
                                          {"primary", primary.value()},
                                          {"primary_address", formatAddress(primaryAddress)}});
}

Result<ControlAnswer> decodeControlAnswer(const HttpOutcome &outcome)
{
    BOOST_LEAF_AUTO(body, readBody(outcome));
    ControlAnswer answer;
    BOOST_LEAF_ASSIGN(answer.status, readStatus(body));
    BOOST_LEAF_AUTO(granted, optionalBool(body, "granted"));
    answer.granted = granted.value_or(false);
    return answer;
}

} // namespace pistachiowood
