#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/run_to_exit.h"
#include "daemon/signals.h"

#include <iostream>

using namespace pistachiowood;

namespace {

int runDaemon(DaemonSettings settings)
{
    initializeLogging(settings.logLevel);
    setAddressOverrides(settings.addressOverrides);
    const sigset_t signals = blockSignals({SIGTERM, SIGINT});
    Daemon daemon(std::move(settings));
    watchSignals(signals, [&daemon](int) {
        daemon.shutdown();
        return false;
    });
    return runToExit([&] { return daemon.run(); });
}

} // namespace

int main(int argc, char **argv)
{
    const auto parsed = capture(
        [&] { return parseDaemonSettings(argc, argv, SettingsParser::processEnvironment); });
    if (const auto *error = std::get_if<Error>(&parsed)) {
        std::cerr << "pistachiowoodd: " << error->message << "\n";
        return exitUsage;
    }
    const auto &settings = std::get<DaemonSettings>(parsed);
    if (settings.helpRequested) {
        std::cout << settings.helpText;
        return 0;
    }
    return runDaemon(settings);
}
