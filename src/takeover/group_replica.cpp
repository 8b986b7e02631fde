#include "takeover/group_replica.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowood {

namespace {

// Removals that are remembered for partial copies; a peer that lacks more gets the whole group.
constexpr std::size_t maxKnownRemovals = 256;

bool isOfEra(const StoredItem &item, StoreEra era)
{
    return item.version.stored.era == era;
}

// Equal for an object of two eras that the restore did not change.
std::uint64_t digestOf(const StoredItem &item)
{
    const std::uint64_t revision = item.version.stored.revision.value();
    return XXH64(item.text.data(), item.text.size(),
                 XXH64(item.name.data(), item.name.size(), revision));
}

} // namespace

bool GroupReplica::applyList(const GroupSnapshot &list)
{
    if (loaded_ && list.version < version_) {
        // Nothing is lost: a list of the same era holds no change that the replica lacks.
        raiseContentVersion(list.version);
        return false;
    }
    const bool entersEra = loaded_ && list.version.era != version_.era;
    if (entersEra)
        enterEra(list);
    replaceStored(list, entersEra);
    return true;
}

// Keeps the objects in force of which the restored store holds no later change.
void GroupReplica::enterEra(const GroupSnapshot &state)
{
    std::map<std::string, const StoredItem *> restored;
    for (const StoredItem &item : state.items)
        restored[item.name] = &item;
    for (const auto &[name, removal] : removed_)
        removedEarlier_[name] = removal.written;
    carried_.clear();
    for (const auto &[name, item] : items_) {
        const auto found = restored.find(name);
        if (found == restored.end() ? carriesMissing()
                                    : !found->second->version.isNewerThan(item.version))
            carried_[name] = item;
    }
    unchanged_.clear();
    for (const auto &[name, item] : stored_) {
        const auto found = restored.find(name);
        if (found != restored.end() && digestOf(*found->second) == digestOf(item))
            unchanged_.insert(name);
    }
    stored_.clear();
    removed_.clear();
    removalHorizon_ = state.version;
    formerContent_ = contentVersion_;
    carries_ = true;
}

void GroupReplica::replaceStored(const GroupSnapshot &state, bool entersEra)
{
    const Items former = std::exchange(stored_, {});
    for (const StoredItem &item : state.items) {
        stored_[item.name] = item;
        if (!entersEra && former.count(item.name) == 0)
            removedEarlier_.erase(item.name); // created again in this era
    }
    for (const auto &[name, item] : former) {
        // Own changes can be newer than the list.
        if (item.version.stored > state.version)
            stored_[name] = item;
        else if (stored_.count(name) == 0)
            removed_[name] = {state.version, item.version.written};
    }
    if (entersEra || !loaded_) {
        removalHorizon_ = state.version;
        listedFrom_ = listedTo_ = state.version;
    } else if (version_ < state.version) {
        removalHorizon_ = std::max(removalHorizon_, listedTo_);
        listedFrom_ = version_;
        listedTo_ = state.version;
    }
    std::erase_if(carried_, [&](const auto &entry) {
        const auto found = stored_.find(entry.first);
        return found != stored_.end() && found->second.version.isNewerThan(entry.second.version);
    });
    contentVersion_ = state.version;
    version_ = std::max(version_, state.version);
    loaded_ = true;
    refreshAll();
}

bool GroupReplica::applyChanges(const GroupChanges &changes)
{
    bool changed = false;
    for (const auto &[item, deleted] : changes.changes) {
        if (deleted) {
            remove(item.name, changes.version);
            changed = true;
        } else {
            changed = store(item) || changed;
        }
    }
    version_ = changes.version;
    if (removed_.size() > maxKnownRemovals) {
        removed_.clear();
        removalHorizon_ = version_;
    }
    // Own changes are applied before their event, but only the event sets the content version.
    if (!changes.changes.empty())
        contentVersion_ = changes.version;
    updateDigest();
    return changed;
}

bool GroupReplica::applyOwnChange(const StoredItem &item)
{
    if (!isOfEra(item, version_.era) || !store(item))
        return false;
    updateDigest();
    return true;
}

// Takes one object of the replica's era; returns false if it is known already.
bool GroupReplica::store(const StoredItem &item)
{
    const auto known = stored_.find(item.name);
    if (known != stored_.end() && !item.version.isNewerThan(known->second.version))
        return false;
    if (known == stored_.end())
        removedEarlier_.erase(item.name); // created again in this era
    stored_[item.name] = item;
    unchanged_.erase(item.name);
    removed_.erase(item.name);
    const auto carried = carried_.find(item.name);
    if (carried != carried_.end() && item.version.isNewerThan(carried->second.version))
        carried_.erase(carried);
    refresh(item.name);
    return true;
}

