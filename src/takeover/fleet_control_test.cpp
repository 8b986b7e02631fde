#include "takeover/fleet_control.h"
#include "takeover/takeover_fixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace pistachiowood;
using namespace std::chrono_literals;

namespace {

/// In-memory store. A call of change() answers the waiting watches.
class MemoryStore final : public PlatformStore
{
public:
    explicit MemoryStore(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    void list(ObjectGroup group, Milliseconds, Callback<GroupSnapshot> callback) override
    {
        loop.post([this, group, callback] {
            if (down) {
                callback(StoreFailure::Refused);
                return;
            }
            GroupSnapshot snapshot{version, {}};
            for (const auto &[name, item] : groups.at(static_cast<std::size_t>(group)))
                snapshot.items.push_back(item);
            callback(snapshot);
        });
    }

    void watch(ObjectGroup group, StoreVersion from, Milliseconds wait, Milliseconds,
               Callback<GroupChanges> callback) override
    {
        ++watchCalls.at(static_cast<std::size_t>(group));
        const auto &items = groups.at(static_cast<std::size_t>(group));
        const bool changed = std::any_of(items.begin(), items.end(), [&](const auto &entry) {
            return entry.second.version.stored > from;
        });
        if (wait < 1s || ((changed || from > version) && !down && !watchesStalled))
            answerCheck(group, from, wait < 1s ? wait : 0s, std::move(callback));
        else if (down)
            loop.startTimer(1ms, [callback] { callback(StoreFailure::Refused); });
        else
            watches.at(static_cast<std::size_t>(group)) = std::move(callback);
    }

    void cancelWatch(ObjectGroup group) override
    {
        watches.at(static_cast<std::size_t>(group)) = nullptr;
    }

    void check(ObjectGroup group, StoreVersion from, Milliseconds wait, Milliseconds,
               Callback<GroupChanges> callback) override
    {
        ++checkCalls;
        answerCheck(group, from, wait, std::move(callback));
    }

    void answerCheck(ObjectGroup group, StoreVersion from, Milliseconds wait,
                     Callback<GroupChanges> callback)
    {
        loop.startTimer(down ? 1ms : wait / 10, [this, group, from, callback] {
            if (down || from.revision > version.revision) {
                callback(down ? StoreFailure::Refused : StoreFailure::HistoryGone);
                return;
            }
            GroupChanges changes{version, {}};
            for (const auto &[name, item] : groups.at(static_cast<std::size_t>(group))) {
                if (item.version.stored.revision > from.revision)
                    changes.changes.push_back({item, false});
            }
            callback(changes);
        });
    }

    void putRecord(const std::string &name, std::optional<StoreVersion> expected,
                   const std::string &text, Milliseconds, Callback<StoreVersion> callback) override
    {
        loop.post([this, name, expected, text, callback] {
            const auto found = groups.at(2).find(name);
            const bool matches =
                found == groups.at(2).end()
                    ? !expected
                    : expected && found->second.version.stored.revision == expected->revision;
            if (down || !matches) {
                callback(down ? StoreFailure::Refused : StoreFailure::Conflict);
                return;
            }
            change(ObjectGroup::Records, name, text);
            callback(version);
        });
    }

    void deleteRecord(const std::string &, StoreVersion, Milliseconds,
                      Callback<StoreVersion> callback) override
    {
        callback(version);
    }

    Result<DeploymentConfiguration> decodeConfiguration(const StoredItem &) override
    {
        DeploymentConfiguration configuration;
        configuration.version = 1;
        configuration.services = {{ServiceName("db"), 10, syncReplicas}};
        return configuration;
    }

    Result<EndpointEntry> decodeEndpoint(const StoredItem &item) override
    {
        return EndpointEntry{EndpointId(item.name),
                             ServiceName("db"),
                             {},
                             ZoneName("z"),
                             1,
                             item.text == "draining",
                             registeredPrimaries.count(item.name) > 0};
    }

    void change(ObjectGroup group, const std::string &name, const std::string &text)
    {
        version.revision = ResourceVersion(version.revision.value() + 1);
        const auto index = static_cast<std::size_t>(group);
        const std::uint64_t change = group == ObjectGroup::Records ? recordGeneration(text) : 0;
        const StoredItem item{name, {version, {0, change}}, text};
        groups.at(index)[name] = item;
        if (watchesStalled)
            return;
        if (auto callback = std::exchange(watches.at(index), nullptr))
            loop.post([callback, item] {
                callback(GroupChanges{item.version.stored, {{item, false}}});
            });
    }

    void remove(ObjectGroup group, const std::string &name)
    {
        version.revision = ResourceVersion(version.revision.value() + 1);
        const auto index = static_cast<std::size_t>(group);
        StoredItem item = groups.at(index).at(name);
        item.version.stored = version;
        groups.at(index).erase(name);
        if (auto callback = std::exchange(watches.at(index), nullptr))
            loop.post([callback, item] {
                callback(GroupChanges{item.version.stored, {{item, true}}});
            });
    }

    struct Checkpoint
    {
        StoreVersion version;
        std::array<std::map<std::string, StoredItem>, objectGroupCount> groups;
    };

    Checkpoint checkpoint() const { return {version, groups}; }

    // Comes back from a copy of that state: in a new era, without later changes.
    void restore(const Checkpoint &copy)
    {
        goDown();
        down = false;
        groups = copy.groups;
        version.revision = copy.version.revision;
        version.era = StoreEra(version.era.value() + 1);
        for (auto &items : groups) {
            for (auto &[name, item] : items)
                item.version.stored.era = version.era;
        }
    }

    // Makes the store refuse all calls, the waiting watches included.
    void goDown()
    {
        down = true;
        for (auto &watch : watches) {
            if (auto callback = std::exchange(watch, nullptr))
                callback(StoreFailure::Refused);
        }
    }

    EventLoop &loop;
    StoreVersion version = storeVersion(10);
    std::array<std::map<std::string, StoredItem>, objectGroupCount> groups;
    std::array<Callback<GroupChanges>, objectGroupCount> watches;
    std::array<unsigned, objectGroupCount> watchCalls{};
    unsigned checkCalls = 0;
    unsigned syncReplicas = 0; ///< of the only service
    std::set<std::string> registeredPrimaries{"p"}; ///< endpoints that call themselves primary
    bool down = false;
    bool watchesStalled = false; ///< watches are not answered
};

constexpr std::uint16_t firstPeerPort = 1000; // peer vm-N has the port firstPeerPort + N

/// Boot clock that a test can move ahead.
class ShiftedClock final : public Clock
{
public:
    TimePoint now() const override { return clock_.now() + shift; }

