#include "takeover/replacement_runner.h"

#include "base/log.h"
#include "takeover/endpoint_survey.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

constexpr Milliseconds promotionTimeout{1500};
constexpr Milliseconds demotionTimeout{700};
// How long an unanswered announcement may still take effect: the store may execute a call up to six
// seconds late.
constexpr Milliseconds lateExecutionLimit{8000};
// After an outage of the store, how long a missing registration proves nothing: entries that
// expired in the outage are back two seconds after its end.
constexpr Milliseconds registrationSettleTime{2500};
// Separates the daemons, so that normally only one creates the first record of a service.
constexpr Milliseconds createDelayPerRank{300};

// Equal for all daemons with the same record, also in the next era of the store.
std::uint64_t epochOf(const PrimaryRecord &record)
{
    const std::string &primary = record.primary.value();
    return XXH64(primary.data(), primary.size(), record.generation);
}

} // namespace

ReplacementRunner::ReplacementRunner(FleetContext &context, FleetPeers &peers)
    : context_(context)
    , peers_(peers)
    , lease_(context.settings.vm)
{
}

void ReplacementRunner::updatePrimaryRecord(const PrimaryRecord &record, StoreVersion version)
{
    ServiceState &state = services_[record.service];
    if (version == state.recordVersion)
        return;
    const bool changed = state.record != record;
    noteRecordedTerm(state, record);
    state.lastKnownPrimary.reset();
    state.record = record;
    state.recordVersion = version;
    state.recordSince = context_.clock.now();
    if (!changed)
        return; // written again after the store lost it
    logEvent(record.replacing ? Event::PromotionStarted : Event::PrimaryRecorded,
             {{"service", record.service.value()},
              {"primary", record.primary.value()},
              {"by", record.changedBy.value()},
              {"era", version.era.value()},
              {"version", version.revision.value()}});
}

void ReplacementRunner::handleUnreadablePrimaryRecord(const ServiceName &service,
                                                      StoreVersion version)
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.recordVersion == version)
        return;
    ServiceState &state = found->second;
    if (state.record)
        state.lastKnownPrimary = state.record->primary;
    state.record.reset();
    state.recordVersion = version;
}

void ReplacementRunner::updateLeaseRecord(const PromotionLeaseRecord &record, StoreVersion version)
{
    lease_.observe(record, version, context_.clock.now());
}

void ReplacementRunner::fillPrimary(ServiceView &service) const
{
    const auto state = services_.find(service.name);
    if (state == services_.end() || !state->second.record)
        return;
    service.replacementInProgress = state->second.record->replacing;
    if (!service.replacementInProgress)
        service.primary = state->second.record->primary;
    service.primaryEpoch = epochOf(*state->second.record);
}

bool ReplacementRunner::mayPromise(TimePoint now) const
{
    const bool replacing = std::any_of(services_.begin(), services_.end(), [](const auto &entry) {
        return entry.second.replacement && entry.second.replacement->announced();
    });
    return !replacing && now >= announcementUncertainUntil_;
}

void ReplacementRunner::tick()
{
    if (!context_.configuration)
        return;
    for (const ServiceLimits &service : context_.configuration->services)
        tickService(service);
}

void ReplacementRunner::tickService(const ServiceLimits &service)
{
    ServiceState &state = services_[service.name];
    if (!context_.recordsRecovered()) {
        state.creatableSince = context_.clock.now();
        return;
    }
    if (!state.record) {
        createRecord(service, state);
        return;
    }
    if (!state.replacement)
        state.replacement =
            std::make_unique<PrimaryReplacement>(service.name, context_.settings.vm);
    const PrimaryReachabilitySummary reachability =
        peers_.reachabilityOf(service.name, state.record->primary);
    notePosition(state, reachability.newestPosition);
    if (leaving_ && !state.replacement->announced())
        return; // left to the other daemons
    const auto command = state.replacement->step(collectInput(service, state, reachability));
    logWait(service.name, state);
    if (command)
        execute(service.name, *command);
}

void ReplacementRunner::notePosition(ServiceState &state, std::optional<TermPosition> position)
{
    if (!position)
        return;
    state.newestPosition = std::max(state.newestPosition, position);
    // A position of an older term may be one that the primary had before its term began.
    if (!state.newest || position->term >= state.newest->term)
        state.newest = newerTerm(state.newest, TermInForce{position->term, *position});
    for (auto &[endpoint, heldUpTo] : state.lostLogs) {
        if (!heldUpTo)
            heldUpTo = position;
    }
}

