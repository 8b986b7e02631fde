#include "administration/change_history.h"

#include "administration/change_validation.h"
#include "base/json.h"

#include <map>
#include <utility>

namespace pistachiowood {

namespace json = boost::json;

namespace {

using ObjectKey = std::pair<ObjectKind, std::string>;

/// Type-erased pointer to an object of a view, with the function that encodes it.
struct ObjectRef
{
    const void *address = nullptr;
    std::string (*encode)(const void *) = nullptr;
};
using ObjectIndex = std::map<ObjectKey, ObjectRef>;

template <typename T>
void addObject(ObjectIndex &index, const std::shared_ptr<const T> &object)
{
    const ObjectRef ref{object.get(), [](const void *address) {
                            return encodeObject(ObjectValue(*static_cast<const T *>(address)));
                        }};
    const ObjectValue value(*object);
    index.emplace(ObjectKey(kindOf(value), objectName(value)), ref);
}

ObjectIndex indexObjects(const ConfigurationView &view)
{
    ObjectIndex index;
    const auto addAll = [&index](const auto &objects) {
        for (const auto &[name, object] : objects)
            addObject(index, object);
    };
    addAll(view.services);
    addAll(view.proxies);
    addAll(view.teams);
    addAll(view.statuses);
    for (const auto &[service, group] : view.endpointsByService) {
        for (const auto &endpoint : group)
            addObject(index, endpoint);
    }
    return index;
}

json::object encodeFields(const ObjectIndex &index, const ObjectKey &key)
{
    const auto found = index.find(key);
    if (found == index.end())
        return {};
    const auto parsed =
        capture([&] { return parseJsonObject(found->second.encode(found->second.address)); });
    const auto *object = std::get_if<json::object>(&parsed);
    return object ? *object : json::object();
}

} // namespace

void ChangeHistory::observe(const std::shared_ptr<const ConfigurationView> &view,
                            const ObjectLookup &find)
{
    if (view == lastView_)
        return;
    const auto previous = std::exchange(lastView_, view);
    // Until the first list arrives, the store holds an empty view of version 0, which is no
    // baseline.
    if (!previous || previous->version.value() == 0) {
        baselineVersion_ = view->version;
        return;
    }
    const ObjectIndex before = indexObjects(*previous);
    const ObjectIndex after = indexObjects(*view);
    const auto record = [&](const ObjectKey &key) {
        HistoryEntry entry{key.first,
                           key.second,
                           view->version,
                           "",
                           !after.contains(key),
                           diffObjects(encodeFields(before, key), encodeFields(after, key))};
        if (const StoredObject *stored = find(key.first, key.second); stored && !entry.deleted) {
            entry.version = stored->version;
            entry.operationId = stored->operationId;
        }
        entries_.push_back(std::move(entry));
    };
    for (const auto &[key, ref] : after) {
        // Views share unchanged objects, so a different address means a changed object.
        const auto previousRef = before.find(key);
        if (previousRef == before.end() || previousRef->second.address != ref.address)
            record(key);
    }
    for (const auto &[key, ref] : before) {
        if (!after.contains(key))
            record(key);
    }
    while (entries_.size() > maxHistoryEntries)
        entries_.pop_front();
}

std::vector<HistoryEntry> ChangeHistory::find(ObjectKind kind, const std::string &name) const
{
    std::vector<HistoryEntry> found;
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
        if (entry->kind == kind && entry->name == name)
            found.push_back(*entry);
    }
    return found;
}

} // namespace pistachiowood
