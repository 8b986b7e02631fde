#ifndef PISTACHIOWOOD_BASE_RANDOM_H
#define PISTACHIOWOOD_BASE_RANDOM_H

#include <pistachiowood/clock.h>

#include <cstdint>
#include <random>

namespace pistachiowood {

/// Random number generator of the decision logic; tests pass a seeded one.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;

    /// Returns a number in [0, bound); bound must not be 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// Returns a random delay of whole milliseconds in [0, bound].
    Milliseconds delayUpTo(Milliseconds bound)
    {
        return Milliseconds(below(static_cast<std::uint64_t>(bound.count()) + 1));
    }

    /// Returns a random delay in [time / 2, time * 3 / 2]; keeps daemons from acting at once.
    Milliseconds delayAround(Milliseconds time) { return time / 2 + delayUpTo(time); }
};

/// Mersenne twister with an explicit seed.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine_(seed)
    {
    }
    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

/// Returns a seed from the operating system, which differs between daemons.
inline std::uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace pistachiowood

#endif