    Milliseconds shift{0};

private:
    BootClock clock_;
};

/// Fake peers, promotion service and traffic thread of one daemon.
struct FakeEnvironment final : public PeerChannel, public PromotionService, public TrafficPort
{
    explicit FakeEnvironment(EventLoop &eventLoop)
        : loop(eventLoop)
    {
    }

    void exchange(const SocketAddress &address, const PeerReport &report, Milliseconds,
                  Callback callback) override
    {
        loop.post([this, port = address.port, report, callback] {
            const std::string name =
                port < firstPeerPort ? "peer" : "vm-" + std::to_string(port - firstPeerPort);
            if (!peerAnswers || unreachablePeers.count(name) > 0) {
                callback(Error{ErrorCode::Unavailable, "no answer"});
                return;
            }
            PeerReport answer;
            answer.vm = VmId(name);
            answer.replicas = report.replicas;
            answer.appliedRecords = report.replicas.at(2).content;
            if (peerConfirms)
                answer.confirmedAge = Milliseconds(0);
            answer.promise = report.promise && peerPromises;
            // The store confirmed the records of a peer that was not started lately; too long ago
            // to confirm those of this daemon.
            if (!peersJustStarted)
                answer.storeConfirmedAge = 60s;
            answer.confirmedEra = peerConfirmedEra;
            StoreVersion &configuration = answer.replicas.at(0).content;
            configuration = std::max(configuration, peerConfigurationVersion);
            configurationRequests += report.wantsConfiguration ? 1 : 0;
            callback(answer);
        });
    }

    void promote(const ServiceName &, const EndpointId &endpoint, const VmId &,
                 std::uint64_t fencingToken, Milliseconds,
                 std::function<void(PromotionOutcome)> callback) override
    {
        promotions.emplace_back(endpoint, fencingToken);
        if (leader != endpoint)
            ++leaderTerm;
        leader = endpoint;
        loop.post([callback] { callback(PromotionOutcome::Accepted); });
    }

