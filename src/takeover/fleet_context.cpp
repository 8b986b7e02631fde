#include "takeover/fleet_context.h"

namespace pistachiowood {

namespace {

// Configurations up to this size go with every answer; 600 ms of the slowest link carry 45 of them.
constexpr std::size_t smallConfigurationBytes = 16384;

} // namespace

std::vector<GroupCopy> FleetContext::copiesFor(const PeerReport &peer) const
{
    std::vector<GroupCopy> copies;
    for (std::size_t i = 0; i < objectGroupCount; ++i) {
        const GroupFeed &source = *feeds.at(i);
        const ResourceVersion known = peer.versions.at(i);
        if (!source.loaded() || source.contentVersion() <= known)
            continue;
        const bool unasked =
            static_cast<ObjectGroup>(i) == ObjectGroup::Configuration && !peer.wantsConfiguration;
        if (!unasked || source.copySize(known) <= smallConfigurationBytes)
            copies.push_back(source.copyFor(known));
    }
    return copies;
}

void FleetContext::takeCopies(const std::vector<GroupCopy> &copies) const
{
    for (const GroupCopy &copy : copies)
        feed(copy.group).applyCopy(copy);
}

void FleetContext::putRecord(const std::string &name, std::optional<ResourceVersion> expected,
                             const std::string &text,
                             std::function<void(const StoreOutcome<ResourceVersion> &)> callback)
{
    store.putRecord(name, expected, text, recordTimeout,
                    [this, alive = alive, name, text,
                     callback = std::move(callback)](const StoreOutcome<ResourceVersion> &outcome) {
                        if (!*alive)
                            return;
                        if (const auto *version = std::get_if<ResourceVersion>(&outcome))
                            records().applyOwnChange({name, *version, text});
                        callback(outcome);
                    });
}

} // namespace pistachiowood
