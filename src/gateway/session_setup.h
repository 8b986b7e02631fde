#ifndef PISTACHIOWOOD_GATEWAY_SESSION_SETUP_H
#define PISTACHIOWOOD_GATEWAY_SESSION_SETUP_H

#include "gateway/statement.h"

#include <string>
#include <vector>

namespace pistachiowood {

/// Session state at the endpoint of one connection.
struct EndpointSessionState
{
    SessionVariables variables;
    std::vector<PreparedStatement> prepared; ///< named at the endpoint by index, see preparedName
};

/// Name at the endpoint of the prepared statement at an index of EndpointSessionState::prepared.
std::string preparedName(std::size_t index);

/// Statements that change the session state of a connection to the state that a caller's statement
/// needs.
struct SessionSetup
{
    std::vector<SessionStatement> statements;
    EndpointSessionState result; ///< state after the statements have succeeded
    std::string preparedName; ///< name at the endpoint of the needed prepared statement
};

/// Plans the set-up of a connection for the session with these variables; `needed` is the prepared
/// statement to execute, or null. A connection inside a transaction is never reset: its variables
/// already belong to the same session.
SessionSetup planSessionSetup(const EndpointSessionState &current,
                              const SessionVariables &variables, const PreparedStatement *needed,
                              bool inTransaction);

/// Number of statements that planSessionSetup would need for the variables. The pool prefers the
/// idle connection with the fewest.
std::size_t countVariableChanges(const EndpointSessionState &current,
                                 const SessionVariables &variables);

} // namespace pistachiowood

#endif
