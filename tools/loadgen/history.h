#ifndef LOADGEN_HISTORY_H
#define LOADGEN_HISTORY_H

#include <pistachiowood/clock.h>

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace pistachiowood::loadgen {

/// What a caller learned from one request.
struct Answer
{
    unsigned status = 0; ///< 0 when there was no response
    std::string outcome; ///< committed, not_run or unknown
    std::string reason; ///< error code when not committed
    std::optional<std::vector<std::string>> values; ///< result of a read
    std::string token;
    std::string endpoint;
    std::string transaction;
    bool fromReplica = false;
    std::optional<std::uint64_t> ageMs;
};

/// Answer that a response stands for. A response without an outcome counts by its status: 504 is
/// unknown, any other error was not run.
Answer readAnswer(unsigned status, const std::string &body);
/// Answer for a request without a response.
Answer failedAnswer(bool requestSent, const std::string &reason);

/// One line of the history file. Times are microseconds of the machine's monotonic clock, so that
/// histories of several generators on one machine can be compared.
struct HistoryRecord
{
    TimePoint scheduled;
    TimePoint start;
    TimePoint end;
    std::size_t session = 0;
    std::string daemon;
    std::string service;
    std::string kind; ///< read, write, or transaction for an append inside one
    std::string key;
    std::string value;
    std::string requestId; ///< inside a transaction: the transaction's id
    bool idempotent = true;
    bool tokenRead = false; ///< a read that follows its session's token
    std::optional<std::uint64_t> maxAgeMs;
    Answer answer;

    std::string encode() const;
};

/// Writes records to a file; an empty name writes nothing.
class HistoryWriter
{
public:
    explicit HistoryWriter(const std::string &fileName);
    /// Returns false when the file could not be written.
    bool finish();
    void write(const HistoryRecord &record);

private:
    bool enabled_;
    std::ofstream file_;
};

} // namespace pistachiowood::loadgen

#endif
