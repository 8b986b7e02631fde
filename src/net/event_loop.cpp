#include "net/event_loop.h"

#include "base/log.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <ace/Thread.h>
#include <ace/Time_Value.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <sys/resource.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachiowood {

namespace {

// Limit on the sockets of one loop unless the process has a lower descriptor limit: 8192 callers
// plus the connections to endpoints.
constexpr std::size_t maxSocketHandles = 16384;
constexpr Milliseconds maxReactorWait{1000};

// ACE_Dev_Poll_Reactor does not open when its handle table exceeds the descriptor limit.
std::size_t handleTableSize()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return maxSocketHandles;
    return std::min<std::size_t>(maxSocketHandles, limit.rlim_cur);
}

// An unexpected error ends the task and not the process, whose other sessions go on.
void runGuarded(const std::function<void()> &task)
{
    try {
        task();
    } catch (const std::exception &failure) {
        logEvent(Event::TaskFailed, {{"reason", failure.what()}});
    }
}

} // namespace

struct EventLoop::Private : public ACE_Event_Handler
{
    using TimerKey = std::pair<TimePoint, TimerId>;

    Private()
        : devPollReactor(handleTableSize())
        , reactor(&devPollReactor)
    {
    }

    // Called by the reactor for each notification of post(); run() then runs the posted tasks.
    int handle_exception(ACE_HANDLE) override { return 0; }

    void runPostedTasks()
    {
        std::vector<std::function<void()>> tasks;
        {
            const std::lock_guard lock(mutex);
            tasks.swap(posted);
        }
        for (const auto &task : tasks)
            runGuarded(task);
    }

    void runDueTimers(TimePoint now)
    {
        while (!timers.empty() && timers.begin()->first.first <= now) {
            auto node = timers.extract(timers.begin());
            timerKeys.erase(node.key().second);
            runGuarded(node.mapped());
        }
    }

    Milliseconds computeReactorWait(TimePoint now)
    {
        const std::lock_guard lock(mutex);
        if (!posted.empty())
            return Milliseconds(0);
        if (timers.empty())
            return maxReactorWait;
        const auto wait = std::chrono::ceil<Milliseconds>(timers.begin()->first.first - now);
        return std::clamp(wait, Milliseconds(0), maxReactorWait);
    }

    ACE_Dev_Poll_Reactor devPollReactor;
    ACE_Reactor reactor;
    std::mutex mutex;
    std::vector<std::function<void()>> posted;
    std::atomic<bool> stopped{false};
    SteadyClock clock;
    std::map<TimerKey, std::function<void()>> timers;
    std::unordered_map<TimerId, TimerKey> timerKeys;
    TimerId lastTimer = 0;
};

EventLoop::EventLoop()
{
    // Writing to a connection that the peer has closed would otherwise end the process.
    std::signal(SIGPIPE, SIG_IGN);
    private_ = std::make_unique<Private>();
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    private_->reactor.owner(ACE_Thread::self());
    while (!private_->stopped) {
        private_->runPostedTasks();
        private_->runDueTimers(private_->clock.now());
        if (private_->stopped)
            break;
        const auto wait = private_->computeReactorWait(private_->clock.now());
        ACE_Time_Value timeout(static_cast<time_t>(wait.count() / 1000),
                               static_cast<suseconds_t>(wait.count() % 1000 * 1000));
        private_->reactor.handle_events(timeout);
    }
    private_->stopped = false;
}

void EventLoop::stop()
{
    post([this] { private_->stopped = true; });
}

void EventLoop::post(std::function<void()> task)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(private_->mutex);
        wasEmpty = private_->posted.empty();
        private_->posted.push_back(std::move(task));
    }
    // One notification per batch, so that the notification pipe cannot fill up.
    if (wasEmpty)
        private_->reactor.notify(private_.get(), ACE_Event_Handler::EXCEPT_MASK);
}

TimerId EventLoop::startTimer(Milliseconds delay, std::function<void()> task)
{
    const TimerId timer = ++private_->lastTimer;
    const Private::TimerKey key{private_->clock.now() + delay, timer};
    private_->timers.emplace(key, std::move(task));
    private_->timerKeys.emplace(timer, key);
    return timer;
}

void EventLoop::cancelTimer(TimerId timer)
{
    if (const auto found = private_->timerKeys.find(timer); found != private_->timerKeys.end()) {
        private_->timers.erase(found->second);
        private_->timerKeys.erase(found);
    }
}

ACE_Reactor *EventLoop::reactor()
{
    return &private_->reactor;
}

} // namespace pistachiowood
