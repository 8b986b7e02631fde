#include "takeover/endpoint_survey.h"

#include "base/log.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace pistachiowood {

void surveyEndpoints(FleetContext &context, const ServiceName &service,
                     const std::vector<EndpointId> &endpoints,
                     std::function<void(const EndpointStatuses &)> callback)
{
    struct Round
    {
        std::size_t open = 0;
        EndpointStatuses statuses;
        std::function<void(const EndpointStatuses &)> callback;
    };
    auto round = std::make_shared<Round>();
    round->open = endpoints.size();
    round->callback = std::move(callback);
    for (const EndpointId &endpoint : endpoints) {
        context.traffic.queryStatus(
            service, endpoint, {.verb = Verb::Status}, statusQueryTimeout,
            [alive = context.alive, service, endpoint, round](auto status) {
                if (!*alive)
                    return;
                if (status)
                    round->statuses[endpoint] = *status;
                logEvent(Event::EndpointSurveyed,
                         {{"service", service.value()},
                          {"endpoint", endpoint.value()},
                          {"answered", status ? 1 : 0},
                          {"primary", status && status->primary ? 1 : 0},
                          {"term", status ? status->term.value() : 0},
                          {"received", status ? status->received.number.value() : 0}});
                if (--round->open == 0)
                    round->callback(round->statuses);
            });
    }
}

bool isOnlyPrimary(const EndpointId &endpoint, const std::vector<EndpointId> &endpoints,
                   const EndpointStatuses &statuses)
{
    const auto found = statuses.find(endpoint);
    if (found == statuses.end() || !found->second.primary)
        return false;
    return std::all_of(endpoints.begin(), endpoints.end(), [&](const EndpointId &other) {
        const auto status = statuses.find(other);
        return status != statuses.end() && status->second.term <= found->second.term
               && (other == endpoint || !status->second.primary);
    });
}

} // namespace pistachiowood
