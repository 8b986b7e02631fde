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

/// Deletions are remembered up to this number; then the oldest is replaced by a version floor.
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

/// One change in a watch answer; the version of a deletion is that of the deletion itself.
struct ObjectEvent
{
    bool deleted = false;
    StoredObject object;
};

/// Complete configuration at one version, as a list or a peer returns it.
struct ConfigurationSnapshot
{
    ResourceVersion version;
    std::vector<StoredObject> items;
};

/// Complete answer of one watch.
struct WatchAnswer
{
    ResourceVersion version;
    std::vector<ObjectEvent> events;
};

/// Valid objects in force at one version; immutable and safe to share between threads.
struct ConfigurationView
{
    using Endpoints = std::vector<std::shared_ptr<const EndpointSpec>>;

    ResourceVersion version;
    std::map<ServiceName, std::shared_ptr<const ServiceSpec>> services;
    std::map<ServiceName, Endpoints> endpointsByService; ///< in order of endpoint id
    std::map<std::string, std::shared_ptr<const ProxySpec>> proxies;
    std::map<TeamName, std::shared_ptr<const TeamSpec>> teams;
    std::map<ServiceName, std::shared_ptr<const ServiceStatus>> statuses;
};

/// Objects that one daemon applies. Nothing moves back: an older copy of an object is refused
/// whatever its source, and so is a snapshot older than the applied version.
///
/// The content is complete as of the applied version. An object that is missing here and has a
/// version up to the applied one was therefore deleted, and a copy of it from an event or a peer
/// is refused. Tombstones cover deletions whose order within an answer is not known.
///
/// A ServiceStatus is ordered by (term, version). Promotion also spreads it by gossip while the
/// platform is down; such a copy carries the version that statusBaseVersion() returned. It goes
/// away only with its service, because a list made during an outage may lack the newest status.
class ConfigurationStore
{
public:
    /// Full list from the platform. Returns false when the list is older than what is applied.
    bool applyList(const ConfigurationSnapshot &list);
    /// Answer of a watch that began at `from`. Returns false when the answer ends below the applied
    /// version or begins above it, since changes between would be lost.
    bool applyEvents(ResourceVersion from, const WatchAnswer &answer);
    /// Copy of a peer's store, as snapshot() returns it. Returns false when it is older.
    bool applyFromPeer(const ConfigurationSnapshot &snapshot);
    /// Statuses received by gossip. Returns the number that were newer than the applied ones.
    std::size_t applyStatuses(const std::vector<StoredObject> &statuses);

    ResourceVersion version() const { return version_; }
    std::shared_ptr<const ConfigurationView> view() const { return view_; }
    ConfigurationSnapshot snapshot() const;
    std::vector<StoredObject> statuses() const;
    const StoredObject *find(ObjectKind kind, const std::string &name) const;

    /// Version that a status published by gossip carries, so that it counts as newer than the
    /// deletion of an earlier service of the same name.
    ResourceVersion statusBaseVersion(const std::string &service) const;

    /// Objects whose newest version cannot be decoded, with the reason.
    std::map<std::pair<ObjectKind, std::string>, std::string> invalidObjects() const;

    /// Equal on two daemons with the same objects; independent of the order of arrival.
    std::uint64_t digest() const;
    /// Covers service and term of the statuses only.
    std::uint64_t statusDigest() const;

private:
    enum class Source { List, Events, Peer, Gossip };
    struct Entry
    {
        StoredObject newest;
        bool deleted = false;
        Term term; ///< of a status
        ResourceVersion floor; ///< version of the last deletion under this name
        std::string failure; ///< why the newest version is not in force
        std::shared_ptr<const ObjectValue> inForce;
    };
    using Key = std::pair<ObjectKind, std::string>;

    bool applySnapshot(const ConfigurationSnapshot &snapshot, Source source);
    bool put(const StoredObject &object, Source source);
    bool remove(const Key &key, ResourceVersion version);
    void pruneTombstones();
    void publish(ResourceVersion version, bool changed);

    ResourceVersion version_;
    ResourceVersion prunedFloor_; ///< highest version among dropped tombstones
    std::map<Key, Entry> entries_;
    std::size_t tombstones_ = 0;
    std::shared_ptr<const ConfigurationView> view_ = std::make_shared<ConfigurationView>();
};

} // namespace pistachiowood

#endif
