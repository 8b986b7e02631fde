#ifndef PISTACHIOWOOD_CONFIGURATION_OBJECTS_H
#define PISTACHIOWOOD_CONFIGURATION_OBJECTS_H

#include "sessions/term_history.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiowood {

using Labels = std::map<std::string, std::string>;

/// Default connection limit of an endpoint. This default and that of `slots` are the sizes in
/// current use.
inline constexpr std::uint32_t defaultEndpointConnections = 30;

/// One database server of a service.
struct EndpointSpec
{
    EndpointId id;
    ServiceName service;
    SocketAddress address;
    ZoneName zone;
    RegionName region;
    std::uint32_t slots = 1; ///< statements that the endpoint executes concurrently
    std::uint32_t connections = defaultEndpointConnections; ///< limit of pooled connections
    Labels labels;
    bool leaving = false; ///< draining: receives no new work

    friend bool operator==(const EndpointSpec &, const EndpointSpec &) = default;
};

/// Read policy for the sessions that match a selector. The first matching rule of a service
/// applies.
struct ReadRule
{
    std::string sessionSelector; ///< matches session labels; empty matches every session
    std::string endpointSelector; ///< endpoints that may serve the read; empty allows all
    Milliseconds defaultMaxAge{10000}; ///< for reads that set no maximum age

    friend bool operator==(const ReadRule &, const ReadRule &) = default;
};

/// Service level objectives, from which error budgets and burn rates are computed.
struct ServiceObjectives
{
    double availability = 0.999; ///< share of statements neither refused nor of unknown outcome
    Milliseconds latency{250}; ///< bound for the latency objective
    double latencyShare = 0.99; ///< share of statements within the bound
    Milliseconds freshness{5000}; ///< age bound for reads served by replicas
    Milliseconds failoverGap{12000}; ///< longest accepted write gap during a failover

    friend bool operator==(const ServiceObjectives &, const ServiceObjectives &) = default;
};

/// A replicated database that callers reach under one name, and its policies.
struct ServiceSpec
{
    ServiceName name;
    TeamName team;
    Labels labels;
    std::string primarySelector; ///< endpoints that may become primary; empty allows all
    std::vector<ReadRule> readRules;
    std::uint32_t queueLimit = 256; ///< statements that may wait per endpoint
    std::uint32_t weight = 1; ///< share in the fair queues; multiplied by the team's weight
    ServiceObjectives objectives;

    friend bool operator==(const ServiceSpec &, const ServiceSpec &) = default;
};

/// A proxy in front of services: the VMs whose labels match serve the services that match.
struct ProxySpec
{
    std::string name;
    TeamName team;
    Labels labels;
    std::string serviceSelector;

    friend bool operator==(const ProxySpec &, const ProxySpec &) = default;
};

/// A team that owns services and proxies.
struct TeamSpec
{
    TeamName name;
    std::uint32_t weight = 1; ///< share in the fair queues

    friend bool operator==(const TeamSpec &, const TeamSpec &) = default;
};

/// Primary and term history of a service. Written by promotions; a higher term supersedes a lower
/// one.
struct ServiceStatus
{
    ServiceName service;
    Term term;
    EndpointId primary;
    std::vector<TermStart> history;

    friend bool operator==(const ServiceStatus &, const ServiceStatus &) = default;
};

} // namespace pistachiowood

#endif
