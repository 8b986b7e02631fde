#include "pistachioctl/session.h"

#include "base/json.h"
#include "base/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <istream>
#include <iterator>
#include <ostream>
#include <sstream>

namespace pistachiowood::ctl {

namespace json = boost::json;

namespace {

constexpr Milliseconds pollInterval{200};
constexpr Milliseconds pollTimeout{3000};
constexpr std::size_t helpColumn = 44;

/// Short names that commands accept for kinds.
struct KindAlias
{
    std::string_view alias;
    std::string_view kind;
};
constexpr std::array<KindAlias, 5> kindAliases{{
    {"service", "DatabaseService"},
    {"endpoint", "Endpoint"},
    {"proxy", "Proxy"},
    {"team", "Team"},
    {"status", "ServiceStatus"},
}};

std::string resolveKind(const std::string &text)
{
    for (const KindAlias &entry : kindAliases) {
        if (entry.alias == text)
            return std::string(entry.kind);
    }
    return text;
}

ExitCode exitCodeOf(unsigned status)
{
    switch (status) {
    case 401:
    case 403:
        return ExitCode::Permission;
    case 409:
        return ExitCode::Conflict;
    case 503:
    case 504:
        return ExitCode::Unreachable;
    default:
        return status < 300 ? ExitCode::Ok : ExitCode::Refused;
    }
}

std::string errorMessage(const json::object &body)
{
    const auto *error = body.if_contains("error");
    const auto *message =
        error && error->is_object() ? error->get_object().if_contains("message") : nullptr;
    std::string text = message && message->is_string() ? std::string(message->get_string())
                                                       : std::string("the request failed");
    if (const auto *current = body.if_contains("current_version"))
        text += " (current version " + json::serialize(*current) + ")";
    return text;
}

} // namespace

std::span<const Session::Command> Session::commands()
{
    using S = Session;
    static constexpr std::size_t many = 64;
    static constexpr std::array<Command, 14> table{{
        {"get", "KIND NAME", "show one object", 2, 2, &S::getObject},
        {"list", "KIND", "show all objects of a kind", 1, 1, &S::listObjects},
        {"put", "KIND NAME FILE|-", "create or replace an object", 3, 3, &S::putObject},
        {"diff", "KIND NAME FILE|-", "show what put would change", 3, 3, &S::diffObject},
        {"patch", "KIND NAME FILE|-|JSON", "change some fields; null resets a field", 3, 3,
         &S::patchObject},
        {"label", "KIND NAME KEY=VALUE...", "set labels, and remove those of --remove", 2, many,
         &S::changeLabels},
        {"delete", "KIND NAME", "delete an object", 2, 2, &S::deleteObject},
        {"drain", "endpoint NAME | daemon", "stop new work on an endpoint or this daemon", 1, 2,
         &S::drain},
        {"undrain", "endpoint NAME", "allow work on an endpoint again", 2, 2, &S::undrain},
        {"status", "", "show daemons, services and endpoints", 0, 0, &S::showStatus},
        {"wait", "--in-force VERSION", "wait until all daemons apply a version", 0, 0,
         &S::waitInForce},
        {"history", "KIND NAME", "show versions that the daemon has applied", 2, 2,
         &S::showHistory},
        {"explain", "SERVICE", "show which endpoints a read would try", 1, 1, &S::explainRead},
        {"completion", "bash", "print a completion script", 1, 1, &S::printCompletion},
    }};
    return table;
}

Session::Session(CommandLine line, Surroundings surroundings)
    : line_(std::move(line))
    , surroundings_(std::move(surroundings))
{
}

ExitCode Session::run()
{
    if (line_.help) {
        surroundings_.output << helpText();
        return ExitCode::Ok;
    }
    if (line_.arguments.empty())
        return failUsage("a command is required");
    const auto table = commands();
    const auto command = std::find_if(table.begin(), table.end(), [&](const Command &entry) {
        return entry.name == line_.arguments.front();
    });
    if (command == table.end())
        return failUsage("unknown command \"" + line_.arguments.front() + "\"");
    const Arguments arguments(line_.arguments.begin() + 1, line_.arguments.end());
    if (arguments.size() < command->minimum || arguments.size() > command->maximum)
        return failUsage("usage: pistachioctl " + std::string(command->name) + " "
                         + std::string(command->arguments));
    return (this->*command->run)(arguments);
}

std::string Session::helpText() const
{
    std::ostringstream text;
    text << "pistachioctl: command-line client for operators\n\n"
            "usage: pistachioctl [flags] command [arguments]\n\ncommands:\n";
    for (const Command &command : commands()) {
        const std::string usage = std::string(command.name) + " " + std::string(command.arguments);
        text << "  " << std::left << std::setw(helpColumn) << usage << command.help << '\n';
    }
    text << "\nkinds: service (DatabaseService), endpoint (Endpoint), proxy (Proxy), team (Team), "
            "status (ServiceStatus, read only)\n\nflags:\n"
         << flagHelp()
         << "\nexit codes:\n"
            "  0  done, or in force\n"
            "  1  refused, not found, or not in force\n"
            "  2  usage error\n"
            "  3  no definite answer: the daemon or the platform cannot be reached; the message "
            "tells\n     whether a change may have been made\n"
            "  4  conflict: another change came first\n"
            "  5  the credential is missing, unknown or not allowed to do this\n";
    return text.str();
}

ExitCode Session::failUsage(const std::string &message)
{
    surroundings_.errors << "error: " << message << "\nSee pistachioctl --help.\n";
    return ExitCode::Usage;
}

ExitCode Session::report(const HttpOutcome &outcome, bool isChange, Renderer render)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        surroundings_.errors << "error: no answer from the daemon at "
                             << formatAddress(line_.server) << ": " << failure->message << '\n';
        if (isChange)
            surroundings_.errors << (failure->requestSent
                                         ? "The change may have been made; read the object again.\n"
                                         : "The change was not made.\n");
        return ExitCode::Unreachable;
    }
    const auto &response = std::get<HttpResponse>(outcome);
    const auto parsed = capture([&] { return parseJsonObject(response.body); });
    const auto *body = std::get_if<json::object>(&parsed);
    const ExitCode code = exitCodeOf(response.status);
    if (line_.json && body)
        surroundings_.output << response.body << '\n';
    if (!body) {
        surroundings_.errors << "error: the server's answer is not a JSON object\n";
        return code == ExitCode::Ok ? ExitCode::Unreachable : code;
    }
    if (code != ExitCode::Ok)
        surroundings_.errors << "error: " << errorMessage(*body) << '\n';
    else if (!line_.json)
        render(*body, surroundings_.output);
    return code;
}

