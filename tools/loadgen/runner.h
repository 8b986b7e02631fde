#ifndef LOADGEN_RUNNER_H
#define LOADGEN_RUNNER_H

#include "loadgen/history.h"
#include "loadgen/measures.h"
#include "loadgen/workload.h"
#include "net/event_loop.h"

#include <pistachiowood/ids.h>

#include <memory>

namespace pistachiowood::loadgen {

struct RunOptions
{
    WorkloadOptions workload;
    std::vector<SocketAddress> daemons;
    Milliseconds duration{10000};
    Milliseconds deadline{2000}; ///< stated with each request
    Milliseconds maxAge{5000}; ///< accepted age of AgeRead
};

/// Runs a workload against the daemons. Arrivals do not wait for answers, except that a session
/// runs one statement at a time; a statement that waits for its session counts from its scheduled
/// time. Failed statements are not repeated; a session leaves a daemon that it cannot reach.
class Runner
{
public:
    Runner(EventLoop &loop, RunOptions options, HistoryWriter &history);
    ~Runner();

    /// Calls back when the last statement has been answered.
    void start(std::function<void()> finished);
    const Measures &measures() const;
    /// End of the period in which statements were scheduled.
    TimePoint end() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood::loadgen

#endif
