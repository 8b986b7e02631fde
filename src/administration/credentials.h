#ifndef PISTACHIOWOOD_ADMINISTRATION_CREDENTIALS_H
#define PISTACHIOWOOD_ADMINISTRATION_CREDENTIALS_H

#include "configuration/configuration_store.h"

#include <pistachiowood/error.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// In ascending order: each role includes the rights of the ones before it.
enum class AccessRole { Viewer, Operator, Admin };

std::string_view accessRoleName(AccessRole role);

/// Role of a request and the team whose objects it may read and change.
struct Access
{
    AccessRole role = AccessRole::Viewer;
    std::optional<TeamName> team; ///< nullopt: all teams

    bool coversTeam(const std::optional<TeamName> &owner) const { return !team || team == owner; }
};

/// Bearer credentials of the administration API. Only digests of the tokens are kept, and no
/// message contains any part of a credential.
class CredentialList
{
public:
    /// Parses "token:team:role,..."; the team "*" stands for all teams. An error identifies the
    /// entry by its number, counted from 1.
    static Result<CredentialList> parse(std::string_view text);

    bool empty() const { return entries_.empty(); }
    /// Grants every request full access when no credential is configured.
    Result<Access> authenticate(std::string_view bearer) const;

private:
    using Digest = std::array<std::uint8_t, 32>;
    struct Entry
    {
        Digest digest{};
        Access access;
    };

    static Result<void> parseEntry(std::string_view text, std::size_t number, Entry &entry);
    static Digest computeDigest(std::string_view token);
    const Entry *findEntry(const Digest &digest) const;

    std::vector<Entry> entries_;
};

/// Logs a warning when no credential is configured.
void warnIfNoCredentials(const CredentialList &credentials);

/// Team that an object belongs to; an endpoint or status belongs to the team of its service.
/// nullopt when that service does not exist.
std::optional<TeamName> teamOf(const ObjectValue &value, const ConfigurationView &view);

bool maySee(const Access &access, const ObjectValue &value, const ConfigurationView &view);
/// PermissionDenied with the reason when the access does not allow changing the object.
Result<void> checkMayChange(const Access &access, const ObjectValue &value,
                            const ConfigurationView &view);

} // namespace pistachiowood

#endif
