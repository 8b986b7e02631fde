#ifndef PISTACHIOWOOD_GATEWAY_LINK_PRELUDE_H
#define PISTACHIOWOOD_GATEWAY_LINK_PRELUDE_H

#include "gateway/statement.h"

#include <string>
#include <vector>

namespace pistachiowood {

/// Session state that one connection to an endpoint holds.
struct LinkSessionState
{
    SessionVariables variables;
    std::vector<PreparedStatement> prepared; ///< the index determines the name on the endpoint
};

/// Name of the prepared statement at an index of LinkSessionState::prepared.
std::string preparedName(std::size_t index);

/// Statements that bring a connection's session state to what a caller's statement needs.
struct LinkPrelude
{
    std::vector<SessionStatement> statements;
    LinkSessionState result; ///< state after the statements have succeeded
    std::string preparedName; ///< name of the needed prepared statement
};

/// A connection inside a transaction is never reset: its variables belong to the same session.
LinkPrelude planPrelude(const LinkSessionState &current, const SessionVariables &variables,
                        const PreparedStatement *needed, bool inTransaction);

/// Statements that planPrelude would need, as a measure of how well a connection fits.
std::size_t countVariableChanges(const LinkSessionState &current,
                                 const SessionVariables &variables);

} // namespace pistachiowood

#endif
