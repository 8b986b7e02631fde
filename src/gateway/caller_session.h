#ifndef PISTACHIOWOOD_GATEWAY_CALLER_SESSION_H
#define PISTACHIOWOOD_GATEWAY_CALLER_SESSION_H

#include "gateway/endpoint_choice.h"
#include "gateway/gateway_context.h"

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
    /// Closes the connection once all replies are sent; the session ends with it. Does nothing if
    /// more statements have arrived: they are passed to the session first.
    virtual void close() = 0;
    /// Closes the connection without reading further statements.
    virtual void terminate() = 0;
};

/// What the START of a session has shown of its caller.
struct SessionCredentials
{
    std::optional<CustomerName> customer; ///< nullopt if the route or the deployment needs no key
    std::string key; ///< of the customer; a secret
};

/// One session of a caller: its variables, prepared statements and open transaction. Runs one
/// statement at a time. Retries a statement only if it was not executed or only reads.
class CallerSession final : public ConnectionUser
{
public:
    CallerSession(GatewayContext &context, CallerChannel &channel, DatabaseRoute route,
                  std::size_t maxStateBytes, SessionCredentials credentials = {});
    ~CallerSession() override;

    void handleStatement(SessionStatement statement);
    /// Whether a statement runs or waits for an endpoint.
    bool isBusy() const { return execution_.has_value(); }
    /// Memory that statements, variables and prepared statements take, with copies on their way.
    std::size_t heldBytes() const;
    /// Resumes a statement that waits for an endpoint or for the permission to use the primary.
    void handleViewChanged();
    /// Ends the session if the view no longer entitles it: its key is withdrawn or belongs to
    /// another customer, or its route now needs a key. A running statement is finished first, an
    /// open transaction is rolled back and its next statement answered with Aborted. Returns
    /// whether the session has lost its entitlement with this call.
    bool checkEntitlement();
    /// Aborts a transaction that exceeds the idle timeout.
    void tick();
    /// Closes the session after its next statement outside a transaction.
    void closeWhenIdle() { draining_ = true; }
    /// Closes the session once it is idle; an open transaction may continue until
    /// abortTransactionAndClose().
    void startDrain();
    /// Aborts an open transaction and closes the session, after the running statement if there is
    /// one.
    void abortTransactionAndClose();
    /// Answers the running statement with what is known of it, refuses the queued and all later
    /// ones and closes the session.
    void abandonStatementAndClose();

    void handleConnectionGranted(PooledConnection &connection) override;
    void handleConnectionRefused(ConnectionFailure failure) override;
    void handleReply(StatementReply reply) override;
    void handleConnectionLost() override;

private:
    enum class Stage {
        WaitingForEndpoint,
        WaitingForConnection,
        SettingUp,
        Sent,
        Confirming,
        WaitingForAdmission
    };

    struct Transaction
    {
        bool readOnly = false;
        bool opened = false; ///< begun at the endpoint
        bool wrote = false;
        bool admitted = false; ///< counted against the limit of the customer
        bool broken = false; ///< connection lost or idle timeout exceeded between statements
        TimePoint startedAt;
        TimePoint lastActivity;
        std::uint64_t primaryEpoch = 0;
    };

    struct Execution
    {
        SessionStatement statement;
        PreparedStatement prepared; ///< Execute: definition that the name refers to
        bool writes = false;
        TimePoint startedAt;
        TimePoint endpointDeadline; ///< deadline for getting an endpoint and its connection
        Stage stage = Stage::WaitingForEndpoint;
        EndpointChoice target;
        ConnectionPool::RequestId requestId = 0;
        std::set<EndpointId> excluded; ///< endpoints that refused it since the last delayed retry
        unsigned endpointWaits = 0; ///< delayed retries because no endpoint was available
        SessionSetup setup;
        std::size_t pendingSetupReplies = 0;
        std::optional<ReplyCode> setupFailure;
        std::optional<StatementReply> unconfirmedReply; ///< of a write, until confirmWrite()
        OperationAdmission::Ticket admission = 0; ///< of the operation, while it waits
        TimerId timer = 0;
        TimerId retryTimer = 0;
    };

    void startStatement(SessionStatement statement);
    void executeLocally(const SessionStatement &statement);
    void startEndpointStatement(SessionStatement statement);
    bool refreshRoute();
    template <typename Value>
    void define(std::map<std::string, Value> &entries, const std::string &name, Value value,
                const std::string &refusal);
    void beginTransaction(bool readOnly);
    void endTransaction();
    void admitOperation();
    void handleAdmission(bool admitted);
    void refuseOperation();
    void dispatch();
    bool needsPrimary() const;
    void acquireConnection(const EndpointChoice &choice);
    void waitForEndpoint();
    void startSetup();
    void sendStatement();
    void finishSetup();
    void handleStatementReply(StatementReply reply);
    void handleSuccess(StatementReply reply);
    bool confirmWrite();
    void retryStatement(ReplyCode code);
    void retryLater(Milliseconds delay);
    void handleTimeout();
    void extendTimer(Milliseconds atLeast);
    void logFailure(ReplyCode code, const std::string &message) const;
    void failStatement(ReplyCode code, const std::string &message);
    void finishStatement(StatementReply reply);
    void replyLocally(std::optional<ReplyCode> failure, const std::string &message);
    void releaseConnection();
    void discardConnection();
    void stopTimers();
    void startNextStatement();
    bool isEntitled() const;
    void endWithdrawnSession();
    SessionPhase phase() const;
    bool mayHaveWritten() const;

    GatewayContext &context_;
    CallerChannel &channel_;
    DatabaseRoute route_;
    std::optional<CustomerName> customer_; ///< set for a session of a customer
    std::string key_; ///< of the customer; a secret
    SessionVariables variables_;
    std::map<std::string, PreparedStatement> prepared_;
    std::size_t maxStateBytes_; ///< of variables_ and prepared_
    std::size_t stateBytes_ = 0;
    std::optional<Transaction> transaction_;
    bool transactionFailed_ = false; ///< until the caller ends it by a commit or rollback
    bool draining_ = false;
    bool withdrawn_ = false; ///< no longer entitled; runs no further statement
    bool stopping_ = false; ///< the daemon stops; runs no further statement
    bool abortRequested_ = false; ///< abortTransactionAndClose() was called
    std::optional<Execution> execution_;
    PooledConnection *connection_ = nullptr;
    std::optional<LastCommit> lastCommit_;
    std::deque<SessionStatement> queuedStatements_; ///< statements received while another one runs
};

} // namespace pistachiowood

#endif
