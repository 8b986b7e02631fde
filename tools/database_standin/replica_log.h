#ifndef PISTACHIOWOOD_DATABASE_STANDIN_REPLICA_LOG_H
#define PISTACHIOWOOD_DATABASE_STANDIN_REPLICA_LOG_H

#include "endpoints/endpoint_report.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace pistachiowood::standin {

enum class RefusalCode {
    StaleTerm,
    NewerTermRequired,
    NotPrimary,
    RefusedRequest, ///< resolve recorded the request id as refused
    TransactionLost,
    InvalidArgument,
    Conflict,
    TooManyConnections,
    Unavailable,
    NotFound,
};

struct Refusal
{
    RefusalCode code = RefusalCode::InvalidArgument;
    std::string message;
};

/// A value, or the reason why nothing was executed.
template <typename T>
using Answer = std::variant<T, Refusal>;

enum class OperationKind { Put, Get, Append, List, Count };

/// One statement. List and Count select the keys that start with `key`.
struct Operation
{
    OperationKind kind = OperationKind::Get;
    std::string key;
    boost::json::value value; ///< Put and Append only
};

inline bool isWrite(OperationKind kind)
{
    return kind == OperationKind::Put || kind == OperationKind::Append;
}

/// One log entry; a transaction is one entry with several operations. A promotion writes an entry
/// without operations, so that a majority can hold an entry of the new term at once.
struct LogEntry
{
    Term term;
    RequestId requestId; ///< empty when the writer gave none
    bool refused = false; ///< records the request id as refused; has no operations
    std::vector<Operation> operations;
    boost::json::value result; ///< what the writer was answered, for duplicates
};

struct StatementInput
{
    Term term;
    Operation operation;
    RequestId requestId;
    bool inTransaction = false;
};

struct StatementResult
{
    boost::json::value result;
    LogPosition entryPosition; ///< the written entry, or the snapshot that a read saw
    bool duplicate = false;
};

struct ResolveResult
{
    bool committed = false;
    boost::json::value result;
    LogPosition entryPosition;
};

/// A follower's request for the entries above `from`.
struct LogQuery
{
    Term term;
    LogPosition from;
    Term lastEntryTerm; ///< term of the follower's entry at `from`
    std::string follower;
    std::optional<TimePoint> echo; ///< primary time of the last batch that the follower received
    std::size_t maxEntries = 1000;
};

struct LogBatch
{
    Term term;
    EndpointId primary;
    LogPosition from;
    std::optional<LogPosition>
        truncateTo; ///< the follower's log diverges at or below this position
    Term truncateTerm; ///< term of the primary's entry at truncateTo
    std::vector<LogEntry> entries;
    bool caughtUp = false; ///< the batch reaches the end of the primary's log
    Milliseconds primaryAge{0};
    TimePoint primaryTime; ///< on the primary's clock; the follower echoes it
    std::vector<TermStart> history;
};

/// Age of data that never was in sync with a primary. Ten years fit into nanoseconds with room for
/// sums.
inline constexpr Milliseconds unknownAge = std::chrono::hours(24 * 3650);

/// State of one endpoint of a database group: log, data, terms and transactions. Deterministic, no
/// I/O. Everything is in memory, which grows with the log: entries and request ids are never
/// dropped, and a restarted process is an empty endpoint that remembers no grant.
class ReplicaLog
{
public:
    ReplicaLog(EndpointId id, std::size_t groupSize, const Clock &clock);

    EndpointReport report() const;
    /// True when the log is known to be a prefix of the log of the current term's primary. A
    /// replica whose log is not matched may hold entries that it has to truncate.
    bool isMatched() const { return matched_; }
    const EndpointId &id() const { return id_; }
    Term term() const { return term_; }
    LogPosition position() const { return LogPosition(log_.size()); }
    bool isPrimary() const { return role_ == EndpointRole::Primary; }
    const std::string &promoter() const { return promoter_; }
    Milliseconds primaryContact() const;
    const std::vector<TermStart> &history() const { return history_; }

    Answer<StatementResult> execute(std::uint64_t connection, const StatementInput &input);
    std::optional<Refusal> begin(std::uint64_t connection, Term term);
    /// The result is an array with the result of each write.
    Answer<StatementResult> commit(std::uint64_t connection, Term term, const RequestId &requestId);
    /// Drops the connection's transaction, if there is one; also called when the connection closes.
    void rollback(std::uint64_t connection);
    Answer<ResolveResult> resolve(Term term, const RequestId &requestId);

    /// Returns whether the term is granted to the promoter.
    bool raiseTerm(Term term, const std::string &promoter);
    std::optional<Refusal> promote(Term term, const std::string &promoter);
    std::optional<Refusal> follow(Term term, const EndpointId &primary);

    /// Primary: answers a fetch and records the follower's contact.
    Answer<LogBatch> readLog(const LogQuery &query);
    /// Replica: the query that continues after the log; empty without a primary.
    std::optional<LogQuery> nextQuery() const;
    /// Replica: notes that the primary answered. False when the batch is of another term or
    /// primary.
    bool recordPrimaryContact(const LogBatch &batch);
    /// Replica: appends or truncates. A batch of another term, primary or position is ignored.
    bool applyBatch(const LogBatch &batch, TimePoint fetchSentAt);

private:
    using Values = std::map<std::string, boost::json::value>;

    struct Transaction
    {
        std::vector<Operation> writes;
        Values overlay;
    };

    std::optional<Refusal> checkTerm(Term term) const;
    std::optional<Refusal> checkPrimary(Term term) const;
    bool isFollowing(const LogBatch &batch) const;
    std::optional<Answer<StatementResult>> findRequest(const RequestId &requestId) const;
    boost::json::value read(const Operation &operation, const Values *overlay) const;
    std::optional<Refusal> checkWrite(const Operation &operation, const Values *overlay) const;
    boost::json::value writeOverlay(const Operation &operation, Values &overlay) const;
    boost::json::value writeData(const Operation &operation);
    LogPosition append(LogEntry entry);
    void indexEntry(const LogEntry &entry, LogPosition position);
    void truncate(LogPosition end);
    void enterTerm(Term term, const std::string &promoter);
    Term termAt(LogPosition position) const;
    LogPosition lastPositionUpToTerm(Term term, LogPosition limit) const;
    std::optional<TimePoint> majorityContact() const;
    Milliseconds age() const;

    EndpointId id_;
    std::size_t groupSize_;
    const Clock &clock_;

    Term term_;
    std::string promoter_; ///< who was granted term_; empty when it was adopted from follow
    EndpointRole role_ = EndpointRole::Replica;
    EndpointId primary_; ///< followed primary; empty without one
    bool matched_ = false;
    std::vector<TermStart> history_;

    std::vector<LogEntry> log_; ///< the entry at position p is log_[p - 1]
    Values data_;
    std::unordered_map<std::string, LogPosition> requests_;
    std::unordered_map<std::uint64_t, Transaction> transactions_; ///< of term_, by connection

    TimePoint contactSince_; ///< last answer from the primary, or when it was set
    std::optional<TimePoint> echo_;
    std::optional<TimePoint> syncedAt_; ///< the data holds every write committed before this time
    TimePoint promotedAt_;
    std::map<std::string, TimePoint> followerContacts_; ///< this primary's term only
};

} // namespace pistachiowood::standin

#endif
