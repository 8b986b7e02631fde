#include "configuration/configuration_store.h"

#include "base/log.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace pistachiowood {

namespace {

void logRefused(const StoredObject &object, ResourceVersion applied)
{
    logEvent(Event::ObjectRefused, {{"kind", objectKindName(object.kind)},
                                    {"name", object.name},
                                    {"version", object.version.value()},
                                    {"applied", applied.value()}});
}

std::uint64_t hashText(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

/// Returns a pointer to the alternative T that shares ownership of the variant.
template <typename T>
std::shared_ptr<const T> shareAs(const std::shared_ptr<const ObjectValue> &value)
{
    return {value, std::get_if<T>(value.get())};
}

} // namespace

bool ConfigurationStore::put(const StoredObject &object, Source source)
{
    const Key key{object.kind, object.name};
    const bool isStatus = object.kind == ObjectKind::ServiceStatus;
    const auto found = entries_.find(key);

    if (!isStatus) {
        // A list is complete, so only a tombstone, kept or dropped, refuses an unknown object in
        // it. From other sources the object must also be newer than the applied version.
        const ResourceVersion deletedUpTo =
            source == Source::List ? prunedTombstoneVersion_ : version_;
        const ResourceVersion applied = found == entries_.end() ? deletedUpTo
                                        : found->second.deleted
                                            ? std::max(deletedUpTo, found->second.newest.version)
                                            : found->second.newest.version;
        if (found != entries_.end() && object.version == applied && !found->second.deleted)
            return false;
        if (object.version <= applied) {
            logRefused(object, applied);
            return false;
        }
    }

    auto decoded = capture([&] { return decodeObject(object.kind, object.name, object.json); });
    Term term;
    if (const ObjectValue *value = std::get_if<ObjectValue>(&decoded); value && isStatus)
        term = std::get<ServiceStatus>(*value).term;

    if (isStatus) {
        const auto service = entries_.find({ObjectKind::DatabaseService, object.name});
        const bool serviceExists = service != entries_.end() && !service->second.deleted;
        ResourceVersion deletedUpTo;
        if (service != entries_.end())
            deletedUpTo = service->second.deletedVersion;
        if (!serviceExists && source != Source::List)
            deletedUpTo = std::max(deletedUpTo, version_);
        if (found != entries_.end())
            deletedUpTo = std::max(deletedUpTo, found->second.deletedVersion);
        const bool outdated = found != entries_.end() && !found->second.deleted
                              && std::pair(term, object.version)
                                     <= std::pair(found->second.term, found->second.newest.version);
        if (outdated || (deletedUpTo.value() != 0 && object.version <= deletedUpTo)) {
            if (found == entries_.end() || !(object == found->second.newest))
                logRefused(object, outdated ? found->second.newest.version : deletedUpTo);
            return false;
        }
    }

    // An invalid status has no term to order it by, so it is logged but not stored.
    if (const Error *error = std::get_if<Error>(&decoded)) {
        logEvent(Event::ObjectInvalid, {{"kind", objectKindName(object.kind)},
                                        {"name", object.name},
                                        {"version", object.version.value()},
                                        {"reason", error->message}});
        if (isStatus)
            return false;
    }

    Entry &entry = entries_[key];
    if (entry.deleted)
        --tombstoneCount_;
    entry.deleted = false;
    entry.newest = object;
    entry.term = term;
    if (const Error *error = std::get_if<Error>(&decoded)) {
        entry.decodeError = error->message;
    } else {
        entry.decodeError.clear();
        entry.lastValid =
            std::make_shared<const ObjectValue>(std::move(std::get<ObjectValue>(decoded)));
    }
    return true;
}

bool ConfigurationStore::remove(const Key &key, ResourceVersion version)
{
    Entry &entry = entries_[key];
    const bool isNew = entry.newest.name.empty();
    if (!isNew && entry.newest.version >= version)
        return false;
    const bool existed = !isNew && !entry.deleted;
    if (!entry.deleted)
        ++tombstoneCount_;
    entry = Entry{};
    entry.newest = StoredObject{key.first, key.second, version};
    entry.deletedVersion = version;
    entry.deleted = true;
    return existed;
}

bool ConfigurationStore::applySnapshot(const ConfigurationSnapshot &snapshot, Source source)
{
    if (snapshot.version < version_) {
        logEvent(Event::ConfigurationRefused, {{"source", source == Source::Peer ? "peer" : "list"},
                                               {"version", snapshot.version.value()},
                                               {"applied", version_.value()}});
        return false;
    }
    bool changed = false;
    std::set<Key> listed;
    for (const StoredObject &object : snapshot.items) {
        listed.emplace(object.kind, object.name);
        changed = put(object, source) || changed;
    }
    std::vector<Key> missing;
    for (const auto &[key, entry] : entries_) {
        const Key service{ObjectKind::DatabaseService, key.second};
        const bool kept = key.first == ObjectKind::ServiceStatus && listed.contains(service);
        if (!entry.deleted && !kept && !listed.contains(key)
            && entry.newest.version < snapshot.version && version_ < snapshot.version)
            missing.push_back(key);
    }
    for (const Key &key : missing)
        changed = remove(key, snapshot.version) || changed;
    publish(snapshot.version, changed);
    return true;
}

bool ConfigurationStore::applyList(const ConfigurationSnapshot &list)
{
    return applySnapshot(list, Source::List);
}

bool ConfigurationStore::applyFromPeer(const ConfigurationSnapshot &snapshot)
{
    return applySnapshot(snapshot, Source::Peer);
}

bool ConfigurationStore::applyEvents(ResourceVersion from, const WatchAnswer &answer)
{
    if (answer.version < version_ || from > version_) {
        logEvent(Event::ConfigurationRefused, {{"source", "watch"},
                                               {"from", from.value()},
                                               {"version", answer.version.value()},
                                               {"applied", version_.value()}});
        return false;
    }
    bool changed = false;
    for (const ObjectEvent &event : answer.events) {
        const StoredObject &object = event.object;
        if (!event.deleted) {
            changed = put(object, Source::Events) || changed;
            continue;
        }
        // A status is deleted only together with its service.
        if (object.version <= version_ || object.kind == ObjectKind::ServiceStatus)
            continue;
        const bool removed = remove({object.kind, object.name}, object.version);
        changed = removed || changed;
        const Key status{ObjectKind::ServiceStatus, object.name};
        if (object.kind == ObjectKind::DatabaseService && entries_.contains(status)
            && entries_[status].newest.version < object.version)
            changed = remove(status, object.version) || changed;
    }
    publish(answer.version, changed);
    return true;
}

std::size_t ConfigurationStore::applyStatuses(const std::vector<StoredObject> &statuses)
{
    std::size_t applied = 0;
    for (const StoredObject &status : statuses) {
        if (status.kind == ObjectKind::ServiceStatus && put(status, Source::Gossip))
            ++applied;
    }
    publish(version_, applied != 0);
    return applied;
}

void ConfigurationStore::pruneTombstones()
{
    while (tombstoneCount_ > maxTombstones) {
        auto oldest = entries_.end();
        for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
            if (entry->second.deleted
                && (oldest == entries_.end()
                    || entry->second.newest.version < oldest->second.newest.version))
                oldest = entry;
        }
        prunedTombstoneVersion_ = std::max(prunedTombstoneVersion_, oldest->second.newest.version);
        entries_.erase(oldest);
        --tombstoneCount_;
    }
}

