#include "gateway/position_wait.h"

#include <utility>

namespace pistachiowood {

namespace {

// Longest wait; after it the reads go to the primary themselves. A query takes a handshake and one
// exchange.
constexpr Milliseconds positionTimeout{300};

} // namespace

PositionWait::Step PositionWait::nextStep(bool positionKnown, bool primaryUsable, TimePoint now)
{
    if (positionKnown || !primaryUsable)
        return Step::Proceed;
    if (!askedAt_) {
        askedAt_ = now;
        return Step::AskPrimary;
    }
    return now - *askedAt_ < positionTimeout ? Step::Wait : Step::Proceed;
}

bool PositionWait::finish()
{
    return std::exchange(askedAt_, std::nullopt).has_value();
}

} // namespace pistachiowood
