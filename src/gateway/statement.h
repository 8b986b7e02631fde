#ifndef PISTACHIOWOOD_GATEWAY_STATEMENT_H
#define PISTACHIOWOOD_GATEWAY_STATEMENT_H

#include <pistachiowood/ids.h>
#include <pistachiowood/log_position.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// Kind of a statement.
enum class Verb {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    Set, ///< name and value of a session variable
    Prepare, ///< name and definition of a prepared statement
    Execute, ///< name and arguments of a prepared statement
    Deallocate,
    Reset, ///< endpoints only: clears session variables and prepared statements
    Status, ///< endpoints only: reports role, position and load
    Demote, ///< endpoints only: makes a primary of a lower term a replica
    Malformed,
};

/// Statement that a caller sent, or that the system sends to an endpoint.
struct SessionStatement
{
    std::string id; ///< empty for statements of the system
    Verb verb = Verb::Malformed;
    std::string text; ///< reads, writes and commits: as the caller sent it
    std::string name; ///< of the session variable or prepared statement
    std::string arguments; ///< value, definition or arguments, as sent
    bool writes = false; ///< Write, or Prepare of a writing statement
    std::optional<TermPosition> minPosition; ///< position that the endpoint's log must have reached
    Term term; ///< Demote: the term that takes over
};

enum class SessionPhase { Idle, InTransaction, Failed };

/// Why a statement failed. The codes up to TooManyConnections guarantee that the caller's operation
/// had no effect.
enum class ReplyCode {
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    Misrouted,
    TooManyConnections,
    NoStatement,
    Failed,
    Timeout,
    Unknown,
    NoDatabase,
    Malformed,
    TooLarge,
    NotAuthorized, ///< the caller's key is unknown; the session ends
};

/// Name of the code for logs.
std::string_view replyCodeName(ReplyCode code);

/// Complete reply to one statement.
struct StatementReply
{
    std::vector<std::string> rows;
    std::string signature; ///< of the endpoint; empty for replies of the daemon itself
    std::optional<ReplyCode> failure;
    std::string message;
    SessionPhase phase = SessionPhase::Idle;
    std::optional<TermPosition> position; ///< of the endpoint's log

    bool succeeded() const { return !failure.has_value(); }
};

/// Role and log position that an endpoint reports about itself.
struct ReplicationStatus
{
    bool primary = false;
    Term term;
    TermPosition received;
};

/// Session variables by name.
using SessionVariables = std::map<std::string, std::string>;

/// Definition of a prepared statement, independent of the name that a caller gave it.
struct PreparedStatement
{
    std::string definition;
    bool writes = false;

    friend bool operator==(const PreparedStatement &, const PreparedStatement &) = default;
};

} // namespace pistachiowood

#endif
