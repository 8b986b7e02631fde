#include "daemon/change_runner.h"

#include <algorithm>
#include <utility>

namespace pistachiowood {

ChangeRunner::ChangeRunner(EventLoop &loop, const Clock &clock, RandomSource &random,
                           PlatformClient &platform)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , platform_(platform)
{
}

void ChangeRunner::submit(ChangeRequest change, Callback callback)
{
    const std::uint64_t id = ++lastId_;
    const auto [entry, added] = changes_.emplace(
        id, Change{ChangeTracker(std::move(change), random_), std::move(callback)});
    run(id, entry->second.tracker.start(clock_.now()));
}

void ChangeRunner::handleObserved(const std::vector<ObjectEvent> &events)
{
    std::vector<std::uint64_t> ids;
    for (auto &[id, change] : changes_) {
        for (const ObjectEvent &event : events)
            change.tracker.handleWatchEvent(event);
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
        completeIfDone(id);
}

void ChangeRunner::run(std::uint64_t id, const ChangeCommands &commands)
{
    for (const ChangeCommand &command : commands)
        std::visit([this, id](const auto &typed) { execute(id, typed); }, command);
    completeIfDone(id);
}

void ChangeRunner::execute(std::uint64_t id, const PutObject &command)
{
    platform_.change(command, [this, id](const ChangeTracker::PutOutcome &outcome) {
        if (const auto found = changes_.find(id); found != changes_.end())
            run(id, found->second.tracker.handlePut(clock_.now(), outcome));
    });
}

void ChangeRunner::execute(std::uint64_t id, const ReadObject &command)
{
    platform_.read(command, [this, id](const ChangeTracker::ReadOutcome &outcome) {
        if (const auto found = changes_.find(id); found != changes_.end())
            run(id, found->second.tracker.handleRead(clock_.now(), outcome));
    });
}

void ChangeRunner::execute(std::uint64_t id, const ScheduleChangeTick &command)
{
    const auto delay = std::chrono::ceil<Milliseconds>(command.at - clock_.now());
    loop_.startTimer(std::max(delay, Milliseconds(0)), [this, id] {
        if (const auto found = changes_.find(id); found != changes_.end())
            run(id, found->second.tracker.tick(clock_.now()));
    });
}

void ChangeRunner::completeIfDone(std::uint64_t id)
{
    const auto found = changes_.find(id);
    if (found == changes_.end() || !found->second.tracker.result())
        return;
    auto node = changes_.extract(found);
    node.mapped().callback(*node.mapped().tracker.result());
}

} // namespace pistachiowood