    void setView(std::shared_ptr<const DeploymentView> newView,
                 std::function<void()> applied) override
    {
        view = std::move(newView);
        loop.post(std::move(applied));
    }

    void permitPrimaries(TimePoint until) override { permittedUntil = until; }
    void recordPeerPosition(const ServiceName &, std::uint64_t, PositionHistory::Sample) override {}
    void setProbing(bool) override {}

    void queryStatus(const ServiceName &, const EndpointId &endpoint, SessionStatement statement,
                     Milliseconds, Gateway::StatusCallback callback) override
    {
        if (statement.verb == Verb::Demote && leader == endpoint)
            leader.reset();
        const bool leads = leader == endpoint;
        const Term term(leads ? leaderTerm : 1);
        loop.post([callback, leads, term] {
            callback(ReplicationStatus{leads, term, {Term(1), LogPosition(4)}});
        });
    }

    EventLoop &loop;
    bool peerAnswers = true;
    bool peerPromises = true;
    bool peersJustStarted = false; ///< the store has confirmed no records to their processes
    std::set<std::string> unreachablePeers;
    StoreVersion peerConfigurationVersion; ///< newest one that peers hold
    unsigned configurationRequests = 0; ///< exchanges with wantsConfiguration
    StoreEra peerConfirmedEra;
    bool peerConfirms = false; ///< answers carry a confirmation of age 0
    std::optional<EndpointId> leader{EndpointId("p")};
    std::uint64_t leaderTerm = 1; ///< each promotion of another endpoint begins the next term
    std::vector<std::pair<EndpointId, std::uint64_t>> promotions;
    std::shared_ptr<const DeploymentView> view;
    TimePoint permittedUntil{};
};

} // namespace

TEST_GROUP(FleetControl)
{
    EventLoop loop;
    ShiftedClock clock;
    SeededRandom random{7};
    MemoryStore store{loop};
    FakeEnvironment environment{loop};
    std::unique_ptr<FleetControl> control;

    void start(bool withPeer)
    {
        store.change(ObjectGroup::Configuration, "main", "{}");
        store.change(ObjectGroup::Endpoints, "p", "ready");
        store.change(ObjectGroup::Endpoints, "r", "ready");
        if (withPeer) {
            store.change(ObjectGroup::Records, daemonRecordName(VmId("peer")),
                         encodeDaemonRecord(
                             {VmId("peer"), RegionName("far"), ZoneName("f"), {"127.0.0.1", 9}}));
        }
        FleetSettings settings;
        settings.vm = VmId("self");
        settings.zone = ZoneName("z");
        settings.peerAddress = {"127.0.0.1", 8};
        store.change(ObjectGroup::Records, recoveredEraRecordName(),
                     encodeRecoveredEraRecord({store.version.era, 1}));
        // A member record of an earlier run, so that the daemon may announce replacements at once.
        store.change(
            ObjectGroup::Records, daemonRecordName(settings.vm),
            encodeDaemonRecord({settings.vm, RegionName(), settings.zone, settings.peerAddress}));
        control = std::make_unique<FleetControl>(loop, clock, random, settings, store, environment,
                                                 environment, environment);
        control->start();
    }

    // Adds daemons of the same zone. Of 40 names, few enough have a smaller hash than the daemon
    // under test that it is no confirmer.
    void addPeers(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            const VmId vm("vm-" + std::to_string(i));
            store.change(
                ObjectGroup::Records, daemonRecordName(vm),
                encodeDaemonRecord({vm,
                                    RegionName(),
                                    ZoneName("z"),
                                    {"127.0.0.1", static_cast<std::uint16_t>(firstPeerPort + i)}}));
        }
    }

    // Another daemon has made the endpoint the primary.
    void recordPrimary(const std::string &endpoint, std::uint64_t generation)
    {
        store.change(ObjectGroup::Records, primaryRecordName(ServiceName("db")),
                     encodePrimaryRecord({.service = ServiceName("db"),
                                          .primary = EndpointId(endpoint),
                                          .changedBy = VmId("peer"),
                                          .generation = generation}));
    }

    std::string recordInStore(const std::string &name)
    {
        const auto &records = store.groups.at(static_cast<std::size_t>(ObjectGroup::Records));
        const auto found = records.find(name);
        return found == records.end() ? std::string() : found->second.text;
    }

