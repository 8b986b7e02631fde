#include "daemon/control_plane.h"

#include "base/address.h"
#include "base/log.h"
#include "configuration/configuration_feed.h"
#include "configuration/platform_client.h"
#include "configuration/selector.h"
#include "daemon/change_runner.h"
#include "daemon/routing_builder.h"
#include "daemon/service_supervisor.h"
#include "membership/owner_table.h"
#include "rpc/control_rpc.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds supervisorTickInterval{100};
constexpr Milliseconds minVmListInterval{10000};
// An entry takes about 56 bytes, so the list alone would cost 4.5 KB/s at 800 members every 10 s.
// It only seeds and prunes the member list, which gossip keeps up to date.
constexpr Milliseconds vmListIntervalPerMember{100};
constexpr Milliseconds platformTimeout{3000};
constexpr Milliseconds confirmationTimeout{400};
constexpr Milliseconds statusFetchTimeout{500};
// Limits the requests when a burst of statements finds the status of a service outdated.
constexpr Milliseconds statusRequestInterval{50};
constexpr Milliseconds statusSyncInterval{1000};
constexpr std::size_t maxStatusSources = 2;

std::uint64_t wallClockMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

MemberRecord describeSelf(const ControlSettings &settings)
{
    MemberRecord self;
    self.id = settings.vm;
    self.zone = settings.zone;
    self.region = settings.region;
    self.control = settings.controlAddress;
    self.traffic = settings.trafficAddress;
    self.admin = settings.adminAddress;
    self.incarnation = Incarnation(wallClockMicroseconds());
    return self;
}

} // namespace

struct ControlPlane::Private : public ControlHandler, public SupervisorContext
{
    Private(EventLoop &eventLoop, const Clock &steadyClock, RandomSource &randomSource,
            ControlSettings controlSettings)
        : loop(eventLoop)
        , clock(steadyClock)
        , random(randomSource)
        , settings(std::move(controlSettings))
        , platform(loop, settings.platform)
        , endpointControlClient(loop, clock)
        , feed(configuration, random)
        , membership(describeSelf(settings), random, clock.now())
        , rpc(loop, *this)
        , changes(loop, clock, random, platform)
    {
    }

    // Configuration feed

    void runFeed(const FeedCommands &commands)
    {
        for (const FeedCommand &command : commands)
            std::visit([this](const auto &typed) { execute(typed); }, command);
    }

    void execute(const ListObjects &command)
    {
        platform.list(command.timeout, [this, request = command.request](
                                           const ConfigurationFeed::ListOutcome &outcome) {
            runFeed(feed.handleList(clock.now(), request, outcome));
            handleConfiguration();
        });
    }

    void execute(const WatchObjects &command)
    {
        platform.watch(
            command.from, command.wait, command.timeout,
            [this, request = command.request](const ConfigurationFeed::WatchOutcome &outcome) {
                runFeed(feed.handleWatch(clock.now(), request, outcome));
                if (const auto *answer = std::get_if<WatchAnswer>(&outcome))
                    changes.handleObserved(answer->events);
                handleConfiguration();
            });
    }

    void execute(const FetchFromPeer &command)
    {
        const auto peer = choosePeer(command.above);
        if (!peer) {
            loop.post([this, request = command.request] {
                runFeed(feed.handlePeerSnapshot(clock.now(), request,
                                                Error{ErrorCode::NotFound, "no peer"}));
            });
            return;
        }
        rpc.fetchConfiguration(
            *peer, command.timeout,
            [this, request = command.request](const ConfigurationFeed::ListOutcome &outcome) {
                runFeed(feed.handlePeerSnapshot(clock.now(), request, outcome));
                handleConfiguration();
            });
    }

    void execute(const ScheduleFeedTick &command)
    {
        loop.cancelTimer(feedTimer);
        const auto delay = std::chrono::ceil<Milliseconds>(command.at - clock.now());
        feedTimer = loop.startTimer(std::max(delay, Milliseconds(1)),
                                    [this] { runFeed(feed.tick(clock.now())); });
    }

    // Chooses a random daemon with a newer version, from this daemon's zone if there is one.
    std::optional<SocketAddress> choosePeer(ResourceVersion above)
    {
        std::vector<MemberRecord> peers;
        for (const MemberRecord &member : membership.members()) {
            const bool isPeer = member.id != settings.vm && member.state != MemberState::Dead;
            if (isPeer && member.appliedVersion > above)
                peers.push_back(member);
        }
        const auto sameZoneEnd =
            std::partition(peers.begin(), peers.end(),
                           [this](const MemberRecord &peer) { return peer.zone == settings.zone; });
        const auto count = static_cast<std::size_t>(
            (sameZoneEnd == peers.begin() ? peers.end() : sameZoneEnd) - peers.begin());
        if (count == 0)
            return std::nullopt;
        return peers[random.below(count)].control;
    }

