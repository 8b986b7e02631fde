#ifndef PISTACHIOWOOD_ENDPOINTS_ATTEMPT_H
#define PISTACHIOWOOD_ENDPOINTS_ATTEMPT_H

#include "endpoints/endpoint_refusal.h"
#include "endpoints/endpoint_report.h"

#include <pistachiowood/statement.h>

#include <functional>
#include <optional>
#include <string>

namespace pistachiowood {

enum class AttemptOperation { Statement, Begin, Commit, Rollback, Resolve };

/// One try of a statement or operation, executed by the daemon that owns the endpoint.
struct AttemptRequest
{
    AttemptOperation operation = AttemptOperation::Statement;
    ServiceName service;
    EndpointId endpoint;
    Term term;
    StatementKind kind = StatementKind::Read;
    std::string statement; ///< JSON text
    RequestId requestId; ///< empty for reads
    std::string fairnessKey;
    Milliseconds remaining{0};
    std::optional<TransactionId> transaction;
    /// Reads: an answer that misses one of these bounds is returned without a wait for durability.
    LogPosition minPosition;
    Milliseconds maxAge{0};
};

enum class AttemptState {
    Executed, ///< the endpoint answered
    NotExecuted, ///< certainly not executed
    Uncertain, ///< may have been executed
};

struct AttemptAnswer
{
    AttemptState state = AttemptState::NotExecuted;
    std::string result; ///< JSON text
    EndpointReport report;
    LogPosition entryPosition; ///< entry written, or snapshot read
    bool durable = false; ///< a majority holds the entry in the term of the report
    bool duplicate = false; ///< the request id was executed before; holds the first result
    bool resolvedCommitted = false; ///< Resolve: the request id is in the log
    std::optional<TransactionId> transaction; ///< Begin: the new transaction
    EndpointRefusal refusal = EndpointRefusal::None;
    bool ownerUnreachable = false; ///< no daemon received the attempt; not sent on the wire
    Error error; ///< reason unless Executed and durable
};

using AttemptCallback = std::function<void(AttemptAnswer)>;

} // namespace pistachiowood

#endif
