#include "takeover/endpoint_registry.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

void EndpointRegistry::update(const std::map<EndpointId, EndpointEntry> &registered, TimePoint now)
{
    for (const auto &[id, entry] : registered) {
        RegisteredEndpoint &endpoint = endpoints_[id];
        const std::uint64_t known = endpoint.entry.incarnation;
        if (known != 0 && entry.incarnation != known) {
            lostLogs_.push_back({endpoint.entry.service, id});
            logEvent(Event::EndpointRestarted,
                     {{"service", entry.service.value()}, {"endpoint", id.value()}});
        }
        endpoint.entry = entry;
        if (endpoint.missingSince) {
            endpoint.missingSince.reset();
            logEvent(Event::RegistrationReturned, {{"endpoint", id.value()}});
        }
        if (!entry.draining)
            endpoint.drainingSince.reset();
        else if (!endpoint.drainingSince)
            endpoint.drainingSince = now;
    }
    std::vector<EndpointId> left;
    for (auto &[id, endpoint] : endpoints_) {
        if (registered.count(id) > 0 || endpoint.missingSince)
            continue;
        if (endpoint.entry.draining) {
            left.push_back(id);
            continue;
        }
        endpoint.missingSince = now;
        logEvent(Event::RegistrationMissing,
                 {{"service", endpoint.entry.service.value()}, {"endpoint", id.value()}});
    }
    for (const EndpointId &id : left)
        remove(id);
}

bool EndpointRegistry::expire(std::optional<TimePoint> storeAnswersSince, TimePoint now)
{
    if (!storeAnswersSince)
        return false;
    std::vector<EndpointId> expired;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.missingSince
            && now - std::max(*endpoint.missingSince, *storeAnswersSince) >= returnTime)
            expired.push_back(id);
    }
    for (const EndpointId &id : expired)
        remove(id);
    return !expired.empty();
}

void EndpointRegistry::remove(const EndpointId &id)
{
    logEvent(Event::EndpointDropped,
             {{"service", endpoints_.at(id).entry.service.value()}, {"endpoint", id.value()}});
    lostLogs_.push_back({endpoints_.at(id).entry.service, id});
    endpoints_.erase(id);
}

std::vector<LostLog> EndpointRegistry::takeLostLogs()
{
    return std::exchange(lostLogs_, {});
}

} // namespace pistachiowood
