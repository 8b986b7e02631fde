#ifndef PISTACHIOWOOD_DAEMON_CHANGE_RUNNER_H
#define PISTACHIOWOOD_DAEMON_CHANGE_RUNNER_H

#include "configuration/change_tracker.h"
#include "configuration/platform_client.h"
#include "net/event_loop.h"

#include <functional>
#include <map>
#include <memory>

namespace pistachiowood {

/// Executes configuration changes: runs the commands of the change trackers against the platform.
class ChangeRunner
{
public:
    using Callback = std::function<void(const ChangeResult &)>;

    ChangeRunner(EventLoop &loop, const Clock &clock, RandomSource &random,
                 PlatformClient &platform);

    void submit(ChangeRequest change, Callback callback);
    /// Passes observed events to the pending changes; an event may complete a change whose answer
    /// was lost.
    void handleObserved(const std::vector<ObjectEvent> &events);

private:
    struct Change
    {
        ChangeTracker tracker;
        Callback callback;
    };

    void run(std::uint64_t id, const ChangeCommands &commands);
    void execute(std::uint64_t id, const PutObject &command);
    void execute(std::uint64_t id, const ReadObject &command);
    void execute(std::uint64_t id, const ScheduleChangeTick &command);
    void completeIfDone(std::uint64_t id);

    EventLoop &loop_;
    const Clock &clock_;
    RandomSource &random_;
    PlatformClient &platform_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, Change> changes_;
};

} // namespace pistachiowood

#endif
