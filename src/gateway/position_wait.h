#ifndef PISTACHIOWOOD_GATEWAY_POSITION_WAIT_H
#define PISTACHIOWOOD_GATEWAY_POSITION_WAIT_H

#include <pistachiowood/clock.h>

#include <optional>

namespace pistachiowood {

/// Decides whether reads of one service wait for the first known position of its primary, which
/// tells what a replica must have reached to serve them. Performs no I/O.
///
/// Load pattern that it answers: a daemon starts, or a primary is replaced, under load. No position
/// is known, so only the primary could serve the reads, and all of them would queue there. One
/// status query is enough to spread them over the replicas.
class PositionWait
{
public:
    enum class Step {
        Proceed, ///< choose an endpoint with what is known
        AskPrimary, ///< send one status query to the primary and wait
        Wait,
    };

    /// `primaryUsable`: the primary may be used and is not known to be failing; without it no
    /// position is expected.
    Step nextStep(bool positionKnown, bool primaryUsable, TimePoint now);
    /// Records that a position is known. Returns whether reads may be waiting for it.
    bool finish();
    /// Starts anew after a change of primary.
    void reset() { askedAt_.reset(); }

private:
    std::optional<TimePoint> askedAt_;
};

} // namespace pistachiowood

#endif
