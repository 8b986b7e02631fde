#ifndef HISTORY_CHECK_HISTORY_FILE_H
#define HISTORY_CHECK_HISTORY_FILE_H

#include <pistachiowood/error.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pistachiowood::check {

enum class RecordOutcome { Committed, NotRun, Unknown };

struct Record
{
    std::size_t line = 0; ///< in the history file, from 1
    std::string text; ///< the line itself, for the report
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
    std::uint64_t session = 0;
    std::string service;
    std::string key;
    RecordOutcome outcome = RecordOutcome::Unknown;
    bool isRead = false;

    std::string value; ///< of an append
    bool idempotent = true;

    bool tokenRead = false;
    std::optional<std::int64_t> maxAgeMs;
    std::vector<std::string> result; ///< of a committed read
};

using KeyId = std::pair<std::string, std::string>; ///< service, key
using FinalContent = std::map<KeyId, std::vector<std::string>>;

/// Parse one line; the error names the field.
Result<Record> parseRecord(const std::string &line);
/// Reads a history file; the error names the line. Several files may be joined by appending.
Result<std::vector<Record>> readHistory(const std::string &fileName);
Result<FinalContent> readFinalContent(const std::string &fileName);

} // namespace pistachiowood::check

#endif
