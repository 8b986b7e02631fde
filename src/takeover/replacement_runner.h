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

/// Keeps the primary records of all services and executes the commands of PrimaryReplacement:
/// changes records in the store, queries endpoints and requests promotions from the platform.
class ReplacementRunner
{
public:
    ReplacementRunner(FleetContext &context, FleetPeers &peers);

    void updatePrimaryRecord(const PrimaryRecord &record, StoreVersion version);
    /// Takes the era of the records; leases of earlier eras have ended.
    void enterEra(StoreEra era) { lease_.enterEra(era); }
    /// Lease record to write after the store was restored, if it needs to be written.
    std::optional<PromotionLeaseRecord> recoveredLease() const
    {
        return lease_.recoveredRecord(context_.clock.now());
    }
    /// Takes a version of the service's record that cannot be decoded. Nobody uses the primary
    /// until a replacement, which writes the record again, has found out who it is.
    void handleUnreadablePrimaryRecord(const ServiceName &service, StoreVersion version);
    void handleUnreadableLeaseRecord(StoreVersion version)
    {
        lease_.observeUnreadable(version, context_.clock.now());
    }
    void updateLeaseRecord(const PromotionLeaseRecord &record, StoreVersion version);
    /// Notes that this daemon announces a replacement with that generation of the record.
    void noteAnnouncement(const ServiceName &service, std::uint64_t generation)
    {
        services_[service].announcedGeneration = generation;
    }
    /// Notes endpoints whose log may be gone. Commits that were acknowledged before may have been
    /// on them and on the primary only.
    void noteLostLogs(const std::vector<LostLog> &losses);
    /// Sets the primary, its epoch and whether it is being replaced, if the service has a record.
    void fillPrimary(ServiceView &service) const;

    void tick();
    /// Schedules a step of every announced replacement, after a report of a peer.
    void stepAnnounced();
    /// From now on starts no replacement; continues those already announced.
    void leave() { leaving_ = true; }
    /// Whether this daemon may promise a peer to announce no replacement: none of its own is under
    /// way, and no unanswered announcement may still be executed.
    bool mayPromise(TimePoint now) const;

private:
    struct ServiceState
    {
        std::unique_ptr<PrimaryReplacement> replacement;
        std::optional<PrimaryRecord> record;
        std::optional<EndpointId> lastKnownPrimary; ///< while the record cannot be decoded
        StoreVersion recordVersion;
        TimePoint recordSince{};
        std::uint64_t announcedGeneration = 0; ///< of this daemon's last announcement
        TimePoint creatableSince{}; ///< since when the record is missing and could be created
        bool creatingRecord = false;
        bool waitsForLease = false;
        std::optional<TermPosition> newestPosition; ///< highest one that a primary reported
        std::optional<TermInForce> newest; ///< newest term in force that this daemon knows of
        /// See PrimaryEvidence. Kept for good: a replica may be behind for any time.
        std::map<EndpointId, std::optional<TermPosition>> lostLogs;
        ChoiceWait loggedWait = ChoiceWait::None;
    };
    void tickService(const ServiceLimits &service);
    void notePosition(ServiceState &state, std::optional<TermPosition> position);
    static void noteRecordedTerm(ServiceState &state, const PrimaryRecord &record);
    void scheduleStep(const ServiceName &service);
    /// Endpoints that call themselves primary in their registration.
    std::vector<EndpointId> registeredPrimaries(const ServiceName &service) const;
    void startAnnouncement(const ServiceName &service, std::uint64_t generation);
    void finishAnnouncement(const StoreOutcome<StoreVersion> &outcome);
    void createRecord(const ServiceLimits &service, ServiceState &state);
    ReplacementInput collectInput(const ServiceLimits &service, const ServiceState &state,
                                  const PrimaryReachabilitySummary &reachability);
    PrimaryReplacement *replacementOf(const ServiceName &service);
    void logStep(const ServiceName &service, const ReplacementCommand &command) const;
    void logWait(const ServiceName &service, ServiceState &state) const;
    void execute(const ServiceName &service, const ReplacementCommand &command);
    void acquireLease();
    void putPrimaryRecord(PrimaryRecord record, FleetContext::RecordCallback callback);
    void survey(const ServiceName &service, const std::vector<EndpointId> &endpoints);
    void promote(const ServiceName &service, const PromoteCommand &command);

    FleetContext &context_;
    FleetPeers &peers_;
    std::map<ServiceName, ServiceState> services_;
    PromotionLease lease_;
    bool acquiringLease_ = false;
    bool leaving_ = false;
    TimePoint announcementUncertainUntil_{}; ///< an unanswered one may be executed until then
};

} // namespace pistachiowood

#endif
