#include "base/log.h"
#include "base/settings.h"
#include "pistachioctl/session.h"

#include <iostream>
#include <thread>

using namespace pistachiowood;
using namespace pistachiowood::ctl;

int main(int argc, char *argv[])
{
    disableLogging();
    const auto parsed =
        capture([&] { return parseCommandLine(argc, argv, &SettingsParser::processEnvironment); });
    if (const auto *error = std::get_if<Error>(&parsed)) {
        std::cerr << "error: " << error->message << "\nSee pistachioctl --help.\n";
        return static_cast<int>(ExitCode::Usage);
    }
    const auto &line = std::get<CommandLine>(parsed);
    ApiClient client(line.server, line.token);
    const SteadyClock clock;
    Session session(line, {.call =
                               [&client](HttpRequest request, Milliseconds timeout) {
                                   return client.call(std::move(request), timeout);
                               },
                           .sleep = [](Milliseconds time) { std::this_thread::sleep_for(time); },
                           .clock = clock,
                           .input = std::cin,
                           .output = std::cout,
                           .errors = std::cerr});
    return static_cast<int>(session.run());
}
