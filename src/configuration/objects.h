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

/// Connections and slots default to the sizes that users run today.
inline constexpr std::uint32_t defaultEndpointConnections = 30;

/// One member of a database group.
struct EndpointSpec
{
    EndpointId id;
    ServiceName service;
    SocketAddress address;
    ZoneName zone;
    RegionName region;
    std::uint32_t slots = 1; ///< statements that the endpoint executes at once
    std::uint32_t connections = defaultEndpointConnections;
    Labels labels;
    bool leaving = false; ///< receives no new work

    friend bool operator==(const EndpointSpec &, const EndpointSpec &) = default;
};

/// Chooses a read policy for the sessions that match the selector; the first match wins.
struct ReadRule
{
    std::string sessionSelector; ///< matches session labels; empty matches every session
    std::string endpointSelector; ///< endpoints that may serve the read; empty allows all
    Milliseconds defaultMaxAge{10000}; ///< for reads that state no accepted age

    friend bool operator==(const ReadRule &, const ReadRule &) = default;
};

struct ServiceObjectives
{
    double availability = 0.999; ///< share of statements that are not refused or unknown
    Milliseconds latency{250}; ///< bound for the latency objective
    double latencyShare = 0.99; ///< share of statements within the bound
    Milliseconds freshness{5000}; ///< age bound for reads served by replicas
    Milliseconds failoverGap{12000}; ///< longest accepted change of primary

    friend bool operator==(const ServiceObjectives &, const ServiceObjectives &) = default;
};

struct ServiceSpec
{
    ServiceName name;
    TeamName team;
    Labels labels;
    std::string primarySelector; ///< endpoints that may become primary; empty allows all
    std::vector<ReadRule> readRules;
    std::uint32_t queueLimit = 256; ///< statements that may wait per endpoint
    std::uint32_t weight = 1; ///< share in the fair queues
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

struct TeamSpec
{
    TeamName name;
    std::uint32_t weight = 1; ///< share in the fair queues

    friend bool operator==(const TeamSpec &, const TeamSpec &) = default;
};

/// Primary and term history of a service; written by promotion, ordered by term.
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