    unsigned watchCalls(ObjectGroup group)
    {
        return store.watchCalls.at(static_cast<std::size_t>(group));
    }

    void runFor(Milliseconds time)
    {
        loop.startTimer(time, [this] { loop.stop(); });
        EventLoop &running = loop;
        running.run();
    }

    // Lets the longest lifetime of a permission pass, so that the members count as established.
    void passLongestLifetime()
    {
        clock.shift += PrimaryPermission::longestLifetime;
        runFor(3s); // outlasts the promises that the jump of the clock causes
    }

    const ServiceView &service()
    {
        return environment.view->services.at(ServiceName("db"));
    }
};

// Guards against a first start after which the daemon has no primary or no permission to use it.
TEST(FleetControl, firstPrimaryIsRecorded)
{
    start(false);
    runFor(500ms);
    CHECK_TRUE(control->ready());
    CHECK_TRUE(service().primary == EndpointId("p"));
    CHECK_TRUE(environment.permittedUntil > clock.now());
}

// Guards against a planned replacement that waits until the permissions expire, because the
// daemon's own change of a record is never counted as applied by its traffic thread.
TEST(FleetControl, plannedReplacementDoesNotWaitForPermissionsToExpire)
{
    start(true);
    runFor(500ms);
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    LONGS_EQUAL(1, environment.promotions.size());
    CHECK_TRUE(environment.promotions.front().first == EndpointId("r"));
    CHECK_TRUE(service().primary == EndpointId("r"));
}

// Guards against a term in force that is forgotten with the process that published its primary.
TEST(FleetControl, publishedRecordLacksTheTermInForce)
{
    start(true);
    runFor(500ms);
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    const std::string text = recordInStore(primaryRecordName(ServiceName("db")));
    const auto record = capture([&] { return decodePrimaryRecord(text); });
    const auto newest = std::get<PrimaryRecord>(record).newest;
    CHECK_TRUE(newest && newest->term == Term(2));
}

// Guards against the loss of commits that only a replica held which has left: the daemon knew how
// far the primary's log reached at that time, and promoted a replica that is behind.
TEST(FleetControl, replicaThatIsBehindOneThatLeftIsPromoted)
{
    store.syncReplicas = 1;
    store.change(ObjectGroup::Endpoints, "s", "ready");
    start(true);
    runFor(3500ms);
    const PositionHistory::Sample newest{clock.now(), {Term(1), LogPosition(9)}};
    control->handleReachability(
        {{ServiceName("db"), EndpointId("p"), clock.now(), {}, service().primaryEpoch, newest}});
    runFor(200ms);
    store.change(ObjectGroup::Endpoints, "r", "draining");
    runFor(100ms);
    store.remove(ObjectGroup::Endpoints, "r");
    runFor(100ms);
    environment.leader.reset();
    store.remove(ObjectGroup::Endpoints, "p");
    runFor(5000ms);
    CHECK_FALSE(service().primary.has_value());
    LONGS_EQUAL(0, environment.promotions.size());
}

// Guards against a service that stays without a primary, or whose primary cannot be replaced any
// more, after another writer has overwritten its record.
TEST(FleetControl, overwrittenPrimaryRecordIsNotWrittenAgain)
{
    start(true);
    runFor(3500ms);
    for (const std::string text : {"odd", "{\"service\":7}", "null",
                                   "{\"service\":\"other\",\"primary\":\"x\",\"changedBy\":\"\","
                                   "\"attempt\":18446744073709551615}"}) {
        store.change(ObjectGroup::Records, primaryRecordName(ServiceName("db")), text);
        runFor(1500ms);
        CHECK_TRUE(service().primary == EndpointId("p"));
        LONGS_EQUAL(0, environment.promotions.size());
    }
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    CHECK_TRUE(service().primary == EndpointId("r"));
}

// Guards against the same for a daemon that has not seen the record before.
TEST(FleetControl, unreadablePrimaryRecordIsNotReplacedAtTheStart)
{
    store.change(ObjectGroup::Records, primaryRecordName(ServiceName("db")), "odd");
    start(true);
    runFor(4500ms);
    CHECK_TRUE(service().primary == EndpointId("p"));
}

