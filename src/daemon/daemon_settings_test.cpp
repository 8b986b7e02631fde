#include "daemon/daemon_settings.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(DaemonSettings){
    // Parses the required settings with further flags; returns the error, or "" on success.
    static std::string parse(const std::vector<const char *> &further){
        std::vector<const char *> arguments{
            "pistachiowoodd",
            "--vm=vm1",
            "--zone=z",
            "--region=r",
            "--caller-address=127.0.0.1:1",
            "--control-address=127.0.0.1:3",
            "--traffic-address=127.0.0.1:4",
            "--platform=127.0.0.1:5",
            "--token-key=0123456789abcdef",
        };
arguments.insert(arguments.end(), further.begin(), further.end());
const auto outcome = capture([&] {
    return parseDaemonSettings(static_cast<int>(arguments.size()), arguments.data(),
                               [](const std::string &) { return std::optional<std::string>(); });
});
return std::holds_alternative<Error>(outcome) ? std::get<Error>(outcome).message : "";
}
}
;

// Guards against a daemon that does not start with the required settings alone.
TEST(DaemonSettings, validSettingsAreAccepted)
{
    STRCMP_EQUAL("", parse({"--admin-address=127.0.0.1:2"}).c_str());
}

// Guards against an administration port that is open to the network without authentication.
TEST(DaemonSettings, credentialsAreRequiredOffLoopback)
{
    CHECK_TRUE(parse({"--admin-address=10.0.0.1:2"}).find("--admin-credentials")
               != std::string::npos);
    STRCMP_EQUAL(
        "", parse({"--admin-address=10.0.0.1:2", "--admin-credentials=secret:*:admin"}).c_str());
}

// Guards against a probe interval so long that healthy primaries are suspected between two probes.
TEST(DaemonSettings, probesMustBeMoreFrequentThanSuspicion)
{
    const std::string message = parse({"--admin-address=127.0.0.1:2", "--probe-interval-ms=1000"});
    CHECK_TRUE(message.find("--probe-interval-ms") != std::string::npos);
}

// Guards against session tokens that can be forged by guessing the key.
TEST(DaemonSettings, shortTokenKeysAreRefused)
{
    const std::string message = parse({"--admin-address=127.0.0.1:2", "--token-key=short"});
    CHECK_TRUE(message.find("--token-key") != std::string::npos);
}
