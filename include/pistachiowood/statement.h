#ifndef PISTACHIOWOOD_STATEMENT_H
#define PISTACHIOWOOD_STATEMENT_H

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <map>
#include <optional>
#include <string>

namespace pistachiowood {

enum class StatementKind { Read, Write };

/// What is known about a statement when the caller gets its answer.
enum class Outcome {
    Committed, ///< executed; a write is held by a majority of the group
    NotRun, ///< certainly not executed
    Unknown, ///< may or may not have been executed
};

std::string_view outcomeName(Outcome outcome);

/// Newest log position that a session has written or read.
struct SessionToken
{
    ServiceName service;
    Term term;
    LogPosition position;

    friend bool operator==(const SessionToken &, const SessionToken &) = default;
};

/// One statement as a caller sends it, independent of the wire format.
struct StatementRequest
{
    ServiceName service;
    StatementKind kind = StatementKind::Read;
    std::string statement; ///< JSON text, passed to the endpoint unchanged
    std::optional<SessionToken> session;
    std::optional<Milliseconds> maxAge; ///< maximum age of the data that a read returns
    bool idempotent = false;
    RequestId requestId;
    std::map<std::string, std::string> sessionLabels; ///< matched by the service's read rules
    std::string fairnessKey; ///< key of the session in the fair queue, such as its connection
    Milliseconds remaining{0}; ///< time left until the caller's deadline
    std::optional<TransactionId> transaction;
};

struct StatementAnswer
{
    Outcome outcome = Outcome::NotRun;
    std::string result; ///< JSON text of the endpoint's result
    std::optional<SessionToken> session;
    EndpointId endpoint;
    RequestId requestId; ///< writes: the id under which the outcome can be resolved
    bool fromReplica = false;
    Milliseconds age{0}; ///< upper bound on the age of the data that a read returned
    std::optional<Error> error; ///< reason when the outcome is not Committed
};

} // namespace pistachiowood

#endif
