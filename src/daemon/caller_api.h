#ifndef PISTACHIOWOOD_DAEMON_CALLER_API_H
#define PISTACHIOWOOD_DAEMON_CALLER_API_H

#include "net/http.h"
#include "sessions/session_token_codec.h"
#include "statements/statement_router.h"

#include <functional>

namespace pistachiowood {

/// HTTP API for callers; no other code depends on its wire format.
class CallerApi
{
public:
    struct Settings
    {
        Milliseconds defaultDeadline{2000};
        Milliseconds maxDeadline{60000};
    };

    /// Called after each finished statement, to record metrics.
    using StatementObserver = std::function<void(const StatementRequest &, const StatementAnswer &,
                                                 Milliseconds latency)>;

    CallerApi(StatementRouter &router, const SessionTokenCodec &codec, const Clock &clock,
              Settings settings);

    void setObserver(StatementObserver observer) { observer_ = std::move(observer); }
    /// While draining, new requests are refused with the outcome NotRun.
    void setDraining(bool draining) { draining_ = draining; }

    void handle(const HttpRequest &request, const HttpServer::Responder &respond);

private:
    Result<StatementRequest> parseStatement(const std::string &service,
                                            const HttpRequest &request) const;
    Result<StatementRequest> parseCommonFields(const std::string &service,
                                               const HttpRequest &request) const;
    void handleStatement(const std::string &service, const HttpRequest &request,
                         const HttpServer::Responder &respond);
    void handleBeginTransaction(const std::string &service, const HttpRequest &request,
                                const HttpServer::Responder &respond);
    void handleFinishTransaction(const std::string &service, const std::string &transaction,
                                 bool commit, const HttpRequest &request,
                                 const HttpServer::Responder &respond);
    void handleResolve(const std::string &service, const std::string &requestId,
                       const HttpRequest &request, const HttpServer::Responder &respond);
    StatementRouter::Callback makeAnswerCallback(const HttpServer::Responder &respond,
                                                 const StatementRequest &request);
    std::string encodeAnswer(const StatementAnswer &answer,
                             const std::optional<TransactionId> &transaction) const;

    StatementRouter &router_;
    const SessionTokenCodec &codec_;
    const Clock &clock_;
    Settings settings_;
    StatementObserver observer_;
    bool draining_ = false;
};

} // namespace pistachiowood

#endif