// A publication states the term that is in force from then on, which is older than the newest known
// one if the service was given up to a log of an older term. Other records, such as those of a
// restored store, may be older than what this daemon knows.
void ReplacementRunner::noteRecordedTerm(ServiceState &state, const PrimaryRecord &record)
{
    const bool published = !record.replacing && record.newest && state.record
                           && record.generation > state.record->generation;
    state.newest = published ? record.newest : newerTerm(state.newest, record.newest);
}

void ReplacementRunner::noteLostLogs(const std::vector<LostLog> &losses)
{
    for (const LostLog &loss : losses) {
        const auto found = services_.find(loss.service);
        if (found == services_.end())
            continue;
        ServiceState &state = found->second;
        state.lostLogs[loss.endpoint] = state.newestPosition;
        if (state.replacement)
            state.replacement->handleLostLog(loss.endpoint);
    }
}

// Runs the next step of a replacement from the event loop, without waiting for the next tick.
void ReplacementRunner::scheduleStep(const ServiceName &service)
{
    context_.loop.post([this, alive = context_.alive, service] {
        if (!*alive || !context_.configuration)
            return;
        for (const ServiceLimits &limits : context_.configuration->services) {
            if (limits.name == service)
                tickService(limits);
        }
    });
}

void ReplacementRunner::stepAnnounced()
{
    for (const auto &[service, state] : services_) {
        if (state.replacement && state.replacement->announced())
            scheduleStep(service);
    }
}

void ReplacementRunner::createRecord(const ServiceLimits &service, ServiceState &state)
{
    const TimePoint now = context_.clock.now();
    const std::vector<EndpointId> primaries = registeredPrimaries(service.name);
    const bool known = state.lastKnownPrimary || !primaries.empty();
    if (!known || context_.records().failing() || state.creatingRecord) {
        state.creatableSince = now;
        return;
    }
    if (now - state.creatableSince < createDelayPerRank * peers_.members().rankFor(service.name))
        return;
    const std::string name = primaryRecordName(service.name);
    const auto unreadable = context_.records().versionOf(name);
    // If it is not certain who leads, a replacement finds out.
    const bool replacing = unreadable || primaries.size() > 1;
    if (replacing && !peers_.mayAnnounce(now))
        return;
    state.creatingRecord = true;
    const PrimaryRecord record{.service = service.name,
                               .primary = state.lastKnownPrimary ? *state.lastKnownPrimary
                                                                 : primaries.front(),
                               .replacing = replacing,
                               .changedBy = context_.settings.vm,
                               .generation = context_.nextGeneration(name),
                               .newest = state.newest};
    if (replacing)
        startAnnouncement(service.name, record.generation);
    context_.putRecord(name, unreadable, encodePrimaryRecord(record),
                       [this, replacing, service = service.name](const auto &outcome) {
                           services_[service].creatingRecord = false;
                           if (replacing)
                               finishAnnouncement(outcome);
                       });
}

std::vector<EndpointId> ReplacementRunner::registeredPrimaries(const ServiceName &service) const
{
    std::vector<EndpointId> primaries = context_.endpointsOf(service);
    std::erase_if(primaries, [&](const EndpointId &id) {
        return !context_.endpoints.endpoints().at(id).entry.primary;
    });
    return primaries;
}

// From when it is sent until its outcome is known, an announcement may be executed.
void ReplacementRunner::startAnnouncement(const ServiceName &service, std::uint64_t generation)
{
    noteAnnouncement(service, generation);
    announcementUncertainUntil_ = context_.clock.now() + lateExecutionLimit;
}

void ReplacementRunner::finishAnnouncement(const StoreOutcome<StoreVersion> &outcome)
{
    const auto *failure = std::get_if<StoreFailure>(&outcome);
    if (!failure || *failure != StoreFailure::NoAnswer)
        announcementUncertainUntil_ = context_.clock.now();
}