    void handleConfiguration()
    {
        membership.setAppliedConfiguration(configuration.version(), configuration.statusDigest());
        if (const auto view = configuration.view(); view != appliedView) {
            appliedView = view;
            updateServices();
        }
    }

    // Membership

    void runMembership(const MembershipCommands &commands)
    {
        for (const Send &send : commands)
            rpc.gossip(send.to, send.message);
        if (membership.rosterVersion() != appliedRosterVersion) {
            appliedRosterVersion = membership.rosterVersion();
            feed.setMemberCount(membership.liveCount());
            updateServices();
        }
        scheduleMembership();
    }

    void scheduleMembership()
    {
        loop.cancelTimer(membershipTimer);
        const auto delay = std::chrono::ceil<Milliseconds>(membership.nextTick() - clock.now());
        membershipTimer = loop.startTimer(std::max(delay, Milliseconds(1)), [this] {
            runMembership(membership.tick(clock.now()));
            runFeed(feed.handlePeerVersion(clock.now(), membership.highestAppliedVersion()));
        });
    }

    void handleGossip(const GossipMessage &message) override
    {
        runMembership(membership.handle(clock.now(), message));
        const MemberRecord sender =
            std::visit([](const auto &typed) { return typed.body.sender; }, message);
        syncStatuses(sender);
    }

    // Fetches the sender's statuses when its digest differs. Both daemons do so and apply no older
    // status, so the outdated one catches up.
    void syncStatuses(const MemberRecord &sender)
    {
        const bool isDue = clock.now() - lastStatusSync >= statusSyncInterval;
        if (sender.statusDigest == configuration.statusDigest() || !isDue)
            return;
        lastStatusSync = clock.now();
        fetchStatuses(sender.control, ServiceName());
    }

    void fetchStatuses(const SocketAddress &peer, const ServiceName &service)
    {
        rpc.fetchStatuses(peer, service, statusFetchTimeout,
                          [this](const std::variant<std::vector<StoredObject>, Error> &outcome) {
                              if (const auto *statuses =
                                      std::get_if<std::vector<StoredObject>>(&outcome))
                                  handleStatuses(*statuses);
                          });
    }

    void pollVmList()
    {
        platform.listVms(
            platformTimeout, [this](const std::variant<std::vector<PlatformVm>, Error> &outcome) {
                if (const auto *vms = std::get_if<std::vector<PlatformVm>>(&outcome)) {
                    std::vector<VmListEntry> list;
                    for (const PlatformVm &vm : *vms) {
                        if (vm.control.port != 0 && vm.vm != settings.vm)
                            list.push_back({vm.vm, vm.control});
                    }
                    runMembership(
                        membership.handleVmList(clock.now(), mergeSeeds(std::move(list))));
                }
                const auto members = static_cast<std::int64_t>(membership.liveCount());
                loop.startTimer(std::max(minVmListInterval, members * vmListIntervalPerMember),
                                [this] { pollVmList(); });
            });
    }

    // Adds the configured seeds, so that a daemon can join while the platform's list is empty.
    std::vector<VmListEntry> mergeSeeds(std::vector<VmListEntry> list) const
    {
        for (const SocketAddress &seed : settings.seeds) {
            const bool isKnown =
                seed == settings.controlAddress
                || std::any_of(list.begin(), list.end(),
                               [&](const VmListEntry &vm) { return vm.control == seed; });
            if (!isKnown)
                list.push_back({VmId("seed-" + formatAddress(seed)), seed});
        }
        return list;
    }

    // Requests of other daemons

    ConfigurationSnapshot copyConfiguration() override { return configuration.snapshot(); }

    std::vector<StoredObject> copyStatuses(const ServiceName &service) override
    {
        if (service.value().empty())
            return configuration.statuses();
        const StoredObject *status = configuration.find(ObjectKind::ServiceStatus, service.value());
        return status ? std::vector<StoredObject>{*status} : std::vector<StoredObject>{};
    }

    void handleStatuses(const std::vector<StoredObject> &statuses) override
    {
        if (configuration.applyStatuses(statuses) > 0)
            handleConfiguration();
    }

    std::optional<bool> confirmReachable(const ServiceName &service,
                                         const EndpointId &endpoint) override
    {
        const auto found = supervisors.find(service);
        return found == supervisors.end() ? std::nullopt
                                          : found->second->answerConfirmation(endpoint);
    }

    // Services

    void updateServices()
    {
        owners.update(membership.members());
        const auto view = configuration.view();
        std::erase_if(supervisors,
                      [&](const auto &item) { return !view->services.contains(item.first); });
        for (const auto &[name, service] : view->services)
            updateSupervisor(*view, *service);
        table = routingBuilder.build(view, membership.members(), owners);
        if (tableHandler)
            tableHandler(table);
    }

