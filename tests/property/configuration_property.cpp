#include "base/log.h"
#include "base/random.h"
#include "configuration/change_tracker.h"
#include "configuration/configuration_store.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace pistachiowood;

namespace {

using Objects = std::map<std::pair<ObjectKind, std::string>, StoredObject>;

/// Random history of a platform: the objects at each version and the events between the versions.
struct History
{
    std::vector<Objects> states{Objects{}};
    std::vector<ObjectEvent> events;

    explicit History(RandomSource &random)
    {
        Term term;
        for (std::uint64_t version = 1; version <= 40; ++version) {
            Objects next = states.back();
            const std::string name(1, static_cast<char>('a' + random.below(3)));
            StoredObject object{ObjectKind::Team, name, ResourceVersion(version), "", "{}"};
            if (random.below(3) == 0) {
                object.kind = ObjectKind::DatabaseService;
                object.json = R"({"team":"t"})";
                const bool exists = next.contains({object.kind, name});
                if (exists && random.below(2) == 0) {
                    term = Term(term.value() + 1);
                    object.kind = ObjectKind::ServiceStatus;
                    object.json = R"({"primary":"e","term":)" + std::to_string(term.value()) + "}";
                }
            }
            const std::pair key{object.kind, name};
            const bool remove = object.kind != ObjectKind::ServiceStatus && next.contains(key)
                                && random.below(2) == 0;
            if (remove) {
                object.json.clear();
                next.erase(key);
                if (object.kind == ObjectKind::DatabaseService)
                    next.erase({ObjectKind::ServiceStatus, name});
            } else {
                next[key] = object;
            }
            events.push_back({remove, object});
            states.push_back(std::move(next));
        }
    }

    ConfigurationSnapshot snapshot(std::uint64_t version) const
    {
        ConfigurationSnapshot copy{ResourceVersion(version), {}};
        for (const auto &[key, object] : states.at(version))
            copy.items.push_back(object);
        return copy;
    }
};

void applyRandomInput(ConfigurationStore &store, const History &history, RandomSource &random)
{
    const std::uint64_t version = 1 + random.below(history.events.size());
    const auto action = random.below(4);
    if (action == 0) {
        store.applyList(history.snapshot(version));
    } else if (action == 1) {
        store.applyFromPeer(history.snapshot(version));
    } else if (action == 2) {
        // Statuses received by gossip, from any version.
        std::vector<StoredObject> statuses = history.snapshot(version).items;
        store.applyStatuses(statuses);
    } else {
        const std::uint64_t from = random.below(version);
        WatchAnswer answer{ResourceVersion(version), {}};
        for (std::uint64_t index = from; index < version; ++index) {
            answer.events.push_back(history.events.at(index));
            if (random.below(4) == 0)
                answer.events.push_back(history.events.at(index));
        }
        for (std::size_t index = answer.events.size(); index > 1; --index)
            std::swap(answer.events[index - 1], answer.events[random.below(index)]);
        store.applyEvents(ResourceVersion(from), answer);
    }
}

// Guards against stale lists, duplicated or reordered events, and stale peer copies that revert the
// view or an object.
void checkStoreNeverReverts(std::uint64_t seed)
{
    SeededRandom random(seed);
    const History history(random);
    ConfigurationStore store;
    ResourceVersion version;
    std::map<std::string, Term> terms;
    for (int step = 0; step < 60; ++step) {
        const ResourceVersion before = store.version();
        applyRandomInput(store, history, random);
        RC_ASSERT(store.version() >= version);
        version = store.version();
        const Objects &platformObjects = history.states.at(version.value());
        Objects applied;
        for (const StoredObject &object : store.snapshot().items) {
            if (object.kind != ObjectKind::ServiceStatus)
                applied[{object.kind, object.name}] = object;
        }
        Objects expected = platformObjects;
        std::erase_if(expected, [](const auto &entry) {
            return entry.first.first == ObjectKind::ServiceStatus;
        });
        RC_ASSERT(applied == expected);
        RC_ASSERT(store.view()->version == version);
        RC_ASSERT(store.view()->teams.size() + store.view()->services.size() == expected.size());
        for (const auto &[name, status] : store.view()->statuses) {
            RC_ASSERT(status->term >= terms[name.value()]);
            terms[name.value()] = status->term;
        }
        // The stored status is at least as new as that of the platform at the applied version.
        for (const auto &[key, object] : platformObjects) {
            const ServiceName name(key.second);
            if (key.first == ObjectKind::ServiceStatus && version > before
                && store.view()->statuses.contains(name)) {
                const StoredObject *kept = store.find(key.first, key.second);
                RC_ASSERT(kept->version >= object.version);
            }
        }
    }
}

/// One object of a platform. The test loses and delays the requests to it and its answers.
struct SimulatedPlatform
{
    std::optional<StoredObject> object;
    std::uint64_t version = 10;
    std::map<std::string, int> appliedBy; ///< number of times each operation took effect

