#include "daemon/caller_api.h"

#include "base/json.h"
#include "net/http_error.h"
#include "net/request_target.h"

#include <algorithm>
#include <array>

namespace pistachiowood {

namespace json = boost::json;

namespace {

constexpr std::size_t maxIdLength = 128;
constexpr std::size_t maxSessionLabels = 16;
constexpr std::uint64_t maxAgeLimitMs = 24ULL * 60 * 60 * 1000;

constexpr std::array<std::string_view, 9> statementFields{
    "kind",       "statement",   "session",     "max_age_ms", "idempotent",
    "request_id", "deadline_ms", "transaction", "labels",
};

unsigned answerHttpStatus(const StatementAnswer &answer)
{
    if (answer.outcome == Outcome::Committed || !answer.error)
        return 200;
    if (answer.outcome == Outcome::Unknown)
        return 504;
    switch (answer.error->code) {
    case ErrorCode::NotFound:
    case ErrorCode::InvalidArgument:
    case ErrorCode::HistoryLost:
    case ErrorCode::Conflict:
        return httpStatusOf(answer.error->code);
    default:
        return 503;
    }
}

Result<void> rejectUnknownFields(const json::object &body)
{
    for (const auto &field : body) {
        const std::string_view name(field.key().data(), field.key().size());
        if (std::find(statementFields.begin(), statementFields.end(), name)
            == statementFields.end())
            return makeError(ErrorCode::InvalidArgument,
                             "unknown field \"" + std::string(name) + "\"");
    }
    return {};
}

Result<std::string> checkId(std::string_view field, std::string id)
{
    const auto isPrintable = [](char c) { return c > ' ' && c <= '~'; };
    if (id.empty() || id.size() > maxIdLength || !std::all_of(id.begin(), id.end(), isPrintable))
        return makeError(ErrorCode::InvalidArgument,
                         "\"" + std::string(field) + "\" must be 1 to "
                             + std::to_string(maxIdLength)
                             + " printable ASCII characters without spaces");
    return id;
}

Result<Labels> readLabels(const json::object &body)
{
    Labels labels;
    const json::value *field = body.if_contains("labels");
    if (!field)
        return labels;
    if (!field->is_object() || field->as_object().size() > maxSessionLabels)
        return makeError(ErrorCode::InvalidArgument,
                         "field \"labels\" must be an object of at most "
                             + std::to_string(maxSessionLabels) + " strings");
    for (const auto &label : field->as_object()) {
        if (!label.value().is_string())
            return makeError(ErrorCode::InvalidArgument,
                             "field \"labels\" must be an object of strings");
        labels.emplace(std::string(label.key()), std::string(label.value().as_string()));
    }
    return labels;
}

// Runs the action on the parsed request, or answers with the parse error.
template <typename Parse, typename Action>
void parseOrRefuse(const HttpServer::Responder &respond, const Parse &parse, const Action &action)
{
    const auto parsed = capture(parse);
    if (const auto *error = std::get_if<Error>(&parsed))
        respond(errorResponse(*error));
    else
        action(std::get<StatementRequest>(parsed));
}

} // namespace

CallerApi::CallerApi(StatementRouter &router, const SessionTokenCodec &codec, const Clock &clock,
                     Settings settings)
    : router_(router)
    , codec_(codec)
    , clock_(clock)
    , settings_(settings)
{
}

void CallerApi::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const auto parsed = capture([&] { return parseRequestTarget(request.target); });
    if (const auto *error = std::get_if<Error>(&parsed)) {
        respond(errorResponse(*error));
        return;
    }
    const auto &path = std::get<RequestTarget>(parsed).path;
    if (path.size() == 1 && path[0] == "healthz") {
        respond({draining_ ? 503U : 200U,
                 draining_ ? R"({"status":"draining"})" : R"({"status":"ok"})"});
        return;
    }
    const bool isService = path.size() >= 4 && path[0] == "v1" && path[1] == "services";
    if (isService && request.method != "POST") {
        respond({405, errorBody({ErrorCode::InvalidArgument, "use POST"})});
        return;
    }
    if (isService && draining_) {
        StatementAnswer refusal;
        refusal.error =
            Error{ErrorCode::Unavailable, "this daemon is shutting down; use another one"};
        respond({503, encodeAnswer(refusal, std::nullopt)});
        return;
    }
    if (isService && path.size() == 4 && path[3] == "statements")
        handleStatement(path[2], request, respond);
    else if (isService && path.size() == 4 && path[3] == "transactions")
        handleBeginTransaction(path[2], request, respond);
    else if (isService && path.size() == 6 && path[3] == "transactions"
             && (path[5] == "commit" || path[5] == "rollback"))
        handleFinishTransaction(path[2], path[4], path[5] == "commit", request, respond);
    else if (isService && path.size() == 6 && path[3] == "requests" && path[5] == "resolve")
        handleResolve(path[2], path[4], request, respond);
    else
        respond(errorResponse({ErrorCode::NotFound, "no such operation"}));
}

