#ifndef PISTACHIOWOOD_DAEMON_DAEMON_SETTINGS_H
#define PISTACHIOWOOD_DAEMON_DAEMON_SETTINGS_H

#include "administration/credentials.h"
#include "base/log.h"
#include "base/settings.h"
#include "daemon/control_plane.h"
#include "daemon/traffic_plane.h"
#include "net/address_overrides.h"

namespace pistachiowood {

struct DaemonSettings
{
    ControlSettings control;
    TrafficSettings traffic;
    Milliseconds drainLimit{30000};
    AddressOverrides addressOverrides;
    CredentialList adminCredentials;
    Severity logLevel = Severity::Info;
    bool helpRequested = false;
    std::string helpText;
};

/// Reads flags and environment variables; the error names the setting and its allowed values.
Result<DaemonSettings> parseDaemonSettings(int argc, const char *const *argv,
                                           const SettingsParser::Environment &environment);

} // namespace pistachiowood

#endif
