#ifndef PISTACHIOWOOD_DATABASE_STANDIN_ENDPOINT_WIRE_H
#define PISTACHIOWOOD_DATABASE_STANDIN_ENDPOINT_WIRE_H

#include "base/json.h"
#include "database_standin/replica_log.h"
#include "net/request_target.h"

#include <pistachiowood/error.h>

#include <string>
#include <string_view>

namespace pistachiowood::standin {

using pistachiowood::requireUnsigned;

/// Reads a required query parameter.
Result<std::uint64_t> requireUnsigned(const RequestTarget &target, std::string_view name);

/// Reads a duration in milliseconds of at most one hour.
Result<std::optional<Milliseconds>> optionalDuration(const boost::json::object &object,
                                                     const std::string &field);

std::string_view refusalCodeName(RefusalCode code);
unsigned refusalStatus(RefusalCode code);

/// Fields that every response carries.
boost::json::object encodeReport(const ReplicaLog &log);
boost::json::array encodeHistory(const std::vector<TermStart> &history);

/// Reads {"op","key"?,"value"?}. Only list and count may omit the key.
Result<Operation> decodeOperation(const boost::json::value &statement);

std::string encodeQuery(const LogQuery &query, Milliseconds wait);
Result<LogQuery> decodeQuery(const RequestTarget &target);

/// Encodes as many entries as fit into about maxBytes, at least one.
boost::json::object encodeBatch(const LogBatch &batch, std::size_t maxBytes);
Result<LogBatch> decodeBatch(const boost::json::object &object);

} // namespace pistachiowood::standin

#endif