void ConfigurationStore::publish(ResourceVersion version, bool changed)
{
    pruneTombstones();
    if (!changed && version == version_)
        return;
    version_ = version;
    auto view = std::make_shared<ConfigurationView>();
    view->version = version;
    for (const auto &[key, entry] : entries_) {
        if (!entry.lastValid)
            continue;
        switch (key.first) {
        case ObjectKind::DatabaseService:
            view->services.emplace(key.second, shareAs<ServiceSpec>(entry.lastValid));
            break;
        case ObjectKind::Endpoint: {
            auto endpoint = shareAs<EndpointSpec>(entry.lastValid);
            view->endpointsByService[endpoint->service].push_back(std::move(endpoint));
            break;
        }
        case ObjectKind::Proxy:
            view->proxies.emplace(key.second, shareAs<ProxySpec>(entry.lastValid));
            break;
        case ObjectKind::Team:
            view->teams.emplace(key.second, shareAs<TeamSpec>(entry.lastValid));
            break;
        case ObjectKind::ServiceStatus:
            view->statuses.emplace(key.second, shareAs<ServiceStatus>(entry.lastValid));
            break;
        }
    }
    view_ = std::move(view);
    if (changed)
        logEvent(Event::ConfigurationApplied, {{"version", version.value()}});
}

ConfigurationSnapshot ConfigurationStore::snapshot() const
{
    ConfigurationSnapshot copy{version_, {}};
    for (const auto &[key, entry] : entries_) {
        if (!entry.deleted)
            copy.items.push_back(entry.newest);
    }
    return copy;
}

std::vector<StoredObject> ConfigurationStore::statuses() const
{
    std::vector<StoredObject> copy;
    for (const auto &[key, entry] : entries_) {
        if (key.first == ObjectKind::ServiceStatus && !entry.deleted)
            copy.push_back(entry.newest);
    }
    return copy;
}

const StoredObject *ConfigurationStore::find(ObjectKind kind, const std::string &name) const
{
    const auto found = entries_.find({kind, name});
    return found == entries_.end() || found->second.deleted ? nullptr : &found->second.newest;
}

ResourceVersion ConfigurationStore::statusBaseVersion(const std::string &service) const
{
    ResourceVersion base;
    for (const ObjectKind kind : {ObjectKind::ServiceStatus, ObjectKind::DatabaseService}) {
        if (const StoredObject *object = find(kind, service))
            base = std::max(base, object->version);
    }
    return base;
}

std::map<std::pair<ObjectKind, std::string>, std::string> ConfigurationStore::invalidObjects() const
{
    std::map<Key, std::string> invalid;
    for (const auto &[key, entry] : entries_) {
        if (!entry.decodeError.empty())
            invalid.emplace(key, entry.decodeError);
    }
    return invalid;
}

std::uint64_t ConfigurationStore::digest() const
{
    std::uint64_t sum = statusDigest();
    for (const auto &[key, entry] : entries_) {
        if (!entry.deleted && key.first != ObjectKind::ServiceStatus)
            sum += hashText(std::string(objectKindName(key.first)) + '/' + key.second + '@'
                            + std::to_string(entry.newest.version.value()));
    }
    return sum;
}

std::uint64_t ConfigurationStore::statusDigest() const
{
    std::uint64_t sum = 0;
    for (const auto &[key, entry] : entries_) {
        if (!entry.deleted && key.first == ObjectKind::ServiceStatus)
            sum += hashText(key.second + '#' + std::to_string(entry.term.value()));
    }
    return sum;
}

} // namespace pistachiowood
