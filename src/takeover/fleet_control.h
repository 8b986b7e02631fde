#ifndef PISTACHIOWOOD_TAKEOVER_FLEET_CONTROL_H
#define PISTACHIOWOOD_TAKEOVER_FLEET_CONTROL_H

#include "takeover/fleet_context.h"
#include "takeover/fleet_peers.h"
#include "takeover/replacement_runner.h"

#include <map>
#include <vector>

namespace pistachiowood {

/// Control thread of a daemon: copies of the platform's objects, the view for the traffic thread,
/// the other daemons, and the replacement of primaries.
class FleetControl
{
public:
    FleetControl(EventLoop &loop, const Clock &clock, RandomSource &random, FleetSettings settings,
                 PlatformStore &store, PromotionService &promotions, PeerChannel &peers,
                 TrafficPort &traffic);
    ~FleetControl();

    void start();
    /// Begins no further replacement of a primary. The member record stays: the daemon uses
    /// primaries until its end, and most restart at once.
    void leave();

    /// Answers the report of a peer.
    PeerReport handlePeerReport(const PeerReport &report);
    void handleEvidence(std::vector<PrimaryReachability> evidence);
    /// True once the configuration and an endpoint are known.
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

    FleetContext context_;
    FleetPeers peers_;
    ReplacementRunner replacements_;
    std::map<EndpointId, TimePoint> drainingSince_; ///< when this daemon learnt that it leaves
    bool viewScheduled_ = false;
    unsigned viewsOnTheWay_ = 0;
};

} // namespace pistachiowood

#endif
