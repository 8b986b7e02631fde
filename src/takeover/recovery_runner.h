#ifndef PISTACHIOWOOD_TAKEOVER_RECOVERY_RUNNER_H
#define PISTACHIOWOOD_TAKEOVER_RECOVERY_RUNNER_H

#include "takeover/fleet_context.h"
#include "takeover/fleet_peers.h"
#include "takeover/records_recovery.h"
#include "takeover/replacement_runner.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pistachiowood {

/// Executes the actions of RecordsRecovery.
class RecoveryRunner
{
public:
    RecoveryRunner(FleetContext &context, FleetPeers &peers, ReplacementRunner &replacements);

    void tick();

private:
    /// A change that brings one record in the store up to date.
    struct Change
    {
        std::string name;
        std::optional<std::string> text; ///< unset: the record is deleted
    };

    std::vector<Change> unsavedChanges() const;
    std::vector<PrimaryRecord> unverifiedPrimaries() const;
    void verify(const PrimaryRecord &primary);
    void announce(PrimaryRecord primary);
    void write(const std::vector<Change> &changes);
    void handleWritten(bool written);
    void finishCall();
    void finish();

    FleetContext &context_;
    FleetPeers &peers_;
    ReplacementRunner &replacements_;
    RecordsRecovery recovery_;
    StoreEra era_; ///< that is or was last recovered
    std::set<ServiceName> verified_; ///< services whose endpoints confirmed the primary
    std::size_t openCalls_ = 0; ///< changes and surveys
    std::size_t savedChanges_ = 0;
    TimePoint retryAt_{};
};

} // namespace pistachiowood

#endif