void GroupReplica::remove(const std::string &name, StoreVersion at)
{
    removed_[name] = {at, lastChangeOf(name)};
    stored_.erase(name);
    unchanged_.erase(name);
    carried_.erase(name);
    refresh(name);
}

// Adds objects that a peer carries.
bool GroupReplica::carry(const std::vector<StoredItem> &items)
{
    bool changed = false;
    for (const StoredItem &item : items) {
        if (!carries_ || item.version.stored.era >= version_.era || removed_.count(item.name) > 0)
            continue;
        const auto stored = stored_.find(item.name);
        if (stored == stored_.end() ? !carriesMissing()
                                    : stored->second.version.isNewerThan(item.version))
            continue;
        const auto known = carried_.find(item.name);
        if (known != carried_.end() && !item.version.isNewerThan(known->second.version))
            continue;
        carried_[item.name] = item;
        refresh(item.name);
        changed = true;
    }
    updateDigest();
    return changed;
}

// Returns whether this replica is at least as new as the version. Nothing changed between the
// content version and version_, so a version between them becomes the content version: otherwise a
// peer with equal content and that version would count as newer.
bool GroupReplica::raiseContentVersion(StoreVersion version)
{
    if (version > version_)
        return false;
    if (version.era == version_.era)
        contentVersion_ = std::max(contentVersion_, version);
    return true;
}

bool GroupReplica::applyCopy(const GroupCopy &copy)
{
    if (loaded_ && copy.version.era < version_.era)
        return false;
    bool changed = false;
    if (!copy.since) {
        const auto items = addKnownItems(copy);
        lacksKnownObject_ = !items;
        if (!items)
            return false;
        if (!loaded_ || !raiseContentVersion(copy.version))
            changed = applyList({copy.version, *items});
    } else {
        if (!loaded_ || copy.version.era != version_.era || version_ < *copy.since)
            return false;
        if (!raiseContentVersion(copy.version)) {
            GroupChanges changes{copy.version, {}};
            std::set<std::string> present;
            for (const StoredItem &item : copy.items)
                present.insert(item.name);
            // Own changes after `since` that the copy lacks were removed again. The sender may not
            // know the removals of objects that it has never held.
            for (const auto &[name, item] : stored_) {
                if (item.version.stored > *copy.since && item.version.stored <= copy.version
                    && present.count(name) == 0)
                    changes.changes.push_back({item, true});
            }
            for (const StoredItem &item : copy.items)
                changes.changes.push_back({item, false});
            for (const std::string &name : copy.removed) {
                const auto known = stored_.find(name);
                if (known != stored_.end() && known->second.version.stored <= copy.version)
                    changes.changes.push_back({known->second, true});
            }
            changed = applyChanges(changes);
            contentVersion_ = copy.version;
        }
    }
    return carry(copy.carried) || changed;
}

// Completes a copy with the objects that it holds as digests; nullopt if one of them is missing.
std::optional<std::vector<StoredItem>> GroupReplica::addKnownItems(const GroupCopy &copy) const
{
    std::vector<StoredItem> items = copy.items;
    if (copy.known.empty())
        return items;
    std::map<std::uint64_t, const StoredItem *> own;
    for (const auto &[name, item] : stored_)
        own[digestOf(item)] = &item;
    for (const std::uint64_t digest : copy.known) {
        const auto found = own.find(digest);
        if (found == own.end())
            return std::nullopt;
        items.push_back(*found->second);
        items.back().version.stored.era = copy.version.era;
    }
    return items;
}

GroupCopy GroupReplica::copyFor(const ReplicaState &peer, bool whole) const
{
    GroupCopy copy{.group = group_, .version = contentVersion_};
    const bool peerOfFormerEra =
        peer.content.era != version_.era && peer.content.era == formerContent_.era;
    if (!needsAll(peer)) {
        copy.since = peer.content;
        for (const auto &[name, removal] : removed_) {
            if (removal.at > peer.content)
                copy.removed.push_back(name);
        }
    }
    for (const auto &[name, item] : stored_) {
        if (!lacks(peer, item))
            continue;
        if (peerOfFormerEra && !whole && unchanged_.count(name) > 0)
            copy.known.push_back(digestOf(item));
        else
            copy.items.push_back(item);
    }
    if (peer.carried != carriedDigest_ || needsAll(peer)) {
        for (const auto &[name, item] : carried_)
            copy.carried.push_back(item);
    }
    return copy;
}

