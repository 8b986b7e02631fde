#include "history_check/checker.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace pistachiowood::check {

namespace {

using Values = std::vector<std::string>;
using ValueSet = std::unordered_set<std::string_view>;

struct KeyHistory
{
    std::vector<const Record *> committed; ///< appends, by end
    std::unordered_map<std::string_view, const Record *> appends; ///< by value
    std::vector<const Record *> reads; ///< committed, by start
    ValueSet unknown; ///< values of unknown outcome
};

bool isPrefix(const std::vector<std::string_view> &part, const std::vector<std::string_view> &whole)
{
    return part.size() <= whole.size() && std::equal(part.begin(), part.end(), whole.begin());
}

class Checker
{
public:
    Checker(const std::vector<Record> &history, const FinalContent &finalContent,
            const CheckOptions &options)
        : finalContent_(finalContent)
        , options_(options)
    {
        for (const Record &record : history)
            add(record);
        for (auto &[key, entry] : keys_) {
            std::stable_sort(entry.committed.begin(), entry.committed.end(),
                             [](auto *a, auto *b) { return a->endUs < b->endUs; });
            std::stable_sort(entry.reads.begin(), entry.reads.end(),
                             [](auto *a, auto *b) { return a->startUs < b->startUs; });
        }
    }

    CheckSummary run()
    {
        for (const auto &[key, entry] : keys_) {
            const auto content = finalContent_.find(key);
            if (content == finalContent_.end()) {
                report("final content", "key " + key.first + "/" + key.second
                                            + " is missing from the final content");
                continue;
            }
            checkAppends(entry, content->second);
            checkOrigins(key, entry, content->second);
            checkReads(entry, content->second);
            checkMonotonicReads(entry);
        }
        return std::move(summary_);
    }

private:
    void add(const Record &record)
    {
        KeyHistory &entry = keys_[{record.service, record.key}];
        if (record.isRead) {
            if (record.outcome == RecordOutcome::Committed)
                entry.reads.push_back(&record);
            return;
        }
        if (const auto [other, added] = entry.appends.emplace(record.value, &record); !added)
            report("unique values", "the history contains two appends of one value", other->second,
                   &record);
        if (record.outcome == RecordOutcome::Committed) {
            ++summary_.committedAppends;
            entry.committed.push_back(&record);
        } else if (record.outcome == RecordOutcome::NotRun) {
            ++summary_.notRunAppends;
        } else {
            ++summary_.unknownAppends;
            entry.unknown.insert(record.value);
        }
    }

    void checkAppends(const KeyHistory &entry, const Values &content)
    {
        std::unordered_map<std::string_view, std::size_t> counts;
        for (const std::string &value : content)
            ++counts[value];
        for (const auto &[value, record] : entry.appends) {
            const auto found = counts.find(value);
            const std::size_t count = found == counts.end() ? 0 : found->second;
            const std::string times = " is present " + std::to_string(count) + " times";
            if (record->outcome == RecordOutcome::Committed && count != 1)
                report("committed exactly once", "a committed append" + times, record);
            else if (record->outcome == RecordOutcome::NotRun && count != 0)
                report("not_run absent", "an append answered with not_run" + times, record);
            else if (!record->idempotent && count > 1)
                report("non-idempotent at most once", "a non-idempotent append" + times, record);
            if (record->outcome == RecordOutcome::Unknown && count > 0)
                ++summary_.unknownPresent;
        }
    }

    void checkOrigins(const KeyId &key, const KeyHistory &entry, const Values &content)
    {
        for (const std::string &value : content) {
            if (!entry.appends.contains(value))
                report("origin", "value " + value + " of " + key.first + "/" + key.second
                                     + " is in the final content, but no request appended it");
        }
    }

    void checkReads(const KeyHistory &entry, const Values &content)
    {
        const auto expected = withoutUnknown(entry, content);
        for (const Record *read : entry.reads) {
            ++summary_.checkedReads;
            if (!isPrefix(withoutUnknown(entry, read->result), expected))
                report("prefix of final content",
                       "a read result is not a prefix of the final content", read,
                       firstDifference(entry, *read, expected));
            const ValueSet seen(read->result.begin(), read->result.end());
            if (read->tokenRead)
                checkReadYourWrites(entry, *read, seen);
            if (read->maxAgeMs)
                checkAge(entry, *read, seen);
        }
    }

    void checkReadYourWrites(const KeyHistory &entry, const Record &read, const ValueSet &seen)
    {
        for (const Record *append : entry.committed) {
            if (append->endUs > read.startUs)
                break;
            if (append->session == read.session && !seen.contains(append->value))
                report("read your writes", "a read misses an earlier write of its session", append,
                       &read);
        }
    }

    void checkAge(const KeyHistory &entry, const Record &read, const ValueSet &seen)
    {
        const std::int64_t newest = read.startUs - (*read.maxAgeMs + options_.clockSlackMs) * 1000;
        for (const Record *append : entry.committed) {
            if (append->endUs >= newest)
                break;
            if (!seen.contains(append->value))
                report("accepted age", "a read misses a write that is older than the accepted age",
                       append, &read);
        }
    }

    /// A token read contains everything that an earlier token read of its session returned.
    void checkMonotonicReads(const KeyHistory &entry)
    {
        std::map<std::uint64_t, const Record *> previous; // by session; its requests do not overlap
        for (const Record *read : entry.reads) {
            if (!read->tokenRead)
                continue;
            const Record *&last = previous[read->session];
            if (last && last->endUs <= read->startUs
                && !isPrefix({last->result.begin(), last->result.end()},
                             {read->result.begin(), read->result.end()}))
                report("monotonic reads", "a read does not continue an earlier read of its session",
                       last, read);
            last = read;
        }
    }

    static std::vector<std::string_view> withoutUnknown(const KeyHistory &entry,
                                                        const Values &values)
    {
        std::vector<std::string_view> known;
        for (const std::string &value : values) {
            if (!entry.unknown.contains(value))
                known.push_back(value);
        }
        return known;
    }

    /// Append of the first value in the read that the final content does not have there.
    static const Record *firstDifference(const KeyHistory &entry, const Record &read,
                                         const std::vector<std::string_view> &expected)
    {
        const auto known = withoutUnknown(entry, read.result);
        for (std::size_t i = 0; i < known.size(); ++i) {
            if (i < expected.size() && known[i] == expected[i])
                continue;
            const auto found = entry.appends.find(known[i]);
            return found == entry.appends.end() ? nullptr : found->second;
        }
        return nullptr;
    }

    void report(std::string rule, std::string detail, const Record *first = nullptr,
                const Record *second = nullptr)
    {
        summary_.violations.push_back({std::move(rule), std::move(detail), first, second});
    }

    const FinalContent &finalContent_;
    CheckOptions options_;
    std::map<KeyId, KeyHistory> keys_;
    CheckSummary summary_;
};

} // namespace

std::string Violation::format() const
{
    std::string text = rule + ": " + detail + "\n";
    for (const Record *record : {first, second}) {
        if (record)
            text += "  line " + std::to_string(record->line) + ": " + record->text + "\n";
    }
    return text;
}

CheckSummary checkHistory(const std::vector<Record> &history, const FinalContent &finalContent,
                          const CheckOptions &options)
{
    return Checker(history, finalContent, options).run();
}

} // namespace pistachiowood::check
