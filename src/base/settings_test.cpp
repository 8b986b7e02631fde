#include "base/settings.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

TEST_GROUP(Settings)
{
    std::int64_t threads = 4;
    SocketAddress address;
    std::map<std::string, std::string> environment;

    // Returns the error message, empty on success.
    std::string parse(std::vector<const char *> arguments)
    {
        SettingsParser parser("test", "test program");
        parser.addInteger("threads", threads, 1, 8, "", "worker threads");
        parser.addAddress("listen", address, "address to listen on");
        arguments.insert(arguments.begin(), "test");
        const auto outcome = capture([&] {
            return parser.parse(
                static_cast<int>(arguments.size()), arguments.data(), [&](const std::string &name) {
                    const auto found = environment.find(name);
                    return found == environment.end() ? std::nullopt : std::optional(found->second);
                });
        });
        return std::holds_alternative<Error>(outcome) ? std::get<Error>(outcome).message : "";
    }
};

// Guards against an environment variable that overrides an explicit flag.
TEST(Settings, flagOverridesEnvironment)
{
    environment["PISTACHIOWOOD_THREADS"] = "2";
    CHECK_TRUE(parse({}).empty());
    CHECK_EQUAL(2, threads);
    CHECK_TRUE(parse({"--threads=7"}).empty());
    CHECK_EQUAL(7, threads);
}

// Guards against a start with an invalid value, and against an error that does not name the
// setting.
TEST(Settings, invalidValuesNameTheSettingAndTheRange)
{
    const std::string message = parse({"--threads=9"});
    CHECK_TRUE(message.find("--threads") != std::string::npos);
    CHECK_TRUE(message.find("1 to 8") != std::string::npos);
    CHECK_FALSE(parse({"--listen=localhost:1"}).empty());
    CHECK_FALSE(parse({"--listen=127.0.0.1:70000"}).empty());
    CHECK_FALSE(parse({"--unknown=1"}).empty());
    CHECK_FALSE(parse({"stray"}).empty());
}