// Parses the fields that all operations on a service share; an empty body selects the defaults.
Result<StatementRequest> CallerApi::parseCommonFields(const std::string &service,
                                                      const HttpRequest &request) const
{
    json::object body;
    if (!request.body.empty()) {
        BOOST_LEAF_ASSIGN(body, parseJsonObject(request.body));
    }
    BOOST_LEAF_CHECK(rejectUnknownFields(body));
    StatementRequest statement;
    statement.service = ServiceName(service);
    statement.fairnessKey = std::to_string(request.connection);
    BOOST_LEAF_AUTO(deadline, optionalUnsigned(body, "deadline_ms"));
    const auto maxDeadlineMs = static_cast<std::uint64_t>(settings_.maxDeadline.count());
    if (deadline && (*deadline == 0 || *deadline > maxDeadlineMs))
        return makeError(ErrorCode::InvalidArgument,
                         "field \"deadline_ms\" must be 1 to " + std::to_string(maxDeadlineMs));
    statement.remaining = deadline ? Milliseconds(*deadline) : settings_.defaultDeadline;
    BOOST_LEAF_AUTO(token, optionalString(body, "session"));
    if (token) {
        BOOST_LEAF_AUTO(session, codec_.decode(*token));
        if (session.service != statement.service)
            return makeError(ErrorCode::InvalidArgument, "the session token belongs to service \""
                                                             + session.service.value() + "\"");
        statement.session = session;
    }
    BOOST_LEAF_ASSIGN(statement.sessionLabels, readLabels(body));
    return statement;
}

Result<StatementRequest> CallerApi::parseStatement(const std::string &service,
                                                   const HttpRequest &request) const
{
    BOOST_LEAF_AUTO(statement, parseCommonFields(service, request));
    BOOST_LEAF_AUTO(body, parseJsonObject(request.body));
    BOOST_LEAF_AUTO(kind, requireString(body, "kind"));
    if (kind != "read" && kind != "write")
        return makeError(ErrorCode::InvalidArgument,
                         "field \"kind\" must be \"read\" or \"write\"");
    statement.kind = kind == "write" ? StatementKind::Write : StatementKind::Read;
    const json::value *text = body.if_contains("statement");
    if (!text)
        return makeError(ErrorCode::InvalidArgument, "field \"statement\" must be present");
    statement.statement = json::serialize(*text);
    BOOST_LEAF_AUTO(maxAge, optionalUnsigned(body, "max_age_ms"));
    if (maxAge && *maxAge > maxAgeLimitMs)
        return makeError(ErrorCode::InvalidArgument,
                         "field \"max_age_ms\" must be at most " + std::to_string(maxAgeLimitMs));
    if (maxAge)
        statement.maxAge = Milliseconds(*maxAge);
    BOOST_LEAF_AUTO(idempotent, optionalBool(body, "idempotent"));
    statement.idempotent = idempotent.value_or(false);
    BOOST_LEAF_AUTO(requestId, optionalString(body, "request_id"));
    if (requestId) {
        BOOST_LEAF_AUTO(checked, checkId("request_id", *requestId));
        statement.requestId = RequestId(checked);
    }
    BOOST_LEAF_AUTO(transaction, optionalString(body, "transaction"));
    if (transaction) {
        BOOST_LEAF_AUTO(checked, checkId("transaction", *transaction));
        statement.transaction = TransactionId(checked);
    }
    return statement;
}

