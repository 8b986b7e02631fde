#include "writes/durability_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pistachiowood {

DurabilityTracker::DurabilityTracker(const Clock &clock)
    : clock_(clock)
{
}

void DurabilityTracker::setGroup(Term term, const EndpointId &primary,
                                 const std::vector<EndpointId> &members)
{
    if (term < term_)
        return;
    std::map<EndpointId, LogPosition> held;
    for (const EndpointId &member : members) {
        const auto known = heldPositions_.find(member);
        held[member] =
            term == term_ && known != heldPositions_.end() ? known->second : LogPosition();
    }
    heldPositions_ = std::move(held);
    primary_ = primary;
    if (term > term_) {
        // Ends the waits before term_ changes, so that their results have the durable position of
        // their own term.
        const auto first = waits_.lower_bound({term, LogPosition()});
        for (auto wait = waits_.begin(); wait != first; ++wait)
            addResult(wait->second, wait->first.first, Durability::TermChanged);
        waits_.erase(waits_.begin(), first);
        term_ = term;
        durablePosition_ = LogPosition();
    }
    updateDurablePosition();
}

void DurabilityTracker::recordReport(const EndpointId &endpoint, const EndpointReport &report)
{
    const auto member = heldPositions_.find(endpoint);
    if (member == heldPositions_.end() || report.term != term_ || !isLastEntryOfCurrentTerm(report))
        return;
    member->second = std::max(member->second, report.position);
    // Replicas receive entries of this term from the primary only, so it holds the position, too.
    if (const auto primary = heldPositions_.find(primary_); primary != heldPositions_.end())
        primary->second = std::max(primary->second, report.position);
    updateDurablePosition();
}

void DurabilityTracker::addWait(Ticket ticket, Term term, LogPosition position, TimePoint deadline)
{
    if (term < term_)
        return addResult({ticket, deadline}, term, Durability::TermChanged);
    waits_.emplace(Key{term, position}, Wait{ticket, deadline});
    completeDurableWaits();
}

void DurabilityTracker::cancel(Ticket ticket)
{
    std::erase_if(waits_, [&](const auto &entry) { return entry.second.ticket == ticket; });
    std::erase_if(results_,
                  [&](const DurabilityResult &result) { return result.ticket == ticket; });
}

std::vector<DurabilityResult> DurabilityTracker::takeResults()
{
    const TimePoint now = clock_.now();
    std::erase_if(waits_, [&](const auto &entry) {
        if (entry.second.deadline > now)
            return false;
        addResult(entry.second, entry.first.first, Durability::Expired);
        return true;
    });
    return std::exchange(results_, {});
}

std::vector<ReplicaPoll> DurabilityTracker::neededPolls() const
{
    const auto first = waits_.lower_bound({term_, LogPosition()});
    const auto last = waits_.upper_bound({term_, LogPosition(UINT64_MAX)});
    if (first == last)
        return {};
    const LogPosition lowest = first->first.second;
    const LogPosition highest = std::prev(last)->first.second;
    std::vector<ReplicaPoll> polls;
    for (const auto &[endpoint, position] : heldPositions_) {
        if (endpoint == primary_ || position >= highest)
            continue;
        // A poll that returns below the lowest awaited position would only cost bandwidth.
        const LogPosition before(lowest.value() == 0 ? 0 : lowest.value() - 1);
        polls.push_back({endpoint, std::max(position, before)});
    }
    return polls;
}

void DurabilityTracker::updateDurablePosition()
{
    if (heldPositions_.empty())
        return;
    std::vector<LogPosition> positions;
    for (const auto &[endpoint, position] : heldPositions_)
        positions.push_back(position);
    std::sort(positions.begin(), positions.end(), std::greater<>());
    // A position that a majority has held stays durable when members change within the term.
    durablePosition_ = std::max(durablePosition_, positions[positions.size() / 2]);
    completeDurableWaits();
}

void DurabilityTracker::completeDurableWaits()
{
    const auto first = waits_.lower_bound({term_, LogPosition()});
    const auto last = waits_.upper_bound({term_, durablePosition_});
    // Position 0 is the empty log, which every member of a known group holds.
    if (heldPositions_.empty())
        return;
    for (auto wait = first; wait != last; ++wait)
        addResult(wait->second, term_, Durability::Durable);
    waits_.erase(first, last);
}

void DurabilityTracker::addResult(const Wait &wait, Term term, Durability durability)
{
    results_.push_back(
        {wait.ticket, durability, term, term == term_ ? durablePosition_ : LogPosition()});
}

} // namespace pistachiowood