// Guards against primaries that cannot be replaced any more after another writer has overwritten
// the record of the promotion lease.
TEST(FleetControl, overwrittenLeaseRecordEndsReplacements)
{
    start(true);
    runFor(500ms);
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    CHECK_TRUE(service().primary == EndpointId("r"));
    store.change(ObjectGroup::Records, promotionLeaseRecordName(), "odd");
    store.change(ObjectGroup::Endpoints, "p", "ready");
    runFor(200ms);
    store.change(ObjectGroup::Endpoints, "r", "draining");
    runFor(6500ms);
    CHECK_TRUE(service().primary == EndpointId("p"));
    CHECK_TRUE(environment.promotions.front().second < environment.promotions.back().second);
}

// Guards against a first record that names a former primary, because it still calls itself primary
// in its registration.
TEST(FleetControl, firstOfTwoRegisteredPrimariesIsRecorded)
{
    store.registeredPrimaries.insert("r");
    environment.leader = EndpointId("r");
    start(true);
    runFor(4500ms);
    CHECK_TRUE(service().primary == EndpointId("r"));
}

// Guards against stalled watches that hide a draining primary from all daemons; they once did so
// for five seconds.
TEST(FleetControl, stalledWatchDoesNotHideADrainingPrimary)
{
    start(true);
    runFor(500ms);
    store.watchesStalled = true;
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(3500ms);
    LONGS_EQUAL(1, environment.promotions.size());
}

// Guards against a watch of the records that counts as failing after an outage until it is
// answered, for up to 20 s, during which nothing is replaced.
TEST(FleetControl, outageDoesNotDelayALaterReplacement)
{
    start(true);
    runFor(300ms);
    store.goDown();
    runFor(500ms);
    store.down = false;
    runFor(1500ms);
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(4000ms);
    LONGS_EQUAL(1, environment.promotions.size());
}

// Guards against a promotion before the permission of an unreachable daemon has expired.
TEST(FleetControl, replacementWaitsForThePermissionOfAnUnreachablePeer)
{
    start(true);
    runFor(500ms);
    passLongestLifetime();
    environment.peerAnswers = false;
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    LONGS_EQUAL(0, environment.promotions.size());
    runFor(2500ms);
    LONGS_EQUAL(1, environment.promotions.size());
}

// Guards against an early promotion by a daemon that has just started: it can't know which daemons
// were removed shortly before, and those may still use the primary.
TEST(FleetControl, newDaemonWaitsLongerForAnUnreachablePeer)
{
    start(true);
    runFor(500ms);
    environment.peerAnswers = false;
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(4500ms);
    LONGS_EQUAL(0, environment.promotions.size());
    passLongestLifetime();
    LONGS_EQUAL(1, environment.promotions.size());
}

// Guards against a promotion that does not wait for a removed daemon, which may be cut off with a
// permission in force.
TEST(FleetControl, replacementWaitsForThePermissionOfARemovedDaemon)
{
    start(false);
    store.change(
        ObjectGroup::Records, daemonRecordName(VmId("gone")),
        encodeDaemonRecord({VmId("gone"), RegionName(), ZoneName("z"), {"127.0.0.1", 9}, true}));
    runFor(500ms);
    passLongestLifetime();
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    LONGS_EQUAL(0, environment.promotions.size());
    runFor(2500ms);
    LONGS_EQUAL(1, environment.promotions.size());
}

// Guards against loss of the primaries on the majority side of a network partition, and against
// renewals by promises without a limit, which would block every replacement.
TEST(FleetControl, promisesOfAMajorityRenewThePermissionForALimitedTime)
{
    addPeers(4);
    start(true);
    runFor(1500ms);
    environment.unreachablePeers.insert("peer");
    store.down = true;
    runFor(5000ms);
    CHECK_TRUE(environment.permittedUntil > clock.now());
    runFor(7000ms);
    CHECK_TRUE(environment.permittedUntil < clock.now());
}

// Guards against a primary used on two sides of a partition: a member that acknowledged an
// announcement on the other side was killed and started on this one without having seen it, and its
// promise made most of the daemons.
TEST(FleetControl, promisesOfStartedProcessesRenewThePermissionAsAMajority)
{
    addPeers(4);
    start(true);
    runFor(1500ms);
    environment.peersJustStarted = true;
    environment.unreachablePeers.insert("peer");
    store.down = true;
    runFor(4000ms);
    CHECK_TRUE(environment.permittedUntil < clock.now());
    environment.unreachablePeers.clear();
    runFor(1500ms);
    CHECK_TRUE(environment.permittedUntil > clock.now()); // all members promise
}

