#include "takeover/fleet_context.h"

namespace pistachiowood {

namespace {

// Configurations up to this size go with every answer to a peer with an older one. The slowest link
// carries 45 of them in 600 ms, the timeout of an exchange.
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
        const bool onlyIfSmall =
            static_cast<ObjectGroup>(i) == ObjectGroup::Configuration && !peer.wantsConfiguration;
        if (!onlyIfSmall || source.copySize(known) <= smallConfigurationBytes)
            copies.push_back(source.copyFor(known));
    }
    return copies;
}

void FleetContext::applyCopies(const std::vector<GroupCopy> &copies) const
{
    for (const GroupCopy &copy : copies)
        feed(copy.group).applyCopy(copy);
}

void FleetContext::putRecord(const std::string &name, std::optional<ResourceVersion> expected,
                             const std::string &text,
                             std::function<void(const StoreOutcome<ResourceVersion> &)> callback)
{
    store.putRecord(name, expected, text, recordWriteTimeout,
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
