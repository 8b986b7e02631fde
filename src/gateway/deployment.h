#ifndef PISTACHIOWOOD_GATEWAY_DEPLOYMENT_H
#define PISTACHIOWOOD_GATEWAY_DEPLOYMENT_H

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiowood {

/// How new the data of a read must be.
enum class Consistency {
    Primary, ///< every acknowledged commit
    BoundedStaleness, ///< every commit acknowledged longer ago than the route's maximum staleness
    ReadYourWrites, ///< the same, and every commit of the same session
};

/// How sessions of one database are served.
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
};

struct ServiceLimits
{
    ServiceName name;
    unsigned maxConnections = 0; ///< per endpoint, of all daemons together
    unsigned syncReplicas = 0; ///< replicas that hold a commit before it is acknowledged
};

/// Configuration of the operators in one version.
struct DeploymentConfiguration
{
    std::uint64_t version = 0;
    std::vector<DatabaseRoute> routes;
    std::vector<ServiceLimits> services;
    Milliseconds transactionIdle{3000}; ///< after which a transaction may be ended
};

/// What an endpoint has registered about itself.
struct EndpointEntry
{
    EndpointId id;
    ServiceName service;
    SocketAddress address;
    ZoneName zone;
    unsigned slots = 1;
    bool draining = false;
    bool primary = false; ///< how the endpoint sees itself
};

/// One endpoint as the traffic thread uses it.
struct EndpointView
{
    EndpointId id;
    SocketAddress address;
    bool draining = false;
    unsigned distance = 0; ///< 0 own zone, 1 own region, 2 another region
    std::optional<TimePoint> closedFrom; ///< when a leaving endpoint gets no new work any more
};

/// One service as the traffic thread uses it.
struct ServiceView
{
    ServiceName name;
    unsigned maxConnections = 0;
    std::vector<EndpointView> endpoints;
    std::optional<EndpointId> primary; ///< absent while it is unknown or being replaced
    std::uint64_t primaryEpoch = 0; ///< changes with each change of primary
    bool replacing = false; ///< a new primary is expected soon
};

/// Immutable state that the control thread hands to the traffic thread.
struct DeploymentView
{
    std::uint64_t configurationVersion = 0;
    std::uint64_t recordsVersion = 0; ///< version of the service records that this view reflects
    std::map<std::string, DatabaseRoute> routes; ///< by database
    std::map<ServiceName, ServiceView> services;
    Milliseconds transactionIdle{3000};
    unsigned daemons = 1; ///< daemons that share the endpoints' connections
};

} // namespace pistachiowood

#endif
