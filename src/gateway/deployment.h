#ifndef PISTACHIOWOOD_GATEWAY_DEPLOYMENT_H
#define PISTACHIOWOOD_GATEWAY_DEPLOYMENT_H

#include "customers/customer_directory.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiowood {

/// Commits that a read must see.
enum class Consistency {
    Primary, ///< every acknowledged commit; only the primary serves the read
    BoundedStaleness, ///< commits acknowledged longer ago than the route's maximum staleness
    ReadYourWrites, ///< as BoundedStaleness, and every commit of the same session
};

/// Service, consistency and time limits for the sessions of one database.
struct DatabaseRoute
{
    std::string name;
    std::string database;
    ServiceName service;
    Consistency consistency = Consistency::Primary;
    Milliseconds statementTimeout{1000};
    Milliseconds targetLatency{500};
    Milliseconds maxStaleness{0};
    unsigned priority = 0; ///< 0 is the highest
    bool isPublic = false; ///< callers need no key
};

struct ServiceLimits
{
    ServiceName name;
    unsigned maxConnections = 0; ///< per endpoint, of all daemons together
    unsigned syncReplicas = 0; ///< replicas that hold a commit before it is acknowledged
};

/// One version of the configuration that the operators write.
struct DeploymentConfiguration
{
    std::uint64_t version = 0;
    std::vector<DatabaseRoute> routes;
    std::vector<ServiceLimits> services;
    Milliseconds transactionIdleTimeout{3000}; ///< idle transactions are aborted after it
    /// Customers and their keys; null if the configuration has none, so that callers need no key.
    std::shared_ptr<const CustomerDirectory> customers;
};

/// Registration of one endpoint.
struct EndpointEntry
{
    EndpointId id;
    ServiceName service;
    SocketAddress address;
    ZoneName zone;
    unsigned slots = 1; ///< statements that the endpoint runs at the same time
    bool draining = false;
    bool primary = false; ///< role in the endpoint's own registration
    std::uint64_t incarnation = 0; ///< changes when the endpoint starts again; 0 if unknown
};

/// Endpoint in a DeploymentView.
struct EndpointView
{
    EndpointId id;
    SocketAddress address;
    bool draining = false;
    unsigned distance = 0; ///< 0 own zone, 1 own region, 2 another region
    std::optional<TimePoint> acceptsStatementsUntil; ///< set only while the endpoint drains
};

/// Service in a DeploymentView.
struct ServiceView
{
    ServiceName name;
    unsigned maxConnections = 0;
    std::vector<EndpointView> endpoints;
    std::optional<EndpointId> primary; ///< absent while it is unknown or being replaced
    std::uint64_t primaryEpoch = 0; ///< changes with each change of primary
    bool replacementInProgress = false;
};

/// Snapshot of configuration, endpoints and primaries that the control thread publishes to the
/// traffic thread.
struct DeploymentView
{
    std::uint64_t configurationVersion = 0;
    std::map<std::string, DatabaseRoute> routes; ///< by database
    std::map<ServiceName, ServiceView> services;
    Milliseconds transactionIdleTimeout{3000};
    /// See DeploymentConfiguration.
    std::shared_ptr<const CustomerDirectory> customers;
    unsigned daemonCount = 1; ///< all daemons, which share the endpoints' connections
};

} // namespace pistachiowood

#endif
