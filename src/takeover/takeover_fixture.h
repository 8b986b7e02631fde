#ifndef PISTACHIOWOOD_TAKEOVER_TAKEOVER_FIXTURE_H
#define PISTACHIOWOOD_TAKEOVER_TAKEOVER_FIXTURE_H

#include "takeover/platform_store.h"

#include <string>

namespace pistachiowood {

/// Versions and objects for tests; those without an era are of the first one.
inline StoreVersion storeVersion(std::uint64_t revision, std::uint64_t era = 1)
{
    return {StoreEra(era), ResourceVersion(revision)};
}

inline StoredItem storedItem(const std::string &name, StoreVersion version,
                             std::uint64_t change = 0)
{
    return {name, {version, {0, change}}, "{}"};
}

} // namespace pistachiowood

#endif
