#include "daemon/daemon_settings.h"

#include <array>

namespace pistachiowood {

namespace {

constexpr std::size_t minTokenKeyLength = 16; // shorter keys can be guessed
constexpr std::array<std::string_view, 3> replicaPreferences{"zone", "region", "primary-only"};

template <std::size_t Size>
std::size_t indexOf(const std::array<std::string_view, Size> &names, const std::string &name)
{
    for (std::size_t i = 0; i < Size; ++i) {
        if (names.at(i) == name)
            return i;
    }
    return 0;
}

template <std::size_t Size>
std::vector<std::string> listChoices(const std::array<std::string_view, Size> &names)
{
    return {names.begin(), names.end()};
}

/// Parsed values that are validated or converted before they are stored in DaemonSettings.
struct RawSettings
{
    std::string vm;
    std::string zone;
    std::string region;
    std::string tokenKey;
    std::string previousTokenKey;
    std::string adminCredentials;
    std::string addressOverrides;
    std::string logLevel = "info";
    std::string replicaPreference = "region";
    std::int64_t maxCallers = 8192;
};

void addIdentityAndAddresses(SettingsParser &parser, DaemonSettings &settings, RawSettings &raw)
{
    parser.addText("vm", raw.vm, "id of this VM, unique among all daemons", true);
    parser.addText("zone", raw.zone, "availability zone of this VM", true);
    parser.addText("region", raw.region, "region of this VM", true);
    parser.addAddress("caller-address", settings.traffic.callerAddress,
                      "address for callers (HTTP)", true);
    parser.addAddress("admin-address", settings.control.adminAddress,
                      "address for operators (HTTP)", true);
    parser.addAddress("control-address", settings.control.controlAddress,
                      "address for control messages of other daemons", true);
    parser.addAddress("traffic-address", settings.control.trafficAddress,
                      "address for statements that other daemons forward", true);
    parser.addAddress("platform", settings.control.platform, "address of the platform's object API",
                      true);
    parser.addAddressList("seeds", settings.control.seeds,
                          "control addresses of other daemons to contact at start");
}

void addRuntimeSettings(SettingsParser &parser, DaemonSettings &settings, RawSettings &raw)
{
    ControllerSettings &controller = settings.control.controller;
    parser.addText(
        "token-key", raw.tokenKey,
        "secret that signs session tokens, the same on all daemons, at least 16 characters", true);
    parser.addText("previous-token-key", raw.previousTokenKey,
                   "secret that is still accepted while the key is rotated");
    parser.addText("admin-credentials", raw.adminCredentials,
                   "bearer credentials as token:team:role,...");
    parser.addText(
        "address-overrides", raw.addressOverrides,
        "outgoing connections as address=via,... where an address is reached through another one");
    parser.addChoice("log-level", raw.logLevel, listSeverityChoices(),
                     "lowest severity that is logged");
    parser.addChoice("replica-preference", raw.replicaPreference, listChoices(replicaPreferences),
                     "how far a read travels to reach a replica");
    parser.addInteger("max-callers", raw.maxCallers, 1, 16000, "connections",
                      "caller connections that are accepted");
    parser.addDuration("default-deadline-ms", settings.traffic.callers.defaultDeadline,
                       Milliseconds(1), Milliseconds(60000),
                       "deadline of statements that state none");
    parser.addDuration("drain-limit-ms", settings.drainLimit, Milliseconds(0), Milliseconds(600000),
                       "longest wait for running requests at shutdown");
    parser.addDuration("probe-interval-ms", controller.probeInterval, Milliseconds(50),
                       Milliseconds(10000), "time between status probes of an endpoint");
    parser.addDuration("suspicion-ms", controller.detector.suspicionTimeout, Milliseconds(200),
                       Milliseconds(10000),
                       "time without a good answer until a primary is suspected");
    parser.addDuration("contact-limit-ms", controller.detector.contactLimit, Milliseconds(200),
                       Milliseconds(10000),
                       "time after which a replica counts as having lost its primary");
}

Result<void> validateAndApply(const RawSettings &raw, DaemonSettings &settings)
{
    if (raw.tokenKey.size() < minTokenKeyLength)
        return makeError(ErrorCode::InvalidArgument,
                         "setting --token-key must have at least 16 characters");
    BOOST_LEAF_ASSIGN(settings.adminCredentials, CredentialList::parse(raw.adminCredentials));
    // Daemons of rank 1 and above probe half as often; with a longer interval they would suspect
    // healthy primaries.
    const ControllerSettings &controller = settings.control.controller;
    if (controller.standbyProbeFactor * controller.probeInterval
        >= controller.detector.suspicionTimeout)
        return makeError(ErrorCode::InvalidArgument,
                         "setting --probe-interval-ms must be less than half of --suspicion-ms");
    const bool isLoopback = settings.control.adminAddress.host.starts_with("127.");
    if (settings.adminCredentials.empty() && !isLoopback)
        return makeError(
            ErrorCode::InvalidArgument,
            "setting --admin-credentials is required unless --admin-address is a loopback address");
    BOOST_LEAF_ASSIGN(settings.addressOverrides, parseAddressOverrides(raw.addressOverrides));
    settings.control.vm = VmId(raw.vm);
    settings.control.zone = ZoneName(raw.zone);
    settings.control.region = RegionName(raw.region);
    settings.traffic.vm = settings.control.vm;
    settings.traffic.locality = {settings.control.zone, settings.control.region};
    settings.traffic.trafficAddress = settings.control.trafficAddress;
    settings.traffic.tokenKey = raw.tokenKey;
    if (!raw.previousTokenKey.empty())
        settings.traffic.previousTokenKey = raw.previousTokenKey;
    settings.traffic.maxCallers = static_cast<std::size_t>(raw.maxCallers);
    settings.traffic.router.reads.preference =
        static_cast<ReplicaPreference>(indexOf(replicaPreferences, raw.replicaPreference));
    settings.logLevel = parseSeverity(raw.logLevel);
    settings.control.controller.preferredZone = ZoneName();
    return {};
}

} // namespace

Result<DaemonSettings> parseDaemonSettings(int argc, const char *const *argv,
                                           const SettingsParser::Environment &environment)
{
    DaemonSettings settings;
    RawSettings raw;
    SettingsParser parser("pistachiowoodd", "database proxy with session consistency");
    addIdentityAndAddresses(parser, settings, raw);
    addRuntimeSettings(parser, settings, raw);
    BOOST_LEAF_CHECK(parser.parse(argc, argv, environment));
    settings.helpRequested = parser.helpRequested();
    settings.helpText = parser.helpText();
    if (!settings.helpRequested) {
        BOOST_LEAF_CHECK(validateAndApply(raw, settings));
    }
    return settings;
}

} // namespace pistachiowood
