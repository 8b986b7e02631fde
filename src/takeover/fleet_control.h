#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_CONTROL_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_CONTROL_H

#include "takeover/fleet_context.h"
#include "takeover/fleet_peers.h"
#include "takeover/recovery_runner.h"
#include "takeover/refused_items.h"
#include "takeover/replacement_runner.h"

#include <vector>

namespace pistachiowood {

/// Logic of a daemon's control thread: keeps copies of the platform's objects, builds the view for
/// the traffic thread, exchanges reports with the other daemons and replaces failed and draining
/// primaries.
class FleetControl
{
public:
    FleetControl(EventLoop &loop, const Clock &clock, RandomSource &random, FleetSettings settings,
                 PlatformStore &store, PromotionService &promotions, PeerChannel &peers,
                 TrafficPort &traffic);
    ~FleetControl();

    void start();
    /// Starts no further replacement of a primary; announced ones continue. The member record
    /// stays, because the daemon uses primaries until its process ends and most daemons restart at
    /// once.
    void stopReplacements();

    /// Takes the report of a peer and returns the answer.
    PeerReport handlePeerReport(const PeerReport &report);
    /// Addresses of the other daemons.
    std::map<VmId, SocketAddress> otherDaemons();
    void handleReachability(std::vector<PrimaryReachability> reachability);
    /// Whether a configuration and at least one endpoint are known.
    bool ready() const;

private:
    void handleConfiguration();
    void handleEndpoints();
    void handleRecords();
    void scheduleView();
    void flushView();
    void publishView();
    unsigned distanceTo(const ZoneName &zone) const;
    void tick();
    void scheduleTrafficLog();

    FleetContext context_;
    FleetPeers peers_;
    ReplacementRunner replacements_;
    RecoveryRunner recovery_;
    RefusedItems refusedEndpoints_;
    RefusedItems refusedRecords_;
    bool viewScheduled_ = false;
    unsigned viewsInFlight_ = 0; ///< sent to the traffic thread and not applied yet
};

} // namespace pistachiowood

#endif
