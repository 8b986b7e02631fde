#include "takeover/peer_report.h"

namespace pistachiowood {

PrimaryReport describePrimary(const PrimaryReachability &evidence, TimePoint now)
{
    PrimaryReport report{.service = evidence.service,
                         .endpoint = evidence.endpoint,
                         .primaryEpoch = evidence.primaryEpoch};
    if (const auto &sample = evidence.newestPosition) {
        report.position = sample->position;
        report.positionAge = std::chrono::ceil<Milliseconds>(now - sample->requestedAt);
    }
    if (evidence.lastReply)
        report.replyAge = std::chrono::duration_cast<Milliseconds>(now - *evidence.lastReply);
    if (evidence.failingSince)
        report.failingAge = std::chrono::duration_cast<Milliseconds>(now - *evidence.failingSince);
    return report;
}

} // namespace pistachiowood
