#ifndef PISTACHIOWOOD_GATEWAY_CALLER_SESSION_H
#define PISTACHIOWOOD_GATEWAY_CALLER_SESSION_H

#include "gateway/endpoint_choice.h"
#include "gateway/gateway_services.h"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace pistachiowood {

/// Connection to a caller, implemented by the protocol that the caller speaks.
class CallerChannel
{
public:
    virtual ~CallerChannel() = default;
    virtual void sendReply(const StatementReply &reply) = 0;
    /// Closes the connection once all replies are sent; the session ends with it.
    virtual void close() = 0;
};

/// One session of a caller: its variables, prepared statements and open transaction. Runs one
/// statement at a time. Retries a statement only if it was not executed or only reads.
class CallerSession final : public LinkUser
{
public:
    CallerSession(GatewayServices &services, CallerChannel &channel, DatabaseRoute route);
    ~CallerSession() override;

    void handleStatement(SessionStatement statement);
    /// Resumes a statement that waits for an endpoint or for the permission to use the primary.
    void handleViewChanged();
    /// Aborts a transaction that exceeds the idle timeout.
    void tick();
    /// Closes the session after its next statement outside a transaction.
    void closeWhenIdle() { draining_ = true; }
    /// Closes the session once it is idle; an open transaction may continue until
    /// finishTransactions().
    void startDrain();
    /// Aborts an open transaction and closes the session, after the running statement if there is
    /// one.
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
        bool opened = false; ///< begun at the endpoint
        bool wrote = false;
        bool broken = false; ///< connection lost or idle timeout exceeded between statements
        TimePoint startedAt;
        TimePoint lastActivity;
        std::uint64_t primaryEpoch = 0;
    };

    struct Work
    {
        SessionStatement statement;
        PreparedStatement prepared; ///< Execute: definition that the name refers to
        bool writes = false;
        TimePoint startedAt;
        TimePoint holdUntil; ///< deadline for getting an endpoint and its connection
        Stage stage = Stage::Holding;
        EndpointChoice target;
        LinkPool::Ticket ticket = 0;
        std::set<EndpointId> excluded; ///< endpoints that refused it since the last delayed retry
        unsigned holds = 0; ///< times that no endpoint was available; doubles the retry delay
        LinkPrelude prelude;
        std::size_t preludePending = 0;
        std::optional<ReplyCode> preludeFailure;
        std::optional<StatementReply> unconfirmed; ///< reply to a write, held until confirmWrite
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
    bool failed_ = false; ///< a failed transaction; the caller must commit or roll back to end it
    bool draining_ = false;
    bool ending_ = false; ///< finishTransactions() was called
    std::optional<Work> work_;
    PooledLink *link_ = nullptr;
    std::optional<OwnCommit> ownCommit_;
    std::deque<SessionStatement> input_; ///< statements received while another one runs
};

} // namespace pistachiowood

#endif
