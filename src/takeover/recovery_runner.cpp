#include "takeover/recovery_runner.h"

#include "base/log.h"
#include "takeover/endpoint_survey.h"

#include <utility>

namespace pistachiowood {

namespace {

constexpr std::size_t maxOpenCalls = 8; // each needs a connection to the store
constexpr Milliseconds retryDelay{100};
// Orders the daemons in which they act, like a service.
const ServiceName rankKey("records");

} // namespace

RecoveryRunner::RecoveryRunner(FleetContext &context, FleetPeers &peers,
                               ReplacementRunner &replacements)
    : context_(context)
    , peers_(peers)
    , replacements_(replacements)
{
}

void RecoveryRunner::tick()
{
    const GroupFeed &records = context_.records();
    const TimePoint now = context_.clock.now();
    if (!records.loaded() || context_.recordsRecovered() || openCalls_ > 0 || now < retryAt_)
        return;
    if (std::exchange(era_, records.version().era) != records.version().era) {
        verified_.clear();
        savedChanges_ = 0;
    }
    const std::vector<Change> unsaved = unsavedChanges();
    const std::vector<PrimaryRecord> unverified = unverifiedPrimaries();
    const RecoveryInput input{.now = now,
                              .era = era_,
                              .eraSince = records.eraSince(),
                              .storeAnswers = !records.failing(),
                              .formerRecords = peers_.formerRecords(),
                              .rank = peers_.members().rankFor(rankKey),
                              .unsaved = unsaved.size(),
                              .unverified = unverified.size()};
    switch (recovery_.step(input)) {
    case RecoveryAction::None:
        break;
    case RecoveryAction::AskPeers:
        peers_.requestReports();
        break;
    case RecoveryAction::SaveRecords:
        write(unsaved);
        break;
    case RecoveryAction::VerifyPrimaries:
        for (const PrimaryRecord &primary : unverified)
            verify(primary);
        break;
    case RecoveryAction::Finish:
        finish();
        break;
    }
}

std::vector<RecoveryRunner::Change> RecoveryRunner::unsavedChanges() const
{
    const GroupReplica &records = context_.records().replica();
    std::vector<Change> changes;
    for (const auto &[name, item] : records.carried()) {
        const RecordKind kind = recordKindOf(name);
        if (kind == RecordKind::Primary || kind == RecordKind::Member)
            changes.push_back({name, item.text});
    }
    for (const std::string &name : records.lostRemovals())
        changes.push_back({name, std::nullopt});
    if (auto lease = replacements_.recoveredLease()) {
        const std::string name = promotionLeaseRecordName();
        lease->generation = context_.nextGeneration(name);
        changes.push_back({name, encodePromotionLeaseRecord(*lease)});
    }
    return changes;
}

std::vector<PrimaryRecord> RecoveryRunner::unverifiedPrimaries() const
{
    std::vector<PrimaryRecord> primaries;
    for (const auto &[name, item] : context_.records().items()) {
        if (recordKindOf(name) != RecordKind::Primary)
            continue;
        const auto decoded = capture([text = item.text] { return decodePrimaryRecord(text); });
        const auto *record = std::get_if<PrimaryRecord>(&decoded);
        if (record && !record->replacing && verified_.count(record->service) == 0)
            primaries.push_back(*record);
    }
    return primaries;
}

void RecoveryRunner::verify(const PrimaryRecord &primary)
{
    const std::vector<EndpointId> endpoints = context_.endpointsOf(primary.service);
    if (endpoints.empty()) {
        announce(primary);
        return;
    }
    ++openCalls_;
    surveyEndpoints(context_, primary.service, endpoints,
                    [this, primary, endpoints](const EndpointStatuses &statuses) {
                        if (isOnlyPrimary(primary.primary, endpoints, statuses))
                            verified_.insert(primary.service);
                        else
                            announce(primary);
                        finishCall();
                    });
}

void RecoveryRunner::announce(PrimaryRecord primary)
{
    const std::string name = primaryRecordName(primary.service);
    primary.replacing = true;
    primary.changedBy = context_.settings.vm;
    primary.generation = context_.nextGeneration(name);
    replacements_.noteAnnouncement(primary.service, primary.generation);
    write({{name, encodePrimaryRecord(primary)}});
}

void RecoveryRunner::write(const std::vector<Change> &changes)
{
    const GroupReplica &records = context_.records().replica();
    for (const Change &change : changes) {
        if (openCalls_ >= maxOpenCalls)
            return;
        ++openCalls_;
        const auto stored = records.storedVersion(change.name);
        const auto written = [this, alive = context_.alive](const auto &outcome) {
            if (*alive)
                handleWritten(std::holds_alternative<StoreVersion>(outcome));
        };
        if (change.text)
            context_.putRecord(change.name, stored, *change.text, written);
        else
            context_.store.deleteRecord(change.name, *stored, recordWriteTimeout, written);
    }
}

void RecoveryRunner::handleWritten(bool written)
{
    if (written)
        ++savedChanges_;
    else
        retryAt_ = context_.clock.now() + retryDelay;
    finishCall();
}

void RecoveryRunner::finishCall()
{
    if (--openCalls_ == 0)
        tick();
}

void RecoveryRunner::finish()
{
    const std::string name = recoveredEraRecordName();
    const StoreEra era = context_.records().version().era;
    const bool complete = peers_.formerRecords() == FormerRecords::Complete;
    ++openCalls_;
    context_.putRecord(name, context_.records().replica().storedVersion(name),
                       encodeRecoveredEraRecord({era, context_.nextGeneration(name)}),
                       [this, era, complete](const StoreOutcome<StoreVersion> &outcome) {
                           const bool written = std::holds_alternative<StoreVersion>(outcome);
                           if (written)
                               logEvent(Event::RecordsRecovered, {{"era", era.value()},
                                                                  {"known", complete ? 1 : 0},
                                                                  {"saved", savedChanges_}});
                           handleWritten(written);
                       });
}

} // namespace pistachiowood