ReplacementInput ReplacementRunner::collectInput(const ServiceLimits &service,
                                                 const ServiceState &state,
                                                 const PrimaryReachabilitySummary &reachability)
{
    const TimePoint now = context_.clock.now();
    ReplacementInput input;
    input.now = now;
    input.record = state.record;
    input.recordVersion = state.recordVersion;
    input.recordSince = state.recordSince;
    input.announcedByThisRun = state.record->replacing
                               && state.record->changedBy == context_.settings.vm
                               && state.record->generation == state.announcedGeneration;
    input.syncReplicas = service.syncReplicas;
    input.newest = state.newest;
    input.lostLogs = state.lostLogs;
    std::map<RegionName, unsigned> endpointsPerRegion;
    const FleetSettings &settings = context_.settings;
    for (const EndpointId &id : context_.endpointsOf(service.name)) {
        const EndpointEntry &entry = context_.endpoints.endpoints().at(id).entry;
        ++endpointsPerRegion[settings.regionOf(entry.zone)];
    }
    for (const EndpointId &id : context_.endpointsOf(service.name)) {
        const RegisteredEndpoint &endpoint = context_.endpoints.endpoints().at(id);
        input.candidates.push_back({id, endpoint.entry.draining,
                                    endpointsPerRegion[settings.regionOf(endpoint.entry.zone)],
                                    !endpoint.missingSince.has_value()});
    }
    const GroupFeed &endpoints = context_.feed(ObjectGroup::Endpoints);
    input.registrationsCurrent = endpoints.watching() && !endpoints.failing()
                                 && endpoints.healthySince()
                                 && now - *endpoints.healthySince() > registrationSettleTime;
    input.primaryFailingSince = reachability.failingSince;
    input.peerCount = reachability.peerCount;
    input.peersHeard = reachability.peersHeard;
    input.peersReaching = reachability.peersReaching;
    input.peersFailing = reachability.peersFailing;
    const bool recordsFailing = context_.records().failing();
    input.mayAnnounce = peers_.mayAnnounce(now) && !recordsFailing;
    input.leaseHeld = lease_.held(now);
    input.leaseToken = lease_.fencingToken();
    input.leaseAvailable = !input.leaseHeld && lease_.available(now) && !recordsFailing;
    input.allAcknowledged = peers_.allApplied(state.recordVersion);
    input.halfAcknowledged = peers_.halfApplied(state.recordVersion);
    input.rank = peers_.members().rankFor(service.name);
    input.membershipEstablished = peers_.members().established(now);
    return input;
}

PrimaryReplacement *ReplacementRunner::replacementOf(const ServiceName &service)
{
    return services_[service].replacement.get();
}

void ReplacementRunner::logStep(const ServiceName &service, const ReplacementCommand &command) const
{
    struct Describe
    {
        std::string operator()(const AcquireLeaseCommand &) const { return "take the duty"; }
        std::string operator()(const AskPeersCommand &) const { return {}; }
        std::string operator()(const AnnounceCommand &c) const
        {
            return "announce that " + c.record.primary.value() + " goes";
        }
        std::string operator()(const SurveyCommand &) const { return "survey"; }
        std::string operator()(const DemoteCommand &c) const
        {
            return "demote " + c.endpoint.value();
        }
        std::string operator()(const PromoteCommand &c) const
        {
            return "promote " + c.endpoint.value();
        }
        std::string operator()(const PublishCommand &c) const
        {
            return "publish " + c.record.primary.value();
        }
    };
    if (const std::string step = std::visit(Describe{}, command); !step.empty())
        logEvent(Event::ReplacementStep, {{"service", service.value()}, {"step", step}});
}

void ReplacementRunner::logWait(const ServiceName &service, ServiceState &state) const
{
    const ChoiceWait wait = state.replacement->wait();
    if (std::exchange(state.loggedWait, wait) == wait || wait == ChoiceWait::None)
        return;
    logEvent(Event::PrimaryWithheld, {{"service", service.value()}, {"for", choiceWaitName(wait)}});
}