// Guards against a permission that is renewed by promises of less than a majority.
TEST(FleetControl, promisesOfHalfOfTheDaemonsDoNotRenewThePermission)
{
    addPeers(4);
    start(true);
    runFor(1500ms);
    environment.unreachablePeers = {"peer", "vm-0", "vm-1"};
    store.down = true;
    runFor(4000ms);
    CHECK_TRUE(environment.permittedUntil < clock.now());
}

// Guards against loss of the primaries during a store outage that affects all daemons.
TEST(FleetControl, promisesOfAllDaemonsRenewThePermission)
{
    start(true);
    runFor(500ms);
    store.down = true;
    runFor(4000ms);
    CHECK_TRUE(environment.permittedUntil > clock.now());
    environment.peerPromises = false; // the peer may announce a replacement
    runFor(3000ms);
    CHECK_TRUE(environment.permittedUntil < clock.now());
}

// Guards against a replacement while a promise is in force.
TEST(FleetControl, promiseBlocksAnnouncement)
{
    start(true);
    runFor(300ms);
    store.down = true;
    environment.peerPromises = false; // promises would renew the confirmation
    runFor(2200ms);
    PeerReport request;
    request.vm = VmId("peer");
    request.promise = true;
    CHECK_TRUE(control->handlePeerReport(request).promise);
    store.down = false;
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    LONGS_EQUAL(0, environment.promotions.size());
}

// Guards against promises by a daemon that reaches the store, which would block replacements.
TEST(FleetControl, noPromiseWhileTheStoreAnswers)
{
    start(true);
    runFor(300ms);
    PeerReport request;
    request.vm = VmId("peer");
    request.promise = true;
    CHECK_FALSE(control->handlePeerReport(request).promise);
}

// Guards against a permission that is not renewed while the daemon is registered and the store
// answers.
TEST(FleetControl, registeredDaemonRenewsItsPermission)
{
    start(false);
    runFor(300ms);
    const TimePoint before = environment.permittedUntil;
    CHECK_TRUE(before > clock.now());
    runFor(400ms);
    CHECK_TRUE(environment.permittedUntil > before);
}

// Guards against a store load that grows with the square of the fleet: with a watch of every
// daemon, each change of an endpoint or a member cost one call per daemon (4,459 calls in one quiet
// run).
TEST(FleetControl, daemonOfALargeFleetLeavesWatchesToItsConfirmers)
{
    addPeers(40);
    environment.peerConfirms = true;
    start(false);
    runFor(500ms);
    const unsigned endpointsBefore = watchCalls(ObjectGroup::Endpoints);
    const unsigned recordsBefore = watchCalls(ObjectGroup::Records);
    const unsigned checksBefore = store.checkCalls;
    for (unsigned i = 0; i < 10; ++i) {
        store.change(ObjectGroup::Endpoints, "r", i % 2 == 0 ? "ready" : "still ready");
        store.change(ObjectGroup::Records, "note-" + std::to_string(i), "{}");
        runFor(50ms);
    }
    CHECK_TRUE(watchCalls(ObjectGroup::Endpoints) <= endpointsBefore + 1);
    CHECK_TRUE(watchCalls(ObjectGroup::Records) <= recordsBefore + 1);
    LONGS_EQUAL(checksBefore, store.checkCalls);
    CHECK_TRUE(environment.permittedUntil > clock.now());
}

// Guards against a daemon that gets no confirmations and no changes after its confirmers have
// failed.
TEST(FleetControl, daemonOfALargeFleetAsksTheStoreWhenItsConfirmersDoNotAnswer)
{
    addPeers(40);
    environment.peerConfirms = true;
    start(false);
    runFor(500ms);
    environment.peerAnswers = false;
    runFor(4000ms);
    CHECK_TRUE(environment.permittedUntil > clock.now());
    store.change(ObjectGroup::Endpoints, "extra", "ready");
    runFor(200ms);
    LONGS_EQUAL(3, service().endpoints.size());
}

