#include "platform_standin/object_store.h"

#include <boost/json.hpp>

#include <algorithm>

namespace pistachiowood::platform {

namespace {

std::string encodeFields(const StoredObject &object)
{
    return "\"kind\":" + boost::json::serialize(object.kind) + ",\"name\":"
           + boost::json::serialize(object.name) + ",\"version\":" + std::to_string(object.version)
           + ",\"operation_id\":" + boost::json::serialize(object.operationId)
           + ",\"object\":" + object.object;
}

} // namespace

std::string StoredObject::encode() const
{
    return "{" + encodeFields(*this) + "}";
}

std::string ObjectEvent::encode() const
{
    return std::string("{\"type\":\"") + (deleted ? "delete" : "put") + "\","
           + encodeFields(*object) + "}";
}

Result<void> ObjectStore::checkVersion(const ObjectChange &change) const
{
    const std::uint64_t current = versionOf(change.kind, change.name);
    if (current == change.expectedVersion)
        return {};
    const std::string id = change.kind + "/" + change.name;
    if (current == 0)
        return makeError(ErrorCode::Conflict, id + " does not exist");
    if (change.expectedVersion == 0)
        return makeError(ErrorCode::Conflict, id + " exists already");
    return makeError(ErrorCode::Conflict, id + " is at version " + std::to_string(current)
                                              + ", not " + std::to_string(change.expectedVersion));
}

Result<ObjectPointer> ObjectStore::put(ObjectChange change)
{
    if (change.object.size() > maxObjectBytes)
        return makeError(ErrorCode::TooLarge, "the object is larger than 1 MiB");
    BOOST_LEAF_CHECK(checkVersion(change));
    auto stored = std::make_shared<const StoredObject>(
        StoredObject{std::move(change.kind), std::move(change.name), version_ + 1,
                     std::move(change.operationId), std::move(change.object)});
    objects_[{stored->kind, stored->name}] = stored;
    append({false, stored});
    return ObjectPointer(std::move(stored));
}

Result<std::uint64_t> ObjectStore::remove(ObjectChange change)
{
    const auto found = objects_.find({change.kind, change.name});
    if (found == objects_.end())
        return makeError(ErrorCode::NotFound, change.kind + "/" + change.name + " does not exist");
    BOOST_LEAF_CHECK(checkVersion(change));
    auto last = std::make_shared<StoredObject>(*found->second);
    last->version = version_ + 1;
    last->operationId = std::move(change.operationId);
    objects_.erase(found);
    append({true, std::move(last)});
    return version_;
}

Result<ObjectPointer> ObjectStore::get(std::string_view kind, std::string_view name) const
{
    const auto found = objects_.find({std::string(kind), std::string(name)});
    if (found == objects_.end())
        return makeError(ErrorCode::NotFound,
                         std::string(kind) + "/" + std::string(name) + " does not exist");
    return found->second;
}

std::uint64_t ObjectStore::versionOf(std::string_view kind, std::string_view name) const
{
    const auto found = objects_.find({std::string(kind), std::string(name)});
    return found == objects_.end() ? 0 : found->second->version;
}

std::vector<ObjectPointer> ObjectStore::list(std::string_view kind) const
{
    std::vector<ObjectPointer> result;
    const auto first = objects_.lower_bound({std::string(kind), std::string()});
    for (auto entry = first; entry != objects_.end(); ++entry) {
        if (!kind.empty() && entry->first.first != kind)
            break;
        result.push_back(entry->second);
    }
    return result;
}

Result<WatchAnswer> ObjectStore::eventsAfter(std::uint64_t from, std::string_view kind) const
{
    // Every change adds one event, so the retained ones are consecutive and end at version_.
    const std::uint64_t oldest = version_ - events_.size();
    if (from < oldest || from > version_)
        return makeError(ErrorCode::VersionTooOld,
                         "version " + std::to_string(from) + " is outside the retained range "
                             + std::to_string(oldest) + " to " + std::to_string(version_));
    WatchAnswer answer{version_, {}};
    std::size_t bytes = 0;
    for (std::size_t i = from - oldest; i < events_.size(); ++i) {
        const ObjectEvent &event = events_[i];
        if (!kind.empty() && event.object->kind != kind)
            continue;
        bytes += event.object->object.size();
        if (bytes > maxWatchAnswerBytes) {
            answer.version = event.object->version - 1;
            break;
        }
        answer.events.push_back(event);
    }
    return answer;
}

void ObjectStore::append(ObjectEvent event)
{
    version_ = event.object->version;
    events_.push_back(std::move(event));
    if (events_.size() > eventHistory_)
        events_.pop_front();
}

} // namespace pistachiowood::platform
