#ifndef LOADGEN_WORKLOAD_H
#define LOADGEN_WORKLOAD_H

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pistachiowood::loadgen {

enum class WorkKind { TokenRead, AgeRead, Write, Transaction };
inline constexpr std::size_t workKindCount = 4;

struct WorkloadOptions
{
    double rate = 100; ///< statements or transactions per second
    std::size_t sessions = 10;
    std::size_t daemons = 1;
    std::vector<std::string> services;
    double roam = 0.1; ///< probability that a statement moves its session to a random daemon
    double readShare = 0.8;
    double maxAgeShare = 0; ///< of reads
    double nonIdempotentShare = 0; ///< of writes
    double transactionShare = 0; ///< of writes
    std::size_t keys = 100;
    std::uint64_t seed = 1;
};

/// One append of a write or transaction.
struct Append
{
    std::string key;
    std::string value; ///< unique; also the request id of a write
};

struct WorkItem
{
    std::chrono::microseconds at{0}; ///< from the start of the run
    std::size_t session = 0;
    std::string service;
    WorkKind kind = WorkKind::TokenRead;
    bool idempotent = true;
    bool roam = false;
    std::size_t daemon = 0; ///< where the session moves if it roams
    std::string key; ///< of a read
    std::vector<Append> appends;
};

/// Key names contain the seed, so that runs against the same database do not share keys.
std::string keyName(std::uint64_t seed, std::size_t index);

/// Deterministic sequence of arrivals with exponential gaps.
class Workload
{
public:
    explicit Workload(WorkloadOptions options);
    WorkItem next();

private:
    bool chance(double probability);
    std::size_t pick(std::size_t count);
    Append nextAppend();

    WorkloadOptions options_;
    std::mt19937_64 random_;
    double seconds_ = 0;
    std::uint64_t lastValue_ = 0;
};

} // namespace pistachiowood::loadgen

#endif