    ChangeTracker::PutOutcome apply(const ChangeRequest &change, const std::string &operationId)
    {
        const ResourceVersion current = object ? object->version : ResourceVersion();
        if (current != change.expected)
            return Error{ErrorCode::Conflict, "conflict"};
        ++appliedBy[operationId];
        object.reset();
        ++version;
        if (!change.remove)
            object = StoredObject{change.kind, change.name, ResourceVersion(version), operationId,
                                  change.json};
        return ResourceVersion(version);
    }
};

// Guards against two concurrent changes that both take effect, a change that takes effect twice,
// and a result that does not match the effect of its change.
void checkConcurrentChanges(std::uint64_t seed)
{
    SeededRandom random(seed);
    SimulatedPlatform platform;
    const bool creation = random.below(3) == 0;
    if (!creation)
        platform.object = StoredObject{ObjectKind::Team, "a", ResourceVersion(10), "3.x", "{}"};
    const ResourceVersion expected(creation ? 0 : 10);
    const std::uint64_t lossPercent = random.below(90);

    std::deque<ChangeTracker> trackers;
    for (int index = 0; index < 2; ++index)
        trackers.emplace_back(
            ChangeRequest{ObjectKind::Team, "a", expected, !creation && random.below(4) == 0, "{}"},
            random);
    std::multimap<TimePoint, std::function<void(TimePoint)>> eventQueue;
    TimePoint now{std::chrono::hours(1)};
    const auto delay = [&random] { return Milliseconds(random.below(400)); };

    const std::function<void(ChangeTracker &, TimePoint, const ChangeCommands &)> run =
        [&](ChangeTracker &tracker, TimePoint at, const ChangeCommands &commands) {
            for (const ChangeCommand &command : commands) {
                if (const auto *put = std::get_if<PutObject>(&command)) {
                    const bool requestLost = random.below(100) < lossPercent;
                    const bool answerLost = random.below(100) < lossPercent;
                    const TimePoint arrival = at + (random.below(8) == 0 ? 20 : 1) * delay();
                    const bool late = arrival > at + put->timeout;
                    if (!requestLost)
                        eventQueue.emplace(
                            arrival, [&, put = *put, answerLost, late](TimePoint when) {
                                const auto outcome = platform.apply(put.change, put.operationId);
                                if (!answerLost && !late)
                                    run(tracker, when, tracker.handlePut(when, outcome));
                            });
                    if (requestLost || answerLost || late)
                        eventQueue.emplace(at + put->timeout, [&](TimePoint when) {
                            run(tracker, when,
                                tracker.handlePut(when, Error{ErrorCode::DeadlineExceeded, ""}));
                        });
                } else if (std::holds_alternative<ReadObject>(command)) {
                    const bool answered = random.below(100) >= lossPercent;
                    eventQueue.emplace(at + delay(), [&, answered](TimePoint when) {
                        const ChangeTracker::ReadOutcome failed =
                            Error{ErrorCode::Unavailable, "down"};
                        run(tracker, when,
                            tracker.handleRead(
                                when,
                                answered ? ChangeTracker::ReadOutcome(platform.object) : failed));
                    });
                } else {
                    eventQueue.emplace(
                        std::get<ScheduleChangeTick>(command).at,
                        [&](TimePoint when) { run(tracker, when, tracker.tick(when)); });
                }
            }
        };
    for (ChangeTracker &tracker : trackers)
        run(tracker, now, tracker.start(now));
    // A third operator changes or deletes the current object.
    for (int index = 0; index < 2; ++index) {
        eventQueue.emplace(now + 5 * delay(), [&](TimePoint) {
            if (platform.object)
                platform.apply(
                    {ObjectKind::Team, "a", platform.object->version, random.below(2) == 0, "{}"},
                    makeOperationId(platform.object->version, random));
        });
    }
    while (!eventQueue.empty()) {
        auto next = eventQueue.extract(eventQueue.begin());
        now = std::max(now, next.key());
        next.mapped()(now);
    }

    int applied = 0;
    for (const ChangeTracker &tracker : trackers) {
        const int times = platform.appliedBy[tracker.operationId()];
        applied += times;
        RC_ASSERT(times <= 1);
        RC_ASSERT(tracker.result().has_value());
        if (std::holds_alternative<ChangeAccepted>(*tracker.result()))
            RC_ASSERT(times == 1);
        else if (!std::holds_alternative<ChangeUndetermined>(*tracker.result()))
            RC_ASSERT(times == 0);
    }
    // A creation can succeed twice if the third operator deleted the object in between.
    RC_ASSERT(creation || applied <= 1);
    RC_CLASSIFY(applied == 1, "one winner");
}

} // namespace

int main()
{
    disableLogging();
    const bool store = rc::check("the store never reverts to an older state of the platform",
                                 checkStoreNeverReverts);
    const bool changes =
        rc::check("concurrent changes: at most one takes effect and each result is correct",
                  checkConcurrentChanges);
    return store && changes ? 0 : 1;
}
