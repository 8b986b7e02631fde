#ifndef PISTACHIOWOOD_STRONG_VALUE_H
#define PISTACHIOWOOD_STRONG_VALUE_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace pistachiowood {

/// Wraps a plain value in a type of its own, so that ids and units of different kinds do not mix.
template <typename Tag, typename T>
class StrongValue
{
public:
    using ValueType = T;

    constexpr StrongValue() = default;
    constexpr explicit StrongValue(T value)
        : value_(std::move(value))
    {
    }

    constexpr const T &value() const { return value_; }

    friend constexpr bool operator==(const StrongValue &, const StrongValue &) = default;
    // Not defaulted: clang-tidy's modernize-use-nullptr reports the 0 in the generated body.
    friend constexpr auto operator<=>(const StrongValue &left, const StrongValue &right)
    {
        return left.value_ <=> right.value_;
    }

private:
    T value_{};
};

} // namespace pistachiowood

template <typename Tag, typename T>
struct std::hash<pistachiowood::StrongValue<Tag, T>>
{
    std::size_t operator()(const pistachiowood::StrongValue<Tag, T> &wrapped) const noexcept
    {
        return std::hash<T>{}(wrapped.value());
    }
};

#endif
