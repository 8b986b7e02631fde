#include "writes/write_attempt.h"

#include <rapidcheck.h>

using namespace pistachiowood;

namespace {

/// Draws from the whole range; by itself, inRange grows with the size of the case.
std::uint32_t draw(std::uint32_t bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, bound));
}

} // namespace

int main()
{
    // Guards against a false "not run", a commit without a majority, a second send of a
    // non-idempotent write and an outcome that changes.
    const bool ok = rc::check("outcome follows from what happened, in any order", [] {
        const bool idempotent = *rc::gen::arbitrary<bool>();
        WriteAttempt write(idempotent);
        const Error fault{ErrorCode::Unavailable, "fault"};
        int sends = 0;
        int settledSends = 0; // sends that the endpoint refused
        bool majority = false; // a result of the term and position of the execution
        bool executed = false;
        std::optional<WriteResult> first;
        const auto steps = draw(25);
        for (std::uint32_t i = 0; i < steps; ++i) {
            const auto attempt = write.attempt() - draw(2);
            const bool current = attempt == write.attempt();
            const WriteState before = write.state();
            const bool refusable = current && before == WriteState::Sent;
            switch (draw(14)) { // most events are those that do not end the write
            case 0:
            case 8:
            case 9:
                write.handleSending(attempt);
                sends += before == WriteState::Queued && write.state() == WriteState::Sent;
                break;
            case 1:
                write.handleRefused(attempt, RefusalCode::StaleTerm, fault);
                settledSends += refusable;
                break;
            case 2:
                write.handleLost(attempt, fault);
                break;
            case 3:
                write.handleNotSent(attempt, fault);
                break;
            case 4:
            case 10:
                write.handleExecuted(attempt, Term(3), LogPosition(7), "{}");
                executed = executed || write.state() == WriteState::Executed;
                break;
            case 5:
            case 11: {
                const DurabilityResult result{
                    Ticket(1), draw(2) ? Durability::Durable : static_cast<Durability>(draw(3)),
                    Term(2 + draw(2)), LogPosition(6 + draw(2))};
                majority = majority
                           || (result.durability == Durability::Durable && result.term == Term(3)
                               && result.durable >= LogPosition(7));
                write.handleDurability(result);
                break;
            }
            case 6:
                if (draw(4) == 0)
                    write.handleDeadline();
                break;
            default: {
                const bool refused = *rc::gen::arbitrary<bool>();
                if (write.beginRetry(refused))
                    settledSends += before == WriteState::Sent && refused;
            }
            }
            RC_ASSERT(idempotent || sends <= 1);
            RC_ASSERT(write.result().has_value() == (write.state() == WriteState::Done));
            if (!write.result())
                continue;
            if (!first)
                first = write.result();
            RC_ASSERT(write.result()->outcome == first->outcome);
            if (first->outcome == Outcome::NotRun)
                RC_ASSERT(sends == settledSends && !executed);
            if (first->outcome == Outcome::Unknown)
                RC_ASSERT(sends > 0 && first->error->code == ErrorCode::OutcomeUnknown);
            if (first->outcome == Outcome::Committed)
                RC_ASSERT(majority && executed && !first->error);
            else
                RC_ASSERT(first->error.has_value());
        }
    });
    return ok ? 0 : 1;
}
