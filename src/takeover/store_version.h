#ifndef PISTACHIOWOOD_TAKEOVER_STORE_VERSION_H
#define PISTACHIOWOOD_TAKEOVER_STORE_VERSION_H

#include <pistachiowood/ids.h>

#include <compare>
#include <cstdint>
#include <tuple>

namespace pistachiowood {

/// Number of times that the platform's store was restored from an older copy of its state.
using StoreEra = StrongValue<struct StoreEraTag, std::uint64_t>;

/// Version of the store. Restored from a copy, the store loses its last changes and assigns their
/// revisions again, so that revisions of different eras do not compare.
struct StoreVersion
{
    StoreEra era;
    ResourceVersion revision;

    /// Whether the store's state at this version certainly holds the change made at `change`.
    bool includes(const StoreVersion &change) const
    {
        return era == change.era && revision >= change.revision;
    }

    friend bool operator==(const StoreVersion &, const StoreVersion &) = default;
    // Not defaulted: clang-tidy's modernize-use-nullptr reports the 0 in the generated body.
    friend auto operator<=>(const StoreVersion &left, const StoreVersion &right)
    {
        return std::tie(left.era, left.revision) <=> std::tie(right.era, right.revision);
    }
};

/// Position of a change in its writer's own count, which no restore of the store affects.
struct WriterCount
{
    std::uint64_t incarnation = 0; ///< run of the writer; 0 if it does not tell its runs apart
    std::uint64_t change = 0;

    friend bool operator==(const WriterCount &, const WriterCount &) = default;
    friend auto operator<=>(const WriterCount &left, const WriterCount &right)
    {
        return std::tie(left.incarnation, left.change)
               <=> std::tie(right.incarnation, right.change);
    }
};

/// Version of one object in the store.
struct ItemVersion
{
    StoreVersion stored;
    WriterCount written;

    /// Whether this is a later change of the object than `other`. Within an era the revision tells.
    /// Across eras it is the writer's count, because an era can begin with an older state.
    bool isNewerThan(const ItemVersion &other) const
    {
        if (stored.era == other.stored.era)
            return stored.revision > other.stored.revision;
        return std::tie(written, stored.era) > std::tie(other.written, other.stored.era);
    }

    friend bool operator==(const ItemVersion &, const ItemVersion &) = default;
};

} // namespace pistachiowood

#endif
