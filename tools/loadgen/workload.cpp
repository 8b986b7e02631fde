#include "loadgen/workload.h"

namespace pistachiowood::loadgen {

namespace {

constexpr std::size_t appendsPerTransaction = 2;

} // namespace

std::string keyName(std::uint64_t seed, std::size_t index)
{
    return "run" + std::to_string(seed) + "-key" + std::to_string(index);
}

Workload::Workload(WorkloadOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
{
}

WorkItem Workload::next()
{
    seconds_ += std::exponential_distribution<double>(options_.rate)(random_);
    WorkItem item;
    item.at = std::chrono::microseconds(static_cast<std::int64_t>(seconds_ * 1e6));
    item.session = pick(options_.sessions);
    item.service = options_.services.at(pick(options_.services.size()));
    item.roam = chance(options_.roam);
    item.daemon = pick(options_.daemons);
    if (chance(options_.readShare)) {
        item.kind = chance(options_.maxAgeShare) ? WorkKind::AgeRead : WorkKind::TokenRead;
        item.key = keyName(options_.seed, pick(options_.keys));
        return item;
    }
    item.kind = chance(options_.transactionShare) ? WorkKind::Transaction : WorkKind::Write;
    item.idempotent = !chance(options_.nonIdempotentShare);
    const std::size_t count = item.kind == WorkKind::Transaction ? appendsPerTransaction : 1;
    for (std::size_t i = 0; i < count; ++i)
        item.appends.push_back(nextAppend());
    return item;
}

bool Workload::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::size_t Workload::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

Append Workload::nextAppend()
{
    return {keyName(options_.seed, pick(options_.keys)),
            std::to_string(options_.seed) + "-" + std::to_string(++lastValue_)};
}

} // namespace pistachiowood::loadgen
