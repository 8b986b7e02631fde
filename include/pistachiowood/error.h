#ifndef PISTACHIOWOOD_ERROR_H
#define PISTACHIOWOOD_ERROR_H

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace pistachiowood {

enum class ErrorCode {
    InvalidArgument, ///< malformed input; the message names the field
    NotFound,
    Conflict, ///< a conditional update lost against another change
    PermissionDenied,
    Unauthenticated,
    TooLarge,
    Unavailable, ///< nothing was executed; a later retry may succeed
    DeadlineExceeded,
    VersionTooOld, ///< the watched version is no longer kept; list the objects and watch again
    HistoryLost, ///< the session has seen commits that a change of primary discarded
    StateStale, ///< the caller has seen a newer term than this daemon knows
    OutcomeUnknown, ///< the statement may or may not have been executed
    Internal,
};

/// Returns the stable snake_case name that APIs return for a code.
std::string_view errorCodeName(ErrorCode code);

/// Error that a Result carries.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

template <typename T>
using Result = boost::leaf::result<T>;

/// Creates an error that a function returning Result can return.
inline boost::leaf::error_id makeError(ErrorCode code, std::string message)
{
    return boost::leaf::new_error(Error{code, std::move(message)});
}

template <typename R>
struct ResultValue;

template <typename T>
struct ResultValue<Result<T>>
{
    using Type = T;
};

/// Runs a function that returns Result<T> and converts its result to std::variant<T, Error>, with
/// std::monostate for void.
template <typename F>
auto capture(F &&function)
{
    using T = typename ResultValue<std::decay_t<decltype(function())>>::Type;
    using Stored = std::conditional_t<std::is_void_v<T>, std::monostate, T>;
    using Outcome = std::variant<Stored, Error>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            if constexpr (std::is_void_v<T>) {
                BOOST_LEAF_CHECK(function());
                return Outcome(std::in_place_index<0>);
            } else {
                BOOST_LEAF_AUTO(value, function());
                return Outcome(std::in_place_index<0>, std::move(value));
            }
        },
        [](const Error &error) { return Outcome(std::in_place_index<1>, error); },
        [] {
            return Outcome(std::in_place_index<1>, Error{ErrorCode::Internal, "unspecified error"});
        });
}

} // namespace pistachiowood

#endif
