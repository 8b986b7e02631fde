#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/signals.h"

#include <iostream>

using namespace pistachiowood;

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

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
    const auto outcome = capture([&] { return daemon.run(); });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logEvent(Event::ListenFailed, {{"reason", error->message}});
        return exitFailure;
    }
    return 0;
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
