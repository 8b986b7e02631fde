#include "base/log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <cstdlib>

namespace pistachiowood {

namespace {

constexpr std::array eventTable{
#define PISTACHIOWOOD_EVENT_ROW(name, number, severity, message)                                   \
    EventInfo{#name, number, Severity::severity, message},
    PISTACHIOWOOD_EVENTS(PISTACHIOWOOD_EVENT_ROW)
#undef PISTACHIOWOOD_EVENT_ROW
};

constexpr int disabledLevel = 100; // above every severity
std::atomic<int> minimumLevel{disabledLevel};

std::string escapeValue(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '"' || c == '\\')
            escaped += '\\';
        escaped += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return escaped;
}

std::string formatLine(const EventInfo &info, std::initializer_list<LogField> fields)
{
    std::string line = "PW" + std::to_string(info.number) + " " + std::string(info.message);
    for (const LogField &field : fields)
        line += " " + std::string(field.key) + "=\"" + escapeValue(field.value) + "\"";
    return line;
}

void writeLine(Severity severity, const std::string &line)
{
    switch (severity) {
    case Severity::Debug:
        LOG(DEBUG) << line;
        break;
    case Severity::Info:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
    case Severity::Fatal: // el::Level::Fatal would abort inside the library
        LOG(ERROR) << line;
        break;
    }
}

} // namespace

const EventInfo &describeEvent(Event event)
{
    return eventTable.at(static_cast<std::size_t>(event));
}

std::span<const EventInfo> listEvents()
{
    return eventTable;
}

std::string_view severityName(Severity severity)
{
    static constexpr std::array<std::string_view, 5> names{"debug", "info", "warning", "error",
                                                           "fatal"};
    return names.at(static_cast<std::size_t>(severity));
}

Severity parseSeverity(std::string_view name)
{
    for (const Severity severity :
         {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error, Severity::Fatal}) {
        if (severityName(severity) == name)
            return severity;
    }
    return Severity::Info;
}

std::vector<std::string> listSeverityChoices()
{
    std::vector<std::string> names;
    for (const Severity severity :
         {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error})
        names.emplace_back(severityName(severity));
    return names;
}

void initializeLogging(Severity minimum)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    minimumLevel = static_cast<int>(minimum);
}

void disableLogging()
{
    minimumLevel = disabledLevel;
}

bool isLogged(Event event)
{
    return static_cast<int>(describeEvent(event).severity) >= minimumLevel;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const EventInfo &info = describeEvent(event);
    if (isLogged(event))
        writeLine(info.severity, formatLine(info, fields));
}

void checkInvariant(bool holds, Event event, std::initializer_list<LogField> fields)
{
    if (holds)
        return;
    writeLine(Severity::Fatal, formatLine(describeEvent(event), fields));
    std::abort();
}

} // namespace pistachiowood
