#ifndef PISTACHIOWOOD_GATEWAY_LINK_PRELUDE_H
#define PISTACHIOWOOD_GATEWAY_LINK_PRELUDE_H

#include "gateway/statement.h"

#include <string>
#include <vector>

namespace pistachiowood {

/// Session state at the endpoint of one connection.
struct LinkSessionState
{
    SessionVariables variables;
    std::vector<PreparedStatement> prepared; ///< named at the endpoint by index, see preparedName
};

/// Name at the endpoint of the prepared statement at an index of LinkSessionState::prepared.
std::string preparedName(std::size_t index);

/// Statements that change the session state of a connection to the state that a caller's statement
/// needs.
struct LinkPrelude
{
    std::vector<SessionStatement> statements;
    LinkSessionState result; ///< state after the statements have succeeded
    std::string preparedName; ///< name at the endpoint of the needed prepared statement
};

/// Plans the set-up of a connection for the session with these variables; `needed` is the prepared
/// statement to execute, or null. A connection inside a transaction is never reset: its variables
/// already belong to the same session.
LinkPrelude planPrelude(const LinkSessionState &current, const SessionVariables &variables,
                        const PreparedStatement *needed, bool inTransaction);

/// Number of statements that planPrelude would need for the variables. The pool prefers the idle
/// connection with the fewest.
std::size_t countVariableChanges(const LinkSessionState &current,
                                 const SessionVariables &variables);

} // namespace pistachiowood

#endif