// Guards against a daemon that waits for a confirmer to get the configuration, which can be large
// and which each daemon fetches from the store.
TEST(FleetControl, daemonOfALargeFleetWatchesTheConfiguration)
{
    addPeers(40);
    environment.peerConfirms = true;
    start(false);
    runFor(500ms);
    const unsigned before = watchCalls(ObjectGroup::Configuration);
    store.change(ObjectGroup::Configuration, "main", "{}");
    runFor(100ms);
    LONGS_EQUAL(before + 1, watchCalls(ObjectGroup::Configuration));
}

// Guards against a flood of calls to a store that is down: without a limit, 68 daemons repeated
// each failed check every 50 ms (7,054 calls in one run).
TEST(FleetControl, daemonOfALargeFleetLimitsCallsToAStoreThatIsDown)
{
    addPeers(40);
    environment.peerConfirms = true;
    start(false);
    runFor(1500ms);
    environment.peerConfirms = false; // the confirmers answer without a confirmation
    store.goDown();
    const unsigned checksBefore = store.checkCalls;
    const unsigned watchesBefore = watchCalls(ObjectGroup::Configuration);
    runFor(4000ms);
    CHECK_TRUE(store.checkCalls - checksBefore <= 4);
    CHECK_TRUE(watchCalls(ObjectGroup::Configuration) - watchesBefore <= 8);
    LONGS_EQUAL(0, watchCalls(ObjectGroup::Records));
}

// Guards against a daemon of a small fleet that does not watch the store and so misses changes.
TEST(FleetControl, daemonOfASmallFleetWatchesTheStore)
{
    start(true);
    runFor(1200ms);
    LONGS_EQUAL(1, watchCalls(ObjectGroup::Records));
    store.change(ObjectGroup::Endpoints, "extra", "ready");
    runFor(50ms);
    LONGS_EQUAL(3, service().endpoints.size());
}

// Guards against copies of a large configuration in every answer, which amounted to 393 MB between
// regions in one run.
TEST(FleetControl, largeConfigurationGoesOnlyToPeersThatAskForIt)
{
    start(true);
    store.change(ObjectGroup::Configuration, "main", std::string(20000, ' '));
    runFor(1200ms);
    PeerReport request;
    request.vm = VmId("peer");
    const auto holdsConfiguration = [&] {
        const auto copies = control->handlePeerReport(request).copies;
        return std::any_of(copies.begin(), copies.end(), [](const GroupCopy &copy) {
            return copy.group == ObjectGroup::Configuration;
        });
    };
    CHECK_FALSE(holdsConfiguration());
    request.wantsConfiguration = true;
    CHECK_TRUE(holdsConfiguration());
}

// Guards against copies from several members of a large fleet to one that takes them from another,
// and against the same copy twice while the first one is on its way.
TEST(FleetControl, declinedCopiesAreSent)
{
    addPeers(20);
    for (unsigned i = 0; i < 30; ++i)
        store.change(ObjectGroup::Endpoints, "e-" + std::to_string(i), std::string(200, ' '));
    start(false);
    runFor(500ms);
    PeerReport request;
    request.vm = VmId("vm-1");
    request.replicas.at(2).content = store.version;
    request.replicas.at(1).content = storeVersion(1); // lacks all endpoints
    request.declinesCopies = true;
    const auto copies = [&] { return control->handlePeerReport(request).copies.size(); };
    LONGS_EQUAL(0, copies());
    request.declinesCopies = false;
    LONGS_EQUAL(1, copies());
    LONGS_EQUAL(0, copies());
    runFor(650ms);
    request.replicas.at(2).content = store.version;
    LONGS_EQUAL(1, copies());
}

// Guards against a daemon that never gets a large configuration while the store is unreachable, and
// against simultaneous requests for it to many peers.
TEST(FleetControl, newerConfigurationIsFetchedFromOnePeerAtATime)
{
    start(true);
    runFor(300ms);
    store.down = true;
    environment.peerConfigurationVersion = storeVersion(1000);
    runFor(4000ms);
    CHECK_TRUE(environment.configurationRequests >= 1);
    CHECK_TRUE(environment.configurationRequests <= 6);
}

