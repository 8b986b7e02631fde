#include "gateway/session_setup.h"

#include <algorithm>

namespace pistachiowood {

namespace {

// Limit of prepared statements per connection, because an endpoint keeps them in memory. At the
// limit the connection is reset, which clears them.
constexpr std::size_t maxPreparedPerConnection = 128;
// The same in bytes; one message of 1 MiB fits beside as much of others.
constexpr std::size_t maxPreparedBytesPerConnection = std::size_t{2} * 1024 * 1024;

bool hasTooManyPrepared(const std::vector<PreparedStatement> &prepared)
{
    std::size_t bytes = 0;
    for (const PreparedStatement &statement : prepared)
        bytes += statement.definition.size();
    return prepared.size() >= maxPreparedPerConnection || bytes > maxPreparedBytesPerConnection;
}

bool needsReset(const EndpointSessionState &current, const SessionVariables &variables)
{
    // Only a reset removes a variable from the endpoint's session.
    return std::any_of(current.variables.begin(), current.variables.end(),
                       [&](const auto &entry) { return variables.count(entry.first) == 0; });
}

} // namespace

std::string preparedName(std::size_t index)
{
    return "p" + std::to_string(index);
}

SessionSetup planSessionSetup(const EndpointSessionState &current,
                              const SessionVariables &variables, const PreparedStatement *needed,
                              bool inTransaction)
{
    SessionSetup plan;
    plan.result = current;
    if (!inTransaction
        && (needsReset(current, variables) || hasTooManyPrepared(current.prepared))) {
        plan.statements.push_back({.verb = Verb::Reset});
        plan.result = {};
    }
    for (const auto &[name, value] : variables) {
        const auto known = plan.result.variables.find(name);
        if (known != plan.result.variables.end() && known->second == value)
            continue;
        plan.statements.push_back({.verb = Verb::Set, .name = name, .arguments = value});
        plan.result.variables[name] = value;
    }
    if (needed) {
        auto &prepared = plan.result.prepared;
        auto found = std::find(prepared.begin(), prepared.end(), *needed);
        if (found == prepared.end()) {
            found = prepared.insert(prepared.end(), *needed);
            plan.statements.push_back({.verb = Verb::Prepare,
                                       .name = preparedName(prepared.size() - 1),
                                       .arguments = needed->definition,
                                       .writes = needed->writes});
        }
        plan.preparedName = preparedName(static_cast<std::size_t>(found - prepared.begin()));
    }
    return plan;
}

std::size_t countVariableChanges(const EndpointSessionState &current,
                                 const SessionVariables &variables)
{
    std::size_t changes = needsReset(current, variables) ? 1 + variables.size() : 0;
    if (changes > 0)
        return changes;
    for (const auto &[name, value] : variables) {
        const auto known = current.variables.find(name);
        if (known == current.variables.end() || known->second != value)
            ++changes;
    }
    return changes;
}

} // namespace pistachiowood