StatementRouter::Callback CallerApi::makeAnswerCallback(const HttpServer::Responder &respond,
                                                        const StatementRequest &request)
{
    return [this, respond, request, startedAt = clock_.now()](const StatementAnswer &answer) {
        if (observer_)
            observer_(request, answer,
                      std::chrono::duration_cast<Milliseconds>(clock_.now() - startedAt));
        respond({answerHttpStatus(answer), encodeAnswer(answer, std::nullopt)});
    };
}

void CallerApi::handleStatement(const std::string &service, const HttpRequest &request,
                                const HttpServer::Responder &respond)
{
    parseOrRefuse(
        respond, [&] { return parseStatement(service, request); },
        [&](const StatementRequest &statement) {
            router_.handleStatement(statement, makeAnswerCallback(respond, statement));
        });
}

void CallerApi::handleBeginTransaction(const std::string &service, const HttpRequest &request,
                                       const HttpServer::Responder &respond)
{
    const auto answer = [this, respond](const StatementAnswer &result,
                                        const std::optional<TransactionId> &begun) {
        respond({answerHttpStatus(result), encodeAnswer(result, begun)});
    };
    parseOrRefuse(
        respond, [&] { return parseCommonFields(service, request); },
        [&](const StatementRequest &statement) { router_.beginTransaction(statement, answer); });
}

void CallerApi::handleFinishTransaction(const std::string &service, const std::string &transaction,
                                        bool commit, const HttpRequest &request,
                                        const HttpServer::Responder &respond)
{
    const auto parse = [&]() -> Result<StatementRequest> {
        BOOST_LEAF_AUTO(statement, parseCommonFields(service, request));
        BOOST_LEAF_AUTO(id, checkId("transaction", transaction));
        statement.transaction = TransactionId(id);
        statement.kind = StatementKind::Write;
        return statement;
    };
    parseOrRefuse(respond, parse, [&](const StatementRequest &statement) {
        router_.finishTransaction(statement, commit, makeAnswerCallback(respond, statement));
    });
}

void CallerApi::handleResolve(const std::string &service, const std::string &requestId,
                              const HttpRequest &request, const HttpServer::Responder &respond)
{
    const auto parse = [&]() -> Result<StatementRequest> {
        BOOST_LEAF_AUTO(statement, parseCommonFields(service, request));
        BOOST_LEAF_AUTO(id, checkId("request_id", requestId));
        statement.requestId = RequestId(id);
        statement.kind = StatementKind::Write;
        return statement;
    };
    parseOrRefuse(respond, parse, [&](const StatementRequest &statement) {
        router_.resolveRequest(statement, makeAnswerCallback(respond, statement));
    });
}

std::string CallerApi::encodeAnswer(const StatementAnswer &answer,
                                    const std::optional<TransactionId> &transaction) const
{
    json::object body;
    const auto outcome = outcomeName(answer.outcome);
    body["outcome"] = json::string_view(outcome.data(), outcome.size());
    if (answer.outcome == Outcome::Committed && !answer.result.empty()) {
        json::error_code failure;
        body["result"] = json::parse(answer.result, failure);
    }
    if (answer.session)
        body["session"] = codec_.encode(*answer.session);
    if (!answer.endpoint.value().empty()) {
        body["endpoint"] = answer.endpoint.value();
        body["from_replica"] = answer.fromReplica;
        body["age_ms"] = answer.age.count();
    }
    if (!answer.requestId.value().empty())
        body["request_id"] = answer.requestId.value();
    if (transaction)
        body["transaction"] = transaction->value();
    if (answer.error) {
        const auto code = errorCodeName(answer.error->code);
        body["reason"] = json::string_view(code.data(), code.size());
        body["message"] = answer.error->message;
    }
    return json::serialize(body);
}

} // namespace pistachiowood