std::size_t GroupReplica::copySize(const ReplicaState &peer) const
{
    std::size_t size = 0;
    const GroupCopy copy = copyFor(peer);
    for (const auto *items : {&copy.items, &copy.carried}) {
        for (const StoredItem &item : *items)
            size += item.text.size();
    }
    return size;
}

// If not all removals since the peer's version are known, it needs the whole group. After a list,
// they are known for peers that were not ahead of the replica's former version: when the store
// drops its history, the fleet must not need whole copies.
bool GroupReplica::needsAll(const ReplicaState &peer) const
{
    return peer.content.era != version_.era || peer.content < removalHorizon_
           || (peer.content > listedFrom_ && peer.content < listedTo_);
}

bool GroupReplica::lacks(const ReplicaState &peer, const StoredItem &item) const
{
    return needsAll(peer) || item.version.stored > peer.content;
}

bool GroupReplica::isAheadOf(const ReplicaState &peer) const
{
    if (!loaded_)
        return false;
    return contentVersion_ > peer.content
           || (contentVersion_.era == peer.content.era && carriedDigest_ != 0
               && carriedDigest_ != peer.carried);
}

bool GroupReplica::isBehind(const ReplicaState &peer) const
{
    return peer.content > contentVersion_
           || (peer.content.era == contentVersion_.era && carries_ && peer.carried != 0
               && peer.carried != carriedDigest_);
}

bool GroupReplica::covers(const ReplicaState &peer) const
{
    if (peer.content.era == version_.era)
        return contentVersion_ >= peer.content;
    return peer.carried == 0 && formerContent_.includes(peer.content);
}

std::vector<std::string> GroupReplica::lostRemovals() const
{
    std::vector<std::string> names;
    for (const auto &[name, item] : stored_) {
        if (countsAsRemoved(item))
            names.push_back(name);
    }
    return names;
}

std::optional<StoreVersion> GroupReplica::storedVersion(const std::string &name) const
{
    const auto found = stored_.find(name);
    if (found == stored_.end())
        return std::nullopt;
    return found->second.version.stored;
}

WriterCount GroupReplica::lastChangeOf(const std::string &name) const
{
    WriterCount last;
    const auto consider = [&](const auto &found, const auto &end, auto written) {
        if (found != end)
            last = std::max(last, written(found->second));
    };
    const auto ofItem = [](const StoredItem &item) { return item.version.written; };
    consider(stored_.find(name), stored_.end(), ofItem);
    consider(carried_.find(name), carried_.end(), ofItem);
    consider(removed_.find(name), removed_.end(),
             [](const Removal &removal) { return removal.written; });
    consider(removedEarlier_.find(name), removedEarlier_.end(),
             [](const WriterCount &written) { return written; });
    return last;
}

bool GroupReplica::dropCarried()
{
    carries_ = false;
    if (carried_.empty() && removedEarlier_.empty())
        return false;
    carried_.clear();
    removedEarlier_.clear();
    refreshAll();
    return true;
}

bool GroupReplica::countsAsRemoved(const StoredItem &item) const
{
    const auto removal = removedEarlier_.find(item.name);
    return removal != removedEarlier_.end() && item.version.written <= removal->second;
}

void GroupReplica::refresh(const std::string &name)
{
    if (const auto carried = carried_.find(name); carried != carried_.end())
        items_[name] = carried->second;
    else if (const auto stored = stored_.find(name);
             stored != stored_.end() && !countsAsRemoved(stored->second))
        items_[name] = stored->second;
    else
        items_.erase(name);
}

void GroupReplica::refreshAll()
{
    items_.clear();
    for (const auto *items : {&stored_, &carried_}) {
        for (const auto &[name, item] : *items)
            refresh(name);
    }
    updateDigest();
}

void GroupReplica::updateDigest()
{
    carriedDigest_ = 0;
    for (const auto &[name, item] : carried_) {
        const ItemVersion &version = item.version;
        carriedDigest_ = XXH64(name.data(), name.size(), carriedDigest_ + 1);
        for (const std::uint64_t part :
             {version.stored.era.value(), version.stored.revision.value(),
              version.written.incarnation, version.written.change})
            carriedDigest_ = XXH64(&part, sizeof(part), carriedDigest_);
    }
}

} // namespace pistachiowood
