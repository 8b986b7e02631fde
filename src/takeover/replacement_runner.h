#ifndef PISTACHIOWOOD_TAKEOVER_REPLACEMENT_RUNNER_H
#define PISTACHIOWOOD_TAKEOVER_REPLACEMENT_RUNNER_H

#include "takeover/fleet_context.h"
#include "takeover/fleet_peers.h"
#include "takeover/primary_replacement.h"
#include "takeover/promotion_lease.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace pistachiowood {

/// Keeps the records of the services' primaries and carries out what PrimaryReplacement decides:
/// changes of records, questions to endpoints and orders to the platform.
class ReplacementRunner
{
public:
    ReplacementRunner(FleetContext &context, FleetPeers &peers);

    void takeRecord(const PrimaryRecord &record, ResourceVersion version);
    void takeDutyRecord(const DutyRecord &record, ResourceVersion version);
    /// Fills in the primary of the named service.
    void describe(ServiceView &service) const;

    void tick();
    /// Goes on with announced replacements after a peer has reported.
    void stepAnnounced();
    /// Begins no further replacement.
    void leave() { leaving_ = true; }
    /// Whether no replacement of this daemon is under way or may still be announced.
    bool mayPromise(TimePoint now) const;

private:
    struct ServiceState
    {
        std::unique_ptr<PrimaryReplacement> replacement;
        std::optional<PrimaryRecord> record;
        ResourceVersion recordVersion;
        TimePoint recordSince{};
        TimePoint missingSince{}; ///< a service without a record
        bool creating = false;
        bool waitsForDuty = false;
    };
    void tickService(const ServiceLimits &service);
    void stepSoon(const ServiceName &service);
    void createRecord(const ServiceLimits &service, ServiceState &state);
    ReplacementInput collectInput(const ServiceLimits &service, const ServiceState &state);
    PrimaryReplacement *replacementOf(const ServiceName &service);
    void logStep(const ServiceName &service, const ReplacementCommand &command) const;
    void execute(const ServiceName &service, const ReplacementCommand &command);
    void takeDuty();
    void putPrimaryRecord(const PrimaryRecord &record,
                          std::function<void(const StoreOutcome<ResourceVersion> &)> callback);
    void survey(const ServiceName &service, const std::vector<EndpointId> &endpoints);
    void promote(const ServiceName &service, const EndpointId &endpoint);

    FleetContext &context_;
    FleetPeers &peers_;
    std::map<ServiceName, ServiceState> services_;
    PromotionLease duty_;
    bool takingDuty_ = false;
    bool leaving_ = false;
    TimePoint announcementUncertainUntil_{}; ///< an announcement without an answer may come
};

} // namespace pistachiowood

#endif
