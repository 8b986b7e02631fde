#ifndef PISTACHIOWOOD_BASE_RANDOM_H
#define PISTACHIOWOOD_BASE_RANDOM_H

#include <pistachiowood/clock.h>

#include <cstdint>
#include <random>

namespace pistachiowood {

/// Source of randomness for decision logic; tests pass a seeded one.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;

    /// Returns a number in [0, bound); bound must not be 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// Returns whole milliseconds in [0, bound].
    Milliseconds delayUpTo(Milliseconds bound)
    {
        return Milliseconds(below(static_cast<std::uint64_t>(bound.count()) + 1));
    }

    /// Returns half of the time to one and a half of it, so that daemons do not act together.
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

/// Seed from the operating system, for a daemon's own random source.
inline std::uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace pistachiowood

#endif
