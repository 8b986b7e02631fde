#ifndef PISTACHIOWOOD_DAEMON_RUN_TO_EXIT_H
#define PISTACHIOWOOD_DAEMON_RUN_TO_EXIT_H

#include <pistachiowood/error.h>

#include <functional>

namespace pistachiowood {

/// Exit statuses of the daemons.
inline constexpr int exitFailure = 1; ///< the daemon could not listen on an address
inline constexpr int exitUsage = 2; ///< a setting is invalid

/// Runs a daemon until it stops and returns its exit status; logs the error of a failed start.
int runToExit(const std::function<Result<void>()> &run);

} // namespace pistachiowood

#endif