ExitCode Session::exchange(HttpRequest request, Renderer render)
{
    const bool isChange = request.method != "GET";
    return report(surroundings_.call(std::move(request), line_.timeout), isChange, render);
}

ExitCode Session::sendChange(const std::string &method, const std::vector<std::string> &segments,
                             std::string body)
{
    QueryParameters query;
    if (line_.expectedVersion)
        query.emplace_back("expected_version", std::to_string(*line_.expectedVersion));
    if (line_.dryRun)
        query.emplace_back("dry_run", "1");
    return exchange(
        {.method = method, .target = makeTarget(segments, query), .body = std::move(body)},
        &renderChange);
}

Result<std::string> Session::readSource(const std::string &source)
{
    if (source == "-")
        return std::string(std::istreambuf_iterator<char>(surroundings_.input), {});
    std::ifstream file(source);
    if (!file)
        return makeError(ErrorCode::NotFound, "cannot read file \"" + source + "\"");
    return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Takes an object, or the output of "get --output json" with its version.
Result<std::string> Session::readObjectBody(const std::string &source)
{
    BOOST_LEAF_AUTO(text, readSource(source));
    BOOST_LEAF_AUTO(body, parseJsonObject(text));
    const auto *object = body.if_contains("object");
    if (!object)
        return text;
    BOOST_LEAF_AUTO(version, optionalUnsigned(body, "version"));
    if (!line_.expectedVersion)
        line_.expectedVersion = version;
    return json::serialize(*object);
}

ExitCode Session::getObject(const Arguments &arguments)
{
    return exchange(
        {.target = makeTarget({"objects", resolveKind(arguments[0]), arguments[1]}, {})},
        &renderObject);
}

ExitCode Session::listObjects(const Arguments &arguments)
{
    return exchange({.target = makeTarget({"objects", resolveKind(arguments[0])}, {})},
                    &renderList);
}

ExitCode Session::putObject(const Arguments &arguments)
{
    const auto body = capture([&] { return readObjectBody(arguments[2]); });
    if (const auto *error = std::get_if<Error>(&body))
        return failUsage(error->message);
    return sendChange("PUT", {"objects", resolveKind(arguments[0]), arguments[1]},
                      std::get<std::string>(body));
}

ExitCode Session::diffObject(const Arguments &arguments)
{
    line_.dryRun = true;
    return putObject(arguments);
}

ExitCode Session::patchObject(const Arguments &arguments)
{
    const std::string &source = arguments[2];
    const auto body = capture([&]() -> Result<std::string> {
        if (source.starts_with('{'))
            return source;
        return readSource(source);
    });
    if (const auto *error = std::get_if<Error>(&body))
        return failUsage(error->message);
    return sendChange("PATCH", {"objects", resolveKind(arguments[0]), arguments[1]},
                      std::get<std::string>(body));
}

ExitCode Session::changeLabels(const Arguments &arguments)
{
    json::object set;
    for (std::size_t index = 2; index < arguments.size(); ++index) {
        const std::string &label = arguments[index];
        const auto separator = label.find('=');
        if (separator == std::string::npos)
            return failUsage("label \"" + label + "\" does not have the form key=value");
        set[label.substr(0, separator)] = label.substr(separator + 1);
    }
    json::array remove(line_.remove.begin(), line_.remove.end());
    if (set.empty() && remove.empty())
        return failUsage("no label to set or remove");
    return sendChange("POST", {"labels", resolveKind(arguments[0]), arguments[1]},
                      json::serialize(json::object{{"set", set}, {"remove", remove}}));
}

ExitCode Session::deleteObject(const Arguments &arguments)
{
    return sendChange("DELETE", {"objects", resolveKind(arguments[0]), arguments[1]}, "");
}

ExitCode Session::drain(const Arguments &arguments)
{
    if (arguments == Arguments{"daemon"}) {
        if (line_.dryRun)
            return failUsage("draining a daemon has no dry run");
        return exchange({.method = "POST", .target = makeTarget({"drain", "daemon"}, {})},
                        [](const json::object &body, std::ostream &output) {
                            const auto *vm = body.if_contains("vm");
                            output << "daemon " << (vm ? formatScalar(*vm) : "")
                                   << " is draining\n";
                        });
    }
    if (arguments.size() != 2 || arguments[0] != "endpoint")
        return failUsage("usage: pistachioctl drain endpoint NAME | daemon");
    return sendChange("POST", {"drain", "endpoint", arguments[1]}, "");
}

ExitCode Session::undrain(const Arguments &arguments)
{
    if (arguments[0] != "endpoint")
        return failUsage("usage: pistachioctl undrain endpoint NAME");
    return sendChange("POST", {"undrain", "endpoint", arguments[1]}, "");
}

ExitCode Session::showStatus(const Arguments &)
{
    return exchange({.target = makeTarget({"status"}, {})}, &renderStatus);
}

ExitCode Session::waitInForce(const Arguments &)
{
    if (!line_.inForce)
        return failUsage("wait needs --in-force VERSION");
    const HttpRequest request{
        .target = makeTarget({"in-force"}, {{"version", std::to_string(*line_.inForce)}})};
    const TimePoint deadline = surroundings_.clock.now() + line_.timeout;
    while (true) {
        const auto remaining = std::chrono::ceil<Milliseconds>(
            std::max(deadline - surroundings_.clock.now(), TimePoint::duration(Milliseconds(1))));
        const auto outcome = surroundings_.call(request, std::min(remaining, pollTimeout));
        const auto *response = std::get_if<HttpResponse>(&outcome);
        const auto body =
            capture([&] { return parseJsonObject(response ? response->body : std::string("{}")); });
        const auto *fields = std::get_if<json::object>(&body);
        const auto *inForce = fields ? fields->if_contains("in_force") : nullptr;
        const bool isInForce = inForce && inForce->is_bool() && inForce->get_bool();
        const bool isExpired = surroundings_.clock.now() + pollInterval >= deadline;
        // An unreachable daemon may come back; every other refusal is final.
        const bool isFinal = response && exitCodeOf(response->status) != ExitCode::Ok
                             && exitCodeOf(response->status) != ExitCode::Unreachable;
        if (isInForce || isExpired || isFinal) {
            const ExitCode code = report(outcome, false, &renderInForce);
            return code == ExitCode::Ok && !isInForce ? ExitCode::Refused : code;
        }
        surroundings_.sleep(pollInterval);
    }
}

ExitCode Session::showHistory(const Arguments &arguments)
{
    return exchange(
        {.target = makeTarget({"history", resolveKind(arguments[0]), arguments[1]}, {})},
        &renderHistory);
}

ExitCode Session::explainRead(const Arguments &arguments)
{
    QueryParameters query{{"service", arguments[0]}};
    if (!line_.zone.empty())
        query.emplace_back("zone", line_.zone);
    if (!line_.labels.empty())
        query.emplace_back("labels", line_.labels);
    if (line_.maxAge)
        query.emplace_back("max_age_ms", std::to_string(*line_.maxAge));
    return exchange({.target = makeTarget({"explain"}, query)}, &renderExplain);
}

ExitCode Session::printCompletion(const Arguments &arguments)
{
    if (arguments[0] != "bash")
        return failUsage("completion is available for bash");
    std::string words;
    for (const Command &command : commands())
        words += (words.empty() ? "" : " ") + std::string(command.name);
    std::string kinds;
    for (const KindAlias &entry : kindAliases)
        kinds += (kinds.empty() ? "" : " ") + std::string(entry.alias);
    surroundings_.output << "_pistachioctl()\n{\n"
                            "    local current=\"${COMP_WORDS[COMP_CWORD]}\" words\n"
                            "    case \"$COMP_CWORD\" in\n"
                            "    1) words=\""
                         << words
                         << "\" ;;\n"
                            "    2) words=\""
                         << kinds
                         << " daemon\" ;;\n"
                            "    *) words=\"\" ;;\n"
                            "    esac\n"
                            "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
                            "}\n"
                            "complete -o default -F _pistachioctl pistachioctl\n";
    return ExitCode::Ok;
}

} // namespace pistachiowood::ctl
