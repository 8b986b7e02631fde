#ifndef PISTACHIOWOOD_GATEWAY_CALLER_SESSION_H
#define PISTACHIOWOOD_GATEWAY_CALLER_SESSION_H

#include "gateway/endpoint_choice.h"
#include "gateway/gateway_services.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace pistachiowood {

/// Connection of a caller, as the caller's protocol provides it.
class CallerChannel
{
public:
    virtual ~CallerChannel() = default;
    virtual void sendReply(const StatementReply &reply) = 0;
    /// Closes the connection after the replies; the session ends with it.
    virtual void close() = 0;
};

/// One session of a caller: variables, prepared statements and the transaction in progress. It
/// runs one statement at a time and retries only what has certainly not been executed, or what
/// only reads.
class CallerSession final : public LinkUser
{
public:
    CallerSession(GatewayServices &services, CallerChannel &channel, DatabaseRoute route);
    ~CallerSession() override;

    void handleStatement(SessionStatement statement);
    /// Continues what waits for a primary or for the permission to use it.
    void handleViewChanged();
    /// Ends a transaction that has been idle for too long.
    void tick();
    /// Closes the session after its next statement outside a transaction.
    void closeWhenIdle() { draining_ = true; }
    /// Closes the session once it is idle; open transactions may go on until finishTransactions.
    void startDrain();
    /// Aborts an open transaction, once no statement runs, and closes the session.
    void finishTransactions();

    void handleLinkGranted(PooledLink &link) override;
    void handleLinkRefused(LinkFailure failure) override;
    void handleReply(StatementReply reply) override;
    void handleLinkLost() override;

private:
    enum class Stage { Holding, WaitingForLink, Prelude, Sent, Confirming };

    struct Transaction
    {
        bool readOnly = false;
        bool opened = false; ///< the endpoint has begun it
        bool wrote = false;
        bool broken = false; ///< the connection was lost between statements
        TimePoint startedAt;
        TimePoint lastActivity;
        std::uint64_t primaryEpoch = 0;
    };

    struct Work
    {
        SessionStatement statement;
        PreparedStatement prepared; ///< Execute: what the name stands for
        bool writes = false;
        TimePoint startedAt;
        TimePoint holdUntil; ///< until which it waits for an endpoint
        Stage stage = Stage::Holding;
        EndpointChoice target;
        LinkPool::Ticket ticket = 0;
        std::set<EndpointId> excluded;
        unsigned holds = 0; ///< times that no endpoint could run it
        LinkPrelude prelude;
        std::size_t preludePending = 0;
        std::optional<ReplyCode> preludeFailure;
        std::optional<StatementReply> unconfirmed; ///< success that waits for the permission
        TimerId timer = 0;
        TimerId retryTimer = 0;
    };

    void startStatement(SessionStatement statement);
    void startLocal(const SessionStatement &statement);
    void startEndpointWork(SessionStatement statement);
    bool refreshRoute();
    template <typename Value>
    void define(std::map<std::string, Value> &entries, const std::string &name, Value value,
                const std::string &refusal);
    void beginTransaction(bool readOnly);
    void endTransaction();
    void dispatch();
    bool needsPrimary() const;
    void acquireLink(const EndpointChoice &choice);
    void hold();
    void startPrelude();
    void sendMain();
    void finishPrelude();
    void handleMainReply(StatementReply reply);
    void handleSuccess(StatementReply reply);
    bool confirmWrite();
    void handleNotRun(ReplyCode code);
    void retryLater(Milliseconds delay);
    void handleExpired();
    void extendTimer(Milliseconds atLeast);
    void giveUp(ReplyCode code, const std::string &message);
    void finish(StatementReply reply);
    void replyLocally(std::optional<ReplyCode> failure, const std::string &message);
    void releaseLink();
    void discardLink();
    void stopTimers();
    void continueInput();
    SessionPhase phase() const;
    bool sentMayHaveWritten() const;

    GatewayServices &services_;
    CallerChannel &channel_;
    DatabaseRoute route_;
    SessionVariables variables_;
    std::map<std::string, PreparedStatement> prepared_;
    std::optional<Transaction> transaction_;
    bool failed_ = false; ///< the transaction has failed and waits for its end
    bool draining_ = false;
    bool ending_ = false;
    std::optional<Work> work_;
    PooledLink *link_ = nullptr;
    std::optional<OwnCommit> ownCommit_;
    std::deque<SessionStatement> input_;
};

} // namespace pistachiowood

#endif
