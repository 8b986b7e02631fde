#include "takeover/store_call_counts.h"

#include "base/log.h"

#include <numeric>

namespace pistachiowood {

void StoreCallCounts::record(StoreCall call, std::optional<StoreFailure> failure)
{
    ++calls_.at(static_cast<std::size_t>(call));
    if (failure)
        ++failures_.at(static_cast<std::size_t>(*failure));
}

void StoreCallCounts::log()
{
    if (std::accumulate(calls_.begin(), calls_.end(), std::uint64_t{0}) == 0)
        return;
    const auto calls = [this](StoreCall call) { return calls_.at(static_cast<std::size_t>(call)); };
    const auto failures = [this](StoreFailure failure) {
        return failures_.at(static_cast<std::size_t>(failure));
    };
    logEvent(Event::StoreCallsCounted, {{"lists", calls(StoreCall::List)},
                                        {"watches", calls(StoreCall::Watch)},
                                        {"checks", calls(StoreCall::Check)},
                                        {"changes", calls(StoreCall::Change)},
                                        {"refused", failures(StoreFailure::Refused)},
                                        {"unanswered", failures(StoreFailure::NoAnswer)},
                                        {"history_gone", failures(StoreFailure::HistoryGone)},
                                        {"conflicts", failures(StoreFailure::Conflict)}});
    calls_.fill(0);
    failures_.fill(0);
}

} // namespace pistachiowood
