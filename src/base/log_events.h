#ifndef PISTACHIOWOOD_BASE_LOG_EVENTS_H
#define PISTACHIOWOOD_BASE_LOG_EVENTS_H

#include <span>
#include <string_view>

namespace pistachiowood {

enum class Severity { Debug, Info, Warning, Error, Fatal };

// One line per event: name, number, severity, message. Ranges: 1000 process, 1100 network,
// 1200 sessions and routing, 1300 pools, 1400 writes, 1500 primary, 1600 membership,
// 1700 configuration, 1800 administration, 1900 broken invariants, 2000 stand-ins and tools.
// docs/events.md holds the same table; a test compares them.
#define PISTACHIOWOOD_EVENTS(EVENT)                                                                \
    EVENT(DaemonStarted, 1000, Info, "daemon started")                                             \
    EVENT(DaemonDraining, 1001, Info, "daemon is draining; new work is refused")                   \
    EVENT(DaemonStopped, 1002, Info, "daemon stopped")                                             \
    EVENT(SettingsInvalid, 1003, Error, "settings are invalid")                                    \
    EVENT(ListenFailed, 1100, Error, "cannot listen on address")                                   \
    EVENT(InvariantBroken, 1900, Fatal, "invariant broken")                                        \
    EVENT(DatabaseStarted, 2010, Info, "database stand-in started")                                \
    EVENT(DatabasePromoted, 2011, Info, "database stand-in is the primary of a term")              \
    EVENT(DatabaseFollows, 2012, Info, "database stand-in follows a primary")

enum class Event {
#define PISTACHIOWOOD_EVENT_NAME(name, number, severity, message) name,
    PISTACHIOWOOD_EVENTS(PISTACHIOWOOD_EVENT_NAME)
#undef PISTACHIOWOOD_EVENT_NAME
};

/// Catalogue entry of one event.
struct EventInfo
{
    std::string_view name;
    unsigned number;
    Severity severity;
    std::string_view message;
};

const EventInfo &describeEvent(Event event);
std::span<const EventInfo> listEvents();
std::string_view severityName(Severity severity);

} // namespace pistachiowood

#endif
