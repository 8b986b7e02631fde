#ifndef PISTACHIOWOOD_TAKEOVER_GROUP_REPLICA_H
#define PISTACHIOWOOD_TAKEOVER_GROUP_REPLICA_H

#include "takeover/platform_store.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pistachiowood {

/// Local copy of one group of the platform's objects, from lists, changes and copies of peers.
///
/// When the store was restored from an older copy, the replica enters a new era: it takes what the
/// store holds now, but keeps each object that it knows a later change of, until that change is in
/// the store again. Such objects are called carried. Endpoints that the store does not hold at all
/// are not kept: they register again, or are gone. Performs no I/O.
class GroupReplica
{
public:
    using Items = std::map<std::string, StoredItem>;

    explicit GroupReplica(ObjectGroup group)
        : group_(group)
    {
    }

    /// Whether the replica has been complete once, from the store or from a peer.
    bool loaded() const { return loaded_; }
    /// Objects in force: those in the store, but for carried ones.
    const Items &items() const { return items_; }
    /// Version of the store whose changes the replica holds.
    StoreVersion version() const { return version_; }
    /// State to compare with peers.
    ReplicaState state() const { return {contentVersion_, carriedDigest_}; }

    /// Takes a list of the store. Returns false if the list is older than the replica.
    bool applyList(const GroupSnapshot &list);
    /// Takes changes of the replica's era. Returns whether an object in force changed.
    bool applyChanges(const GroupChanges &changes);
    /// Takes a copy from a peer, if it is newer and the replica holds what the copy builds on.
    /// Returns whether the replica changed.
    bool applyCopy(const GroupCopy &copy);
    /// Whether the last copy of a later era could not be taken for want of an object.
    bool lacksKnownObject() const { return lacksKnownObject_; }
    /// Takes a change that this daemon made in the store, before a watch reports it. Returns
    /// whether it is new.
    bool applyOwnChange(const StoredItem &item);

    /// Copy for a peer: what it lacks if all removals since its state are known, else everything.
    /// Unless it shall be whole, objects that a peer of the former era holds are left out.
    GroupCopy copyFor(const ReplicaState &peer, bool whole = false) const;
    /// Size in bytes of the texts in that copy.
    std::size_t copySize(const ReplicaState &peer) const;
    /// Whether the peer lacks something that this replica holds.
    bool isAheadOf(const ReplicaState &peer) const;
    /// Whether the peer may hold something that this replica lacks.
    bool isBehind(const ReplicaState &peer) const;
    /// Whether this replica holds every change of the store that the peer holds. Also compares
    /// with a peer that has not entered the era of this replica yet.
    bool covers(const ReplicaState &peer) const;

    /// Carried objects.
    const Items &carried() const { return carried_; }
    /// Objects of the store that count as removed, because the store lost the removal.
    std::vector<std::string> lostRemovals() const;
    /// Version of the named object in the store; nullopt if the store has none.
    std::optional<StoreVersion> storedVersion(const std::string &name) const;
    /// Count of the last known change of the named object, also if it was removed.
    WriterCount lastChangeOf(const std::string &name) const;
    /// From now on, what the store holds in this era is in force. Returns whether objects in force
    /// may have changed.
    bool dropCarried();

private:
    struct Removal
    {
        StoreVersion at; ///< a version that no longer has the object
        WriterCount written; ///< last change of the object
    };

    std::optional<std::vector<StoredItem>> addKnownItems(const GroupCopy &copy) const;
    void enterEra(const GroupSnapshot &state);
    void replaceStored(const GroupSnapshot &state, bool entersEra);
    bool store(const StoredItem &item);
    void remove(const std::string &name, StoreVersion at);
    bool carry(const std::vector<StoredItem> &items);
    bool raiseContentVersion(StoreVersion version);
    bool needsAll(const ReplicaState &peer) const;
    bool lacks(const ReplicaState &peer, const StoredItem &item) const;
    bool carriesMissing() const { return group_ != ObjectGroup::Endpoints; }
    bool countsAsRemoved(const StoredItem &item) const;
    void refresh(const std::string &name);
    void refreshAll();
    void updateDigest();

    ObjectGroup group_;
    bool loaded_ = false;
    bool lacksKnownObject_ = false;
    Items items_; ///< in force
    Items stored_; ///< in the store
    std::set<std::string> unchanged_; ///< in the store as this replica held them in the former era
    Items carried_; ///< of earlier eras, with a later change than the one in the store
    /// Objects removed in earlier eras, whose removal the store may have lost.
    std::map<std::string, WriterCount> removedEarlier_;
    std::map<std::string, Removal> removed_; ///< in this era
    StoreVersion removalHorizon_; ///< removals up to this version are not known
    /// Versions of the last list of this era and of the replica before it. Objects that were both
    /// created and removed between them are not known.
    StoreVersion listedFrom_;
    StoreVersion listedTo_;
    StoreVersion version_;
    StoreVersion contentVersion_; ///< version at which the objects in the store last changed
    StoreVersion formerContent_; ///< content version when the former era ended for this replica
    std::uint64_t carriedDigest_ = 0;
    bool carries_ = true; ///< carried objects are accepted in this era
};

} // namespace pistachiowood

#endif
