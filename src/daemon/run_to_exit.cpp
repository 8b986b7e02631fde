#include "daemon/run_to_exit.h"

#include "base/log.h"

namespace pistachiowood {

int runToExit(const std::function<Result<void>()> &run)
{
    const auto outcome = capture(run);
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logEvent(Event::ListenFailed, {{"reason", error->message}});
        return exitFailure;
    }
    return 0;
}

} // namespace pistachiowood
