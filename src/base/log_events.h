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
#define PISTACHIOWOOD_EVENTS(EVENT)                                                                        \
    EVENT(DaemonStarted, 1000, Info, "daemon started")                                                     \
    EVENT(DaemonDraining, 1001, Info, "daemon is draining; new work is refused")                           \
    EVENT(DaemonStopped, 1002, Info, "daemon stopped")                                                     \
    EVENT(SettingsInvalid, 1003, Error, "settings are invalid")                                            \
    EVENT(SettingsReloaded, 1004, Info, "settings file read again")                                        \
    EVENT(ListenFailed, 1100, Error, "cannot listen on address")                                           \
    EVENT(TaskFailed, 1101, Error, "unexpected error in a task or a connection, which was ended")          \
    EVENT(AcceptFailed, 1102, Warning, "connection of a peer could not be accepted; trying again")         \
    EVENT(AcceptPaused, 1103, Warning, "no descriptor or memory is free; accepting pauses")                \
    EVENT(ClientPressure, 1104, Warning, "clients hold more than three quarters of their memory")          \
    EVENT(ClientsCounted, 1105, Warning, "clients refused and closed by reason")                           \
    EVENT(StatementFailed, 1200, Debug, "statement failed")                                                \
    EVENT(ClientClosed, 1201, Info, "client closed or refused because of a limit")                         \
    EVENT(SessionRefused, 1205, Info, "session of a caller refused")                                       \
    EVENT(SessionsRefused, 1206, Info, "sessions refused since the start, by reason")                      \
    EVENT(SessionsWithdrawn, 1207, Info,                                                                   \
          "sessions end because a new configuration no longer entitles them")                              \
    EVENT(StatementsAbandoned, 1208, Info,                                                                 \
          "grace period ends; running statements are answered with what is known of them")                 \
    EVENT(AllotmentCoordinator, 1210, Info,                                                                \
          "this daemon starts or stops to divide the limits of a group of customers")                      \
    EVENT(AllotmentCoordinatorLost, 1211, Warning,                                                         \
          "coordinator of limits does not answer; a successor is asked")                                   \
    EVENT(AllotmentCounted, 1212, Info,                                                                    \
          "operations of a limited customer since the last such event")                                    \
    EVENT(OperationRefused, 1213, Info, "operation refused at the limit of its customer")                  \
    EVENT(ConnectFailed, 1300, Debug, "connect to endpoint failed")                                        \
    EVENT(EndpointUnreachable, 1301, Warning, "endpoint is unreachable; its work is refused")              \
    EVENT(EndpointReachable, 1302, Info, "endpoint is reachable again")                                    \
    EVENT(TransactionClosed, 1303, Info, "transaction closed by the pool")                                 \
    EVENT(PoolState, 1304, Debug, "state of the connections to an endpoint")                               \
    EVENT(RegistrationMissing, 1305, Warning,                                                              \
          "registration of an endpoint is gone; it stays in use for a moment")                             \
    EVENT(RegistrationReturned, 1306, Info, "endpoint has registered again")                               \
    EVENT(EndpointDropped, 1307, Info, "endpoint is no longer registered and not used any more")           \
    EVENT(EndpointRestarted, 1308, Info, "endpoint has started again under its id")                        \
    EVENT(PrimarySuspected, 1500, Warning, "primary is suspected")                                         \
    EVENT(PrimarySuspicionCleared, 1501, Info, "primary is no longer suspected")                           \
    EVENT(PrimaryFailed, 1502, Warning, "primary counts as failed")                                        \
    EVENT(PromotionStarted, 1503, Info, "promotion started")                                               \
    EVENT(PromotionStepFailed, 1504, Warning, "promotion gave up in a step")                               \
    EVENT(PromotionCompleted, 1505, Info, "promotion completed")                                           \
    EVENT(PromotionAbandoned, 1506, Info, "promotion abandoned")                                           \
    EVENT(SwitchoverDue, 1507, Info, "planned switchover is due")                                          \
    EVENT(SwitchoverStarted, 1508, Info, "planned switchover started; admission stops")                    \
    EVENT(SwitchoverTimedOut, 1509, Warning, "planned switchover timed out; admission resumes")            \
    EVENT(PrimaryAdopted, 1510, Info, "primary of a newer term adopted from probes")                       \
    EVENT(PromotionHeldDown, 1511, Info, "promotion waits for the hold-down")                              \
    EVENT(StatusPublishFailed, 1512, Warning,                                                              \
          "service status could not be published; trying again")                                           \
    EVENT(ReplacementStep, 1513, Info, "step of a replacement of a primary")                               \
    EVENT(EndpointSurveyed, 1514, Info, "status of an endpoint in a replacement")                          \
    EVENT(PrimaryRecorded, 1515, Info, "primary of a service as the store records it")                     \
    EVENT(PromotionOrdered, 1516, Info, "promotion ordered from the platform")                             \
    EVENT(PermissionLapsed, 1517, Warning, "permission to use primaries ran out")                          \
    EVENT(PermissionRenewed, 1518, Info, "permission to use primaries is back")                            \
    EVENT(RecordsRecovered, 1519, Info, "records of the store's era are complete")                         \
    EVENT(PrimaryWithheld, 1520, Warning, "replacement waits before it chooses a primary")                 \
    EVENT(OlderTermPromoted, 1521, Warning,                                                                \
          "no holder of the newest term came back; a log of an older term is promoted")                    \
    EVENT(PrimaryPositionKnown, 1522, Info,                                                                \
          "first log position of a primary in its epoch is known")                                         \
    EVENT(EarlyPositionIgnored, 1523, Info,                                                                \
          "log position in a reply to a request from before the primary's epoch is ignored")               \
    EVENT(MemberAlive, 1600, Info, "member is alive")                                                      \
    EVENT(MemberSuspected, 1601, Warning, "member does not answer and is suspected")                       \
    EVENT(MemberDead, 1602, Warning, "member is considered dead")                                          \
    EVENT(MemberLeaving, 1603, Info, "member is leaving")                                                  \
    EVENT(MemberRefuted, 1604, Info, "this daemon refuted a report that it had failed")                    \
    EVENT(MembershipMessageRefused, 1605, Warning, "membership message refused")                           \
    EVENT(LinkTrafficCounted, 1606, Info,                                                                  \
          "bytes between daemons and from the store since the last such event")                            \
    EVENT(PeerAnswersLate, 1607, Warning,                                                                  \
          "most answers of peers arrive late; exchanges and copies are slowed down")                       \
    EVENT(PeerAnswersInTime, 1608, Info, "answers of peers arrive in time again")                          \
    EVENT(ConfigurationApplied, 1700, Info, "configuration applied")                                       \
    EVENT(ConfigurationRefused, 1701, Warning, "older configuration refused")                              \
    EVENT(ObjectInvalid, 1702, Error, "object is invalid; the previous version stays in force")            \
    EVENT(ObjectRefused, 1703, Debug, "older version of an object refused")                                \
    EVENT(PlatformUnavailable, 1704, Warning,                                                              \
          "platform does not answer; last known configuration stays in force")                             \
    EVENT(PlatformRecovered, 1705, Info, "platform answers again")                                         \
    EVENT(ConfigurationRelisted, 1706, Info, "watch position is too old; listing again")                   \
    EVENT(ConfigurationFromPeer, 1707, Info, "configuration taken from a peer")                            \
    EVENT(ChangeUndetermined, 1708, Warning, "result of a configuration change is not known")              \
    EVENT(StoreRestored, 1709, Warning,                                                                    \
          "platform's store came back from an older copy of its state")                                    \
    EVENT(ListOutdated, 1710, Warning,                                                                     \
          "list of the store is older than the local copy and was ignored")                                \
    EVENT(PeerCopyApplied, 1711, Debug, "copy from a peer applied")                                        \
    EVENT(StoreCallsCounted, 1712, Info,                                                                   \
          "calls to the platform's store since the last such event")                                       \
    EVENT(EntryRefused, 1713, Warning, "entry in the store cannot be read; it is left out")                \
    EVENT(                                                                                                 \
        AdministrationOpen, 1800, Warning,                                                                 \
        "no administration credentials are configured; every request is allowed; listen on loopback only") \
    EVENT(ChangeAccepted, 1801, Info, "configuration change accepted")                                     \
    EVENT(AdministrationDenied, 1802, Warning, "administration request denied")                            \
    EVENT(DaemonDrainRequested, 1803, Info, "drain of this daemon requested by an operator")               \
    EVENT(InvariantBroken, 1900, Fatal, "invariant broken")                                                \
    EVENT(DatabaseStarted, 2010, Info, "database stand-in started")                                        \
    EVENT(DatabasePromoted, 2011, Info, "database stand-in is the primary of a term")                      \
    EVENT(DatabaseFollows, 2012, Info, "database stand-in follows a primary")

enum class Event {
#define PISTACHIOWOOD_EVENT_NAME(name, number, severity, message) name,
    PISTACHIOWOOD_EVENTS(PISTACHIOWOOD_EVENT_NAME)
#undef PISTACHIOWOOD_EVENT_NAME
};

/// Catalogue entry of an event.
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
