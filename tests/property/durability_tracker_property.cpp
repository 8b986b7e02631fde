#include "writes/durability_tracker.h"

#include <rapidcheck.h>

#include <map>
#include <set>
#include <tuple>
#include <vector>

using namespace pistachiowood;

namespace {

/// Draws from the whole range; without the resize, inRange limits the range by the size of the
/// case.
std::uint64_t draw(std::uint64_t bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, bound));
}

struct RecordedReport
{
    EndpointId endpoint;
    Term term;
    LogPosition position;
};

/// Returns whether a majority holds the position according to all reports so far.
bool isHeldByMajority(const std::vector<RecordedReport> &reports,
                      const std::vector<EndpointId> &members, Term term, LogPosition position)
{
    std::size_t holders = 0;
    for (const EndpointId &member : members) {
        for (const RecordedReport &report : reports) {
            // Any member's report implies that the primary, the first member, holds the position.
            const bool counts = report.endpoint == member || member == members.front();
            if (counts && report.term == term && report.position >= position) {
                ++holders;
                break;
            }
        }
    }
    return holders > members.size() / 2;
}

} // namespace

int main()
{
    // Guards against durable positions that differ from a count over all reports, and against waits
    // that get no result or more than one.
    const bool ok = rc::check("tracker agrees with a naive count", [] {
        ManualClock clock;
        DurabilityTracker tracker(clock);
        std::vector<EndpointId> members;
        for (auto i = 1 + draw(5); i > 0; --i)
            members.emplace_back(std::to_string(i));
        Term term(1);
        LogPosition lastDurable;
        std::vector<RecordedReport> reports;
        std::map<Ticket, std::tuple<Term, LogPosition, TimePoint>> waits;
        std::uint64_t lastTicket = 0;
        tracker.setGroup(term, members.front(), members);

        const auto takeResults = [&] {
            for (const DurabilityResult &result : tracker.takeResults()) {
                RC_ASSERT(waits.contains(result.ticket));
                const auto [waitTerm, position, deadline] = waits[result.ticket];
                waits.erase(result.ticket);
                const bool durable = isHeldByMajority(reports, members, waitTerm, position);
                RC_ASSERT(result.term == waitTerm);
                RC_ASSERT(durable == (result.durability == Durability::Durable)
                          || (waitTerm < term && result.durability == Durability::TermChanged));
                if (result.durability == Durability::TermChanged)
                    RC_ASSERT(waitTerm < term);
                if (result.durability == Durability::Expired)
                    RC_ASSERT(deadline <= clock.now());
            }
            for (const auto &[ticket, wait] : waits) {
                const auto &[waitTerm, position, deadline] = wait;
                RC_ASSERT(waitTerm >= term && deadline > clock.now());
                RC_ASSERT(waitTerm > term || !isHeldByMajority(reports, members, term, position));
            }
        };
        const auto steps = draw(100);
        for (std::uint64_t i = 0; i < steps; ++i) {
            const LogPosition position(1 + draw(11));
            const Term eventTerm(term.value() + draw(3) - 1);
            switch (draw(10)) {
            case 0:
                if (eventTerm >= term) {
                    lastDurable = eventTerm > term ? LogPosition() : lastDurable;
                    term = eventTerm;
                }
                tracker.setGroup(eventTerm, members.front(), members);
                break;
            case 1:
            case 2:
            case 3: {
                const Ticket ticket(++lastTicket);
                const TimePoint deadline = clock.now() + Milliseconds(1 + draw(49));
                waits[ticket] = {eventTerm, position, deadline};
                tracker.addWait(ticket, eventTerm, position, deadline);
                break;
            }
            case 4:
                clock.advance(Milliseconds(draw(20)));
                break;
            default: {
                const EndpointId endpoint = *rc::gen::elementOf(members);
                const Term entryTerm(eventTerm.value() - draw(2));
                tracker.recordReport(endpoint, {eventTerm, position, entryTerm});
                if (eventTerm == term && entryTerm == term)
                    reports.push_back({endpoint, eventTerm, position});
            }
            }
            RC_ASSERT(tracker.durablePosition() >= lastDurable);
            lastDurable = tracker.durablePosition();
            RC_ASSERT(lastDurable == LogPosition()
                      || isHeldByMajority(reports, members, term, lastDurable));
            RC_ASSERT(
                !isHeldByMajority(reports, members, term, LogPosition(lastDurable.value() + 1)));
            takeResults();
        }
    });
    return ok ? 0 : 1;
}
