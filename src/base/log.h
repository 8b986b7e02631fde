#ifndef PISTACHIOWOOD_BASE_LOG_H
#define PISTACHIOWOOD_BASE_LOG_H

#include "base/log_events.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// One key=value pair of a log line.
struct LogField
{
    LogField(std::string_view fieldKey, std::string_view text)
        : key(fieldKey)
        , value(text)
    {
    }
    LogField(std::string_view fieldKey, const char *text)
        : key(fieldKey)
        , value(text)
    {
    }
    template <std::integral T>
    LogField(std::string_view fieldKey, T number)
        : key(fieldKey)
        , value(std::to_string(number))
    {
    }

    std::string_view key;
    std::string value;
};

/// Starts logging to standard error; events below the severity are dropped.
void initializeLogging(Severity minimum);
/// Parses a name that severityName() returns; any other name gives Info.
Severity parseSeverity(std::string_view name);
/// Names of the severities that can be set as the minimum.
std::vector<std::string> listSeverityChoices();
/// Drops every event. For tests.
void disableLogging();

/// Whether the event would be written. Avoids formatting the fields of frequent, dropped events.
bool isLogged(Event event);

/// Writes one line: time, severity, event number, message, key="value" pairs.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

/// Logs the event and aborts the process if the condition does not hold.
void checkInvariant(bool holds, Event event, std::initializer_list<LogField> fields = {});

} // namespace pistachiowood

#endif