    void updateSupervisor(const ConfigurationView &view, const ServiceSpec &service)
    {
        const auto &responsible = owners.responsibleDaemons(service.name);
        const auto position = std::find(responsible.begin(), responsible.end(), settings.vm);
        if (position == responsible.end()) {
            supervisors.erase(service.name);
            return;
        }
        auto &supervisor = supervisors[service.name];
        if (!supervisor)
            supervisor =
                std::make_shared<ServiceSupervisor>(*this, service.name, settings.vm, settings.zone,
                                                    clock, random, settings.controller);
        std::vector<GroupMember> members;
        std::map<EndpointId, SocketAddress> addresses;
        if (const auto group = view.endpointsByService.find(service.name);
            group != view.endpointsByService.end()) {
            for (const auto &endpoint : group->second) {
                members.push_back(describeMember(service, *endpoint, group->second));
                addresses.emplace(endpoint->id, endpoint->address);
            }
        }
        supervisor->setGroup(members, std::move(addresses));
        supervisor->setRank(static_cast<unsigned>(position - responsible.begin()));
        if (const auto status = view.statuses.find(service.name); status != view.statuses.end())
            supervisor->handleServiceStatus(*status->second, statusSource(service.name));
    }

    // A status stored on the platform has an operation id; one received by gossip has none.
    StatusSource statusSource(const ServiceName &service) const
    {
        const StoredObject *stored = configuration.find(ObjectKind::ServiceStatus, service.value());
        return stored && !stored->operationId.empty() ? StatusSource::Platform
                                                      : StatusSource::Gossip;
    }

    static GroupMember describeMember(const ServiceSpec &service, const EndpointSpec &endpoint,
                                      const ConfigurationView::Endpoints &group)
    {
        const auto selector = capture([&] { return Selector::parse(service.primarySelector); });
        const auto *parsed = std::get_if<Selector>(&selector);
        GroupMember member;
        member.id = endpoint.id;
        member.zone = endpoint.zone;
        member.candidate = !parsed || parsed->matches(endpoint.labels);
        member.leaving = endpoint.leaving;
        member.regionMembers = static_cast<std::size_t>(
            std::count_if(group.begin(), group.end(),
                          [&](const auto &other) { return other->region == endpoint.region; }));
        return member;
    }

    EndpointControlClient &controlClient() override { return endpointControlClient; }

    void publishStatus(const ServiceStatus &status,
                       std::function<void(PublishResult)> callback) override
    {
        const ReadObject read{ObjectKind::ServiceStatus, status.service.value(), platformTimeout};
        platform.read(read, [this, status, callback = std::move(callback)](
                                const ChangeTracker::ReadOutcome &outcome) {
            const auto *stored = std::get_if<std::optional<StoredObject>>(&outcome);
            if (!stored) {
                callback(PublishResult::Unavailable);
                return;
            }
            if (const Term term = *stored ? termOf(**stored) : Term(0); term >= status.term) {
                callback(term == status.term ? PublishResult::Ok : PublishResult::Conflict);
                return;
            }
            putStatus(status, *stored ? (*stored)->version : ResourceVersion(0), callback);
        });
    }

    static Term termOf(const StoredObject &object)
    {
        const auto decoded =
            capture([&] { return decodeObject(object.kind, object.name, object.json); });
        const auto *value = std::get_if<ObjectValue>(&decoded);
        const auto *status = value ? std::get_if<ServiceStatus>(value) : nullptr;
        return status ? status->term : Term(0);
    }

    void putStatus(const ServiceStatus &status, ResourceVersion expected,
                   const std::function<void(PublishResult)> &callback)
    {
        ChangeRequest change{ObjectKind::ServiceStatus, status.service.value(), expected, false,
                             encodeObject(status)};
        changes.submit(std::move(change), [callback](const ChangeResult &result) {
            if (std::holds_alternative<ChangeAccepted>(result))
                callback(PublishResult::Ok);
            else if (std::holds_alternative<ChangeConflict>(result))
                callback(PublishResult::Conflict);
            else
                callback(PublishResult::Unavailable);
        });
    }

    void announceStatus(const ServiceStatus &status) override
    {
        const std::string &name = status.service.value();
        const std::vector<StoredObject> statuses{{ObjectKind::ServiceStatus, name,
                                                  configuration.statusBaseVersion(name), "",
                                                  encodeObject(status)}};
        handleStatuses(statuses);
        for (const MemberRecord &member : membership.members()) {
            if (member.id != settings.vm && member.state != MemberState::Dead)
                rpc.announceStatuses(member.control, statuses);
        }
    }

