#ifndef PISTACHIOWOOD_DAEMON_RUN_TO_EXIT_H
#define PISTACHIOWOOD_DAEMON_RUN_TO_EXIT_H

#include <pistachiowood/error.h>

#include <functional>

namespace pistachiowood {

/// Exit statuses of the daemons.
inline constexpr int exitFailure = 1; ///< a port could not be opened
inline constexpr int exitUsage = 2; ///< a setting is wrong

/// Runs a daemon to its end and returns its exit status; a failure to start is logged.
int runToExit(const std::function<Result<void>()> &run);

} // namespace pistachiowood

#endif
