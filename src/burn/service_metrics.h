#ifndef PISTACHIOWOOD_BURN_SERVICE_METRICS_H
#define PISTACHIOWOOD_BURN_SERVICE_METRICS_H

#include "burn/burn_history.h"
#include "burn/duration_histogram.h"
#include "configuration/objects.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/ids.h>
#include <pistachiowood/statement.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pistachiowood {

inline constexpr std::size_t statementKinds = 2; ///< number of StatementKind values
inline constexpr std::size_t outcomeKinds = 3; ///< number of Outcome values
inline constexpr std::size_t errorCodes = 13; ///< number of ErrorCode values
/// Twice the target of 1,900 services. Names beyond it are counted together, without a record.
inline constexpr std::size_t maxRecordedServices = 4096;

/// Everything that one daemon has recorded about one service since its start; about 4 KB.
struct ServiceRecord
{
    ServiceName service;
    ServiceObjectives objectives; ///< in force when the statements were classified
    /// Statements by StatementKind and Outcome.
    std::array<std::array<std::uint64_t, outcomeKinds>, statementKinds> outcomes{};
    std::array<std::uint64_t, errorCodes> refusals{}; ///< not committed, by ErrorCode
    std::array<DurationHistogram, statementKinds> latency; ///< committed, by StatementKind
    DurationHistogram replicaAge; ///< of reads served by replicas
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    BurnHistory history;
};

/// State of all services at one moment. The records are immutable and shared with the recorder.
struct MetricsSnapshot
{
    VmId daemon;
    Milliseconds uptime{0}; ///< time since recording started
    std::uint64_t unattributed = 0; ///< statements without a record of their service
    std::vector<std::shared_ptr<const ServiceRecord>> services; ///< in no order

    /// Current minute of the histories; the history of an idle service may lag behind it.
    std::uint64_t minute() const;
};

/// A write gap ends without a committed write when no write was tried for this long: on a service
/// with few writes the next committed one says nothing about the time before it.
inline constexpr std::chrono::seconds gapIdleLimit{60};

/// True when the caller's request is at fault; such refusals do not use up an error budget.
bool isCallerError(ErrorCode code);

/// Records the finished statements of one daemon. Used by the traffic thread only; snapshots may be
/// read by any thread.
class ServiceMetrics
{
public:
    using ObjectivesMap = std::map<ServiceName, ServiceObjectives>;

    ServiceMetrics(VmId daemon, const Clock &clock);

    /// Services that are not listed keep the default objectives.
    void setObjectives(ObjectivesMap objectives);
    void record(const StatementRequest &request, const StatementAnswer &answer,
                std::chrono::nanoseconds latency);
    /// Drops the record of a deleted service.
    void remove(const ServiceName &service);

    /// Copies one pointer per service. The next statement of a service copies its record once.
    MetricsSnapshot snapshot();

private:
    struct Entry
    {
        std::shared_ptr<ServiceRecord> record;
        std::uint64_t epoch = 0; ///< snapshots taken when the record was created or copied
        std::optional<TimePoint> firstFailedWrite; ///< start of the current write gap
        TimePoint lastFailedWrite; ///< of the current write gap
    };

    std::uint64_t currentMinute() const;
    ServiceObjectives objectivesOf(const ServiceName &service) const;
    Entry *findOrCreate(const StatementRequest &request, const StatementAnswer &answer);
    ServiceRecord &writable(Entry &entry) const;
    void recordWriteGap(Entry &entry, ServiceRecord &record, bool committed) const;

    VmId daemon_;
    const Clock &clock_;
    TimePoint start_;
    ObjectivesMap objectives_;
    std::unordered_map<ServiceName, Entry> entries_;
    std::uint64_t epoch_ = 0;
    std::uint64_t unattributed_ = 0;
};

} // namespace pistachiowood

#endif
