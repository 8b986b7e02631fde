#include "base/log.h"
#include "daemon/daemon.h"

#include <csignal>
#include <iostream>
#include <thread>

using namespace pistachiowood;

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

int runDaemon(DaemonSettings settings)
{
    initializeLogging(settings.logLevel);
    setAddressOverrides(settings.addressOverrides);
    // A thread of its own waits for the signals, so that no code runs inside a signal handler.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Daemon daemon(std::move(settings));
    std::thread([&daemon, signals] {
        int received = 0;
        sigwait(&signals, &received);
        daemon.shutdown();
    }).detach();
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
