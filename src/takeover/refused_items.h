#ifndef PISTACHIOWOOD_TAKEOVER_REFUSED_ITEMS_H
#define PISTACHIOWOOD_TAKEOVER_REFUSED_ITEMS_H

#include "takeover/group_replica.h"

#include <map>
#include <string>
#include <utility>

namespace pistachiowood {

/// Items of a group that cannot be decoded. All items are decoded again with every change of their
/// group, so that the error of each version is to be reported only once.
class RefusedItems
{
public:
    /// Notes that the item cannot be decoded. Returns whether that is new for this version.
    bool add(const StoredItem &item)
    {
        return std::exchange(versions_[item.name], item.version.stored) != item.version.stored;
    }

    /// Forgets items that are no longer in the group.
    void retain(const GroupReplica::Items &items)
    {
        std::erase_if(versions_, [&](const auto &item) { return items.count(item.first) == 0; });
    }

private:
    std::map<std::string, StoreVersion> versions_;
};

} // namespace pistachiowood

#endif
