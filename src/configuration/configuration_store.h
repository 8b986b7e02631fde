#ifndef PISTACHIOWOOD_CONFIGURATION_CONFIGURATION_STORE_H
#define PISTACHIOWOOD_CONFIGURATION_CONFIGURATION_STORE_H

#include "configuration/object_codec.h"

#include <pistachiowood/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pistachiowood {

/// Maximum number of tombstones (records of deleted objects). Beyond it the oldest one is dropped;
/// after that, listed objects up to its version are refused unless the store contains them.
inline constexpr std::size_t maxTombstones = 4096;

/// One object as the platform stores it.
struct StoredObject
{
    ObjectKind kind = ObjectKind::DatabaseService;
    std::string name;
    ResourceVersion version;
    std::string operationId;
    std::string json;

    friend bool operator==(const StoredObject &, const StoredObject &) = default;
};

/// One change in a watch answer. For a deletion, the object has the version of the deletion.
struct ObjectEvent
{
    bool deleted = false;
    StoredObject object;
};

/// All objects at one version, as returned by a list request or by a peer.
struct ConfigurationSnapshot
{
    ResourceVersion version;
    std::vector<StoredObject> items;
};

/// Answer to one watch request: all changes up to `version`.
struct WatchAnswer
{
    ResourceVersion version;
    std::vector<ObjectEvent> events;
};

/// Latest valid state of each object at one version. Immutable, so threads can share it.
struct ConfigurationView
{
    using Endpoints = std::vector<std::shared_ptr<const EndpointSpec>>;

    ResourceVersion version;
    std::map<ServiceName, std::shared_ptr<const ServiceSpec>> services;
    std::map<ServiceName, Endpoints> endpointsByService; ///< sorted by endpoint id
    std::map<std::string, std::shared_ptr<const ProxySpec>> proxies;
    std::map<TeamName, std::shared_ptr<const TeamSpec>> teams;
    std::map<ServiceName, std::shared_ptr<const ServiceStatus>> statuses;
};

/// Configuration that one daemon has applied. Versions never decrease: an older copy of an object
/// is refused whatever its source, and so is a snapshot older than the applied version.
///
/// The content is complete as of the applied version. An object that is not in the store and whose
/// version is not above the applied one was therefore deleted, and a copy of it from an event or a
/// peer is refused. Tombstones handle a deletion and an older copy of the object that arrive in any
/// order within one watch answer.
///
/// A ServiceStatus is ordered by (term, version). Promotion also distributes it by gossip while the
/// platform is down; such a copy has the version that statusBaseVersion() returned. It is removed
/// only together with its service, because a list may lack a status that so far was sent only by
/// gossip.
class ConfigurationStore
{
public:
    /// Applies a list of the platform. Returns false if it is older than the applied version.
    bool applyList(const ConfigurationSnapshot &list);
    /// Applies the answer to a watch that began at `from`. Returns false if the answer ends below
    /// the applied version, or begins above it, so that the changes in between would be lost.
    bool applyEvents(ResourceVersion from, const WatchAnswer &answer);
    /// Applies the snapshot() of a peer's store. Returns false if it is older than the applied
    /// version.
    bool applyFromPeer(const ConfigurationSnapshot &snapshot);
    /// Applies statuses received by gossip. Returns how many were newer than the applied ones.
    std::size_t applyStatuses(const std::vector<StoredObject> &statuses);

    ResourceVersion version() const { return version_; }
    std::shared_ptr<const ConfigurationView> view() const { return view_; }
    ConfigurationSnapshot snapshot() const;
    std::vector<StoredObject> statuses() const;
    const StoredObject *find(ObjectKind kind, const std::string &name) const;

    /// Returns the version for a status that is published by gossip. It is newer than the deletion
    /// of an earlier service of the same name.
    ResourceVersion statusBaseVersion(const std::string &service) const;

    /// Returns the objects whose newest version cannot be decoded, with the error message.
    std::map<std::pair<ObjectKind, std::string>, std::string> invalidObjects() const;

    /// Hash of all objects, independent of the order in which they were applied.
    std::uint64_t digest() const;
    /// Hash of the services and terms of the statuses only.
    std::uint64_t statusDigest() const;

private:
    enum class Source { List, Events, Peer, Gossip };
    struct Entry
    {
        StoredObject newest;
        bool deleted = false;
        Term term; ///< of a ServiceStatus
        ResourceVersion deletedVersion; ///< version of the last deletion of this kind and name
        std::string decodeError; ///< decoding error of the newest version
        std::shared_ptr<const ObjectValue> lastValid; ///< newest version that could be decoded
    };
    using Key = std::pair<ObjectKind, std::string>;

    bool applySnapshot(const ConfigurationSnapshot &snapshot, Source source);
    bool put(const StoredObject &object, Source source);
    bool remove(const Key &key, ResourceVersion version);
    void pruneTombstones();
    void publish(ResourceVersion version, bool changed);

    ResourceVersion version_;
    ResourceVersion prunedTombstoneVersion_; ///< highest version of a dropped tombstone
    std::map<Key, Entry> entries_;
    std::size_t tombstoneCount_ = 0;
    std::shared_ptr<const ConfigurationView> view_ = std::make_shared<ConfigurationView>();
};

} // namespace pistachiowood

#endif