    void askConfirmation(const ServiceName &service, const EndpointId &endpoint,
                         Confirmation callback) override
    {
        for (const VmId &vm : owners.responsibleDaemons(service)) {
            const MemberRecord *member = membership.find(vm);
            if (vm == settings.vm || !member)
                continue;
            rpc.confirmReachable(member->control, service, endpoint, confirmationTimeout,
                                 [vm, zone = member->zone, callback](
                                     const std::variant<std::optional<bool>, Error> &outcome) {
                                     const auto *answer =
                                         std::get_if<std::optional<bool>>(&outcome);
                                     if (answer && *answer)
                                         callback(vm, zone, **answer);
                                 });
        }
    }

    void observeReport(const EndpointId &endpoint, const EndpointReport &report) override
    {
        if (reportHandler)
            reportHandler(endpoint, report);
    }

    void tickSupervisors()
    {
        // Iterates over a copy, because a supervisor's command may change the configuration and so
        // remove another supervisor.
        const auto current = supervisors;
        for (const auto &[name, supervisor] : current)
            supervisor->tick();
        loop.startTimer(supervisorTickInterval, [this] { tickSupervisors(); });
    }

    void requestStatus(const ServiceName &service)
    {
        TimePoint &last = lastStatusRequest[service];
        if (clock.now() - last < statusRequestInterval)
            return;
        last = clock.now();
        std::size_t asked = 0;
        for (const VmId &vm : owners.responsibleDaemons(service)) {
            const MemberRecord *member = membership.find(vm);
            if (vm != settings.vm && member && asked++ < maxStatusSources)
                fetchStatuses(member->control, service);
        }
    }

    EventLoop &loop;
    const Clock &clock;
    RandomSource &random;
    ControlSettings settings;
    PlatformClient platform;
    EndpointControlClient endpointControlClient;
    ConfigurationStore configuration;
    ConfigurationFeed feed;
    Membership membership;
    mutable OwnerTable owners;
    RoutingBuilder routingBuilder;
    ControlRpc rpc;
    ChangeRunner changes;
    std::map<ServiceName, std::shared_ptr<ServiceSupervisor>> supervisors;
    std::shared_ptr<const ConfigurationView> appliedView;
    std::uint64_t appliedRosterVersion = UINT64_MAX;
    std::shared_ptr<const RoutingTable> table = std::make_shared<const RoutingTable>();
    TableHandler tableHandler;
    ReportHandler reportHandler;
    TimerId feedTimer = 0;
    TimerId membershipTimer = 0;
    TimePoint lastStatusSync;
    std::map<ServiceName, TimePoint> lastStatusRequest;
};

ControlPlane::ControlPlane(EventLoop &loop, const Clock &clock, RandomSource &random,
                           ControlSettings settings)
    : private_(std::make_unique<Private>(loop, clock, random, std::move(settings)))
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::setTableHandler(TableHandler handler)
{
    private_->tableHandler = std::move(handler);
}

void ControlPlane::setReportHandler(ReportHandler handler)
{
    private_->reportHandler = std::move(handler);
}

Result<void> ControlPlane::start()
{
    BOOST_LEAF_CHECK(private_->rpc.listen(private_->settings.controlAddress));
    private_->runMembership(
        private_->membership.handleVmList(private_->clock.now(), private_->mergeSeeds({})));
    private_->runFeed(private_->feed.start(private_->clock.now()));
    private_->pollVmList();
    private_->tickSupervisors();
    return {};
}

void ControlPlane::leave()
{
    private_->runMembership(private_->membership.leave(private_->clock.now()));
}

void ControlPlane::requestStatus(const ServiceName &service)
{
    private_->requestStatus(service);
}

const ConfigurationStore &ControlPlane::store() const
{
    return private_->configuration;
}

std::vector<MemberRecord> ControlPlane::members() const
{
    return private_->membership.members();
}

const MemberRecord &ControlPlane::self() const
{
    return private_->membership.self();
}

ResourceVersion ControlPlane::lowestAppliedVersion() const
{
    return private_->membership.lowestAppliedVersion();
}

std::shared_ptr<const RoutingTable> ControlPlane::routingTable() const
{
    return private_->table;
}

bool ControlPlane::platformAnswers() const
{
    return private_->feed.platformAnswers();
}

void ControlPlane::submitChange(ChangeRequest change, ChangeCallback callback)
{
    private_->changes.submit(std::move(change), std::move(callback));
}

std::optional<Assessment> ControlPlane::assessService(const ServiceName &service) const
{
    const auto found = private_->supervisors.find(service);
    return found == private_->supervisors.end()
               ? std::nullopt
               : std::optional(found->second->controller().assessment());
}

std::vector<VmId> ControlPlane::responsibleDaemons(const ServiceName &service) const
{
    return private_->owners.responsibleDaemons(service);
}

} // namespace pistachiowood
