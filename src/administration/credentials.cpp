#include "administration/credentials.h"

#include "base/log.h"
#include "configuration/selector.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>

namespace pistachiowood {

namespace {

constexpr std::array<std::string_view, 3> roleNames{"viewer", "operator", "admin"};

boost::leaf::error_id entryError(std::size_t number, const std::string &requirement)
{
    return makeError(ErrorCode::InvalidArgument, "setting --admin-credentials: entry "
                                                     + std::to_string(number) + " " + requirement);
}

std::vector<std::string_view> splitText(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    for (std::size_t end = text.find(separator); end != std::string_view::npos;
         end = text.find(separator, begin)) {
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    parts.push_back(text.substr(begin));
    return parts;
}

} // namespace

std::string_view accessRoleName(AccessRole role)
{
    return roleNames.at(static_cast<std::size_t>(role));
}

Result<CredentialList> CredentialList::parse(std::string_view text)
{
    CredentialList list;
    if (text.empty())
        return list;
    std::size_t number = 0;
    for (const std::string_view part : splitText(text, ',')) {
        Entry entry;
        BOOST_LEAF_CHECK(parseEntry(part, ++number, entry));
        if (list.findEntry(entry.digest))
            return entryError(number, "repeats the token of an earlier entry");
        list.entries_.push_back(std::move(entry));
    }
    return list;
}

Result<void> CredentialList::parseEntry(std::string_view text, std::size_t number, Entry &entry)
{
    const auto parts = splitText(text, ':');
    if (parts.size() != 3)
        return entryError(number, "must have the form token:team:role; a token contains neither "
                                  "\":\" nor \",\"");
    const auto isPrintable = [](char c) { return c > ' ' && c <= '~'; };
    if (parts[0].empty() || !std::all_of(parts[0].begin(), parts[0].end(), isPrintable))
        return entryError(number, "must start with a token of printable characters without spaces");
    const bool isValidTeam =
        parts[1] == "*" || (isLabelText(parts[1]) && parts[1].find('/') == std::string_view::npos);
    if (!isValidTeam)
        return entryError(number, "must name a team, or \"*\" for all teams, after the token");
    const auto role = std::find(roleNames.begin(), roleNames.end(), parts[2]);
    if (role == roleNames.end())
        return entryError(number, "must end with the role viewer, operator or admin");
    entry.digest = computeDigest(parts[0]);
    entry.access.role = static_cast<AccessRole>(role - roleNames.begin());
    if (parts[1] != "*")
        entry.access.team = TeamName(std::string(parts[1]));
    return {};
}

CredentialList::Digest CredentialList::computeDigest(std::string_view token)
{
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), digest.data());
    return digest;
}

// Compares with every entry in constant time, so that the duration reveals nothing about a match.
const CredentialList::Entry *CredentialList::findEntry(const Digest &digest) const
{
    const Entry *found = nullptr;
    for (const Entry &entry : entries_) {
        if (CRYPTO_memcmp(entry.digest.data(), digest.data(), digest.size()) == 0)
            found = &entry;
    }
    return found;
}

Result<Access> CredentialList::authenticate(std::string_view bearer) const
{
    if (entries_.empty())
        return Access{AccessRole::Admin, std::nullopt};
    if (bearer.empty())
        return makeError(ErrorCode::Unauthenticated, "a bearer credential is required");
    const Entry *entry = findEntry(computeDigest(bearer));
    if (!entry)
        return makeError(ErrorCode::Unauthenticated, "the bearer credential is not known");
    return entry->access;
}

void warnIfNoCredentials(const CredentialList &credentials)
{
    if (credentials.empty())
        logEvent(Event::AdministrationOpen);
}

std::optional<TeamName> teamOf(const ObjectValue &value, const ConfigurationView &view)
{
    struct Visitor
    {
        std::optional<TeamName> operator()(const ServiceSpec &spec) const { return spec.team; }
        std::optional<TeamName> operator()(const ProxySpec &spec) const { return spec.team; }
        std::optional<TeamName> operator()(const TeamSpec &spec) const { return spec.name; }
        std::optional<TeamName> operator()(const EndpointSpec &spec) const
        {
            return teamOfService(spec.service);
        }
        std::optional<TeamName> operator()(const ServiceStatus &status) const
        {
            return teamOfService(status.service);
        }
        std::optional<TeamName> teamOfService(const ServiceName &service) const
        {
            const auto found = view.services.find(service);
            return found == view.services.end() ? std::nullopt : std::optional(found->second->team);
        }
        const ConfigurationView &view;
    };
    return std::visit(Visitor{view}, value);
}

bool maySee(const Access &access, const ObjectValue &value, const ConfigurationView &view)
{
    return access.coversTeam(teamOf(value, view));
}

Result<void> checkMayChange(const Access &access, const ObjectValue &value,
                            const ConfigurationView &view)
{
    const bool isTeam = kindOf(value) == ObjectKind::Team;
    const AccessRole required = isTeam ? AccessRole::Admin : AccessRole::Operator;
    if (access.role < required)
        return makeError(ErrorCode::PermissionDenied,
                         "this change needs the role " + std::string(accessRoleName(required)));
    if (!access.coversTeam(teamOf(value, view)))
        return makeError(ErrorCode::PermissionDenied, "the credential belongs to team \""
                                                          + access.team->value()
                                                          + "\", and the object does not");
    return {};
}

} // namespace pistachiowood