// Guards against the use of a replaced primary, because the store lost the record of the new one.
TEST(FleetControl, replacedPrimaryIsBackAfterARestore)
{
    environment.peerConfirmedEra = StoreEra(1);
    start(true);
    runFor(500ms);
    const auto checkpoint = store.checkpoint();
    recordPrimary("r", 9);
    runFor(300ms);
    CHECK_TRUE(service().primary == EndpointId("r"));
    store.restore(checkpoint);
    for (unsigned i = 0; i < 10; ++i) {
        runFor(100ms);
        CHECK_TRUE(service().primary == EndpointId("r"));
    }
    const std::string text = recordInStore(primaryRecordName(ServiceName("db")));
    LONGS_EQUAL(9, recordGeneration(text));
    CHECK_TRUE(environment.permittedUntil > clock.now());
}

// Guards against a permission, a replacement or the use of the primary on the word of a store that
// may have lost an announcement, while the member that may know it does not answer.
TEST(FleetControl, restoredStoreRenewsThePermissionBeforeItsRecordsAreComplete)
{
    environment.peerConfirmedEra = StoreEra(1);
    start(true);
    runFor(500ms);
    environment.peerAnswers = false;
    environment.leader = EndpointId("r"); // promoted by an order that the store has forgotten
    store.restore(store.checkpoint());
    runFor(3500ms);
    CHECK_TRUE(environment.permittedUntil < clock.now());
    LONGS_EQUAL(0, environment.promotions.size());
    clock.shift += RecordsRecovery::leaseEndDelay;
    runFor(300ms);
    const auto record = capture(
        [&] { return decodePrimaryRecord(recordInStore(primaryRecordName(ServiceName("db")))); });
    CHECK_TRUE(std::get<PrimaryRecord>(record).replacing);
    CHECK_FALSE(service().primary.has_value());
}

// Guards against a primary that is given up after a restore although its endpoints confirm it.
TEST(FleetControl, confirmedPrimaryIsReplacedWhenNoMajorityRemembers)
{
    start(true); // the peer remembers nothing
    runFor(500ms);
    environment.peerAnswers = false;
    store.restore(store.checkpoint());
    runFor(100ms);
    clock.shift += RecordsRecovery::leaseEndDelay;
    runFor(1000ms);
    CHECK_TRUE(service().primary == EndpointId("p"));
    CHECK_TRUE(environment.permittedUntil > clock.now());
    LONGS_EQUAL(0, environment.promotions.size());
}

// Guards against a daemon that has to wait like a new member, because the store lost the member
// records: replacements then took up to 10.5 s.
TEST(FleetControl, membersLostByTheStoreDelayTheNextReplacement)
{
    const auto empty = store.checkpoint();
    environment.peerConfirmedEra = StoreEra(1);
    start(true);
    runFor(500ms);
    passLongestLifetime();
    auto checkpoint = store.checkpoint();
    checkpoint.groups.at(static_cast<std::size_t>(ObjectGroup::Records)) = empty.groups.at(2);
    store.restore(checkpoint);
    runFor(1000ms);
    CHECK_FALSE(recordInStore(daemonRecordName(VmId("peer"))).empty());
    store.change(ObjectGroup::Endpoints, "p", "draining");
    runFor(1500ms);
    LONGS_EQUAL(1, environment.promotions.size());
}

// Guards against a primary that is given up and replaced although it answers, because its reports
// did not reach the store for a while.
TEST(FleetControl, primaryIsGivenUpWithItsRegistration)
{
    start(true);
    runFor(3500ms); // the store counts as healthy
    store.remove(ObjectGroup::Endpoints, "p");
    for (unsigned i = 0; i < 15; ++i) {
        runFor(100ms);
        LONGS_EQUAL(2, service().endpoints.size());
        CHECK_TRUE(service().primary == EndpointId("p"));
    }
    store.change(ObjectGroup::Endpoints, "p", "ready");
    runFor(1500ms);
    CHECK_TRUE(service().primary == EndpointId("p"));
    LONGS_EQUAL(0, environment.promotions.size());
}

// Guards against a primary that is never replaced after it has left without a drain.
TEST(FleetControl, primaryThatHasLeftIsNotReplaced)
{
    start(true);
    runFor(3500ms);
    store.remove(ObjectGroup::Endpoints, "p");
    environment.leader.reset();
    runFor(4500ms);
    LONGS_EQUAL(1, environment.promotions.size());
    LONGS_EQUAL(1, service().endpoints.size());
}
