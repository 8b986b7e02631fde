#include "base/log.h"
#include "base/settings.h"
#include "burnreport/fetcher.h"

#include <fstream>
#include <iostream>

using namespace pistachiowood;
using namespace pistachiowood::burnreport;

namespace {

constexpr int exitUsage = 2;

std::string render(const BurnReport &report, const std::string &format)
{
    if (format == "json")
        return renderJson(report);
    if (format == "html")
        return renderHtml(report);
    return renderTable(report);
}

int fail(const std::string &reason)
{
    logEvent(Event::SettingsInvalid, {{"reason", reason}});
    return exitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    initializeLogging(Severity::Warning);
    FetchOptions options;
    std::string format = "table";
    std::string file;
    SettingsParser settings("burnreport", "Merges the metrics of daemons into a burn report.");
    settings.addAddressList("daemons", options.daemons, "administration ports of the daemons");
    settings.addDuration("timeout-ms", options.timeout, Milliseconds(10), Milliseconds(60000),
                         "time limit per daemon");
    settings.addText("token", options.token, "bearer credential for the daemons");
    settings.addChoice("output", format, {"table", "json", "html"}, "format of the report");
    settings.addText("out", file, "file to write; standard output if absent");
    const auto parsed =
        capture([&] { return settings.parse(argc, argv, &SettingsParser::processEnvironment); });
    if (const auto *error = std::get_if<Error>(&parsed))
        return fail(error->message);
    if (settings.helpRequested()) {
        std::cout << settings.helpText()
                  << "\nExit codes: 0 within objectives, 1 an alarm fires, 2 invalid settings, "
                     "3 a daemon is missing.\n";
        return 0;
    }
    if (options.daemons.empty())
        return fail("--daemons must name at least one daemon");

    const BurnReport report = makeBurnReport(fetchSnapshots(options));
    const std::string text = render(report, format);
    if (file.empty()) {
        std::cout << text << std::flush;
    } else {
        std::ofstream stream(file, std::ios::binary);
        stream << text << std::flush;
        if (!stream)
            return fail("cannot write " + file);
    }
    return exitCodeOf(report);
}