void ReplacementRunner::execute(const ServiceName &service, const ReplacementCommand &command)
{
    logStep(service, command);
    if (std::holds_alternative<AcquireLeaseCommand>(command)) {
        services_[service].waitsForLease = true;
        acquireLease();
    } else if (std::holds_alternative<AskPeersCommand>(command)) {
        peers_.requestReports();
    } else if (const auto *announcement = std::get_if<AnnounceCommand>(&command)) {
        putPrimaryRecord(
            announcement->record, [this, service](const StoreOutcome<StoreVersion> &outcome) {
                const auto *version = std::get_if<StoreVersion>(&outcome);
                finishAnnouncement(outcome);
                replacementOf(service)->handleAnnounced(
                    version ? std::optional(*version) : std::nullopt, context_.clock.now());
                scheduleStep(service);
            });
    } else if (const auto *surveyed = std::get_if<SurveyCommand>(&command)) {
        survey(service, surveyed->endpoints);
    } else if (const auto *demotion = std::get_if<DemoteCommand>(&command)) {
        context_.traffic.queryStatus(
            service, demotion->endpoint, {.verb = Verb::Demote, .term = demotion->term},
            demotionTimeout, [this, alive = context_.alive, service](auto status) {
                if (*alive) {
                    replacementOf(service)->handleDemoted(status, context_.clock.now());
                    scheduleStep(service);
                }
            });
    } else if (const auto *promotion = std::get_if<PromoteCommand>(&command)) {
        promote(service, *promotion);
    } else if (const auto *publication = std::get_if<PublishCommand>(&command)) {
        putPrimaryRecord(
            publication->record, [this, service](const StoreOutcome<StoreVersion> &outcome) {
                const bool published = std::holds_alternative<StoreVersion>(outcome);
                if (published)
                    logEvent(Event::PromotionCompleted, {{"service", service.value()}});
                replacementOf(service)->handlePublished(published, context_.clock.now());
            });
    }
}

void ReplacementRunner::acquireLease()
{
    if (acquiringLease_)
        return;
    acquiringLease_ = true;
    const TimePoint sentAt = context_.clock.now();
    PromotionLeaseRecord record = lease_.propose(sentAt);
    record.generation = context_.nextGeneration(promotionLeaseRecordName());
    context_.putRecord(promotionLeaseRecordName(), lease_.expectedVersion(),
                       encodePromotionLeaseRecord(record),
                       [this, record, sentAt](const StoreOutcome<StoreVersion> &outcome) {
                           acquiringLease_ = false;
                           const TimePoint now = context_.clock.now();
                           const auto *version = std::get_if<StoreVersion>(&outcome);
                           if (version)
                               lease_.accept(record, *version, sentAt, now);
                           for (auto &[service, state] : services_) {
                               if (!std::exchange(state.waitsForLease, false))
                                   continue;
                               state.replacement->handleLeaseResult(version != nullptr, now);
                               scheduleStep(service);
                           }
                       });
}

void ReplacementRunner::putPrimaryRecord(PrimaryRecord record,
                                         FleetContext::RecordCallback callback)
{
    const std::string name = primaryRecordName(record.service);
    record.generation = context_.nextGeneration(name);
    if (record.replacing)
        startAnnouncement(record.service, record.generation);
    context_.putRecord(name, services_[record.service].recordVersion, encodePrimaryRecord(record),
                       std::move(callback));
}

void ReplacementRunner::survey(const ServiceName &service, const std::vector<EndpointId> &endpoints)
{
    surveyEndpoints(context_, service, endpoints,
                    [this, service](const EndpointStatuses &statuses) {
                        replacementOf(service)->handleSurvey(statuses, context_.clock.now());
                        scheduleStep(service);
                    });
}

void ReplacementRunner::promote(const ServiceName &service, const PromoteCommand &command)
{
    const TimePoint now = context_.clock.now();
    if (!lease_.held(now) || peers_.promised(now)) {
        replacementOf(service)->handlePromoted(PromotionOutcome::Refused, now);
        return;
    }
    const EndpointId &endpoint = command.endpoint;
    logEvent(Event::PromotionOrdered,
             {{"service", service.value()}, {"endpoint", endpoint.value()}});
    if (command.olderTerm)
        logEvent(Event::OlderTermPromoted,
                 {{"service", service.value()},
                  {"endpoint", endpoint.value()},
                  {"newest_term", services_[service].newest->term.value()}});
    context_.promotions.promote(
        service, endpoint, context_.settings.vm, lease_.fencingToken(), promotionTimeout,
        [this, alive = context_.alive, service](PromotionOutcome outcome) {
            if (!*alive)
                return;
            replacementOf(service)->handlePromoted(outcome, context_.clock.now());
            scheduleStep(service);
        });
}

} // namespace pistachiowood
