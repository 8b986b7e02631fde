#ifndef PLATFORM_STANDIN_OBJECT_STORE_H
#define PLATFORM_STANDIN_OBJECT_STORE_H

#include <pistachiowood/error.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiowood::platform {

inline constexpr std::size_t maxObjectBytes = 1024 * 1024;
/// Bounds one watch answer; the rest follows with the next watch.
inline constexpr std::size_t maxWatchAnswerBytes = 8 * 1024 * 1024;

struct StoredObject
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string operationId;
    std::string object; ///< JSON text

    /// Stored form as JSON text.
    std::string encode() const;
};

using ObjectPointer = std::shared_ptr<const StoredObject>;

struct ObjectEvent
{
    bool deleted = false;
    ObjectPointer object; ///< for a deletion: the last value with the version of the deletion

    std::string encode() const;
};

/// Events newer than the asked version; `version` is the one to continue from.
struct WatchAnswer
{
    std::uint64_t version = 0;
    std::vector<ObjectEvent> events;
};

/// A change; expectedVersion 0 creates, any other value must match the object's version.
struct ObjectChange
{
    std::string kind;
    std::string name;
    std::uint64_t expectedVersion = 0;
    std::string operationId;
    std::string object; ///< JSON text; unused for a deletion
};

/// Versioned objects with conditional updates and a bounded event history. Holds no I/O.
class ObjectStore
{
public:
    explicit ObjectStore(std::size_t eventHistory)
        : eventHistory_(eventHistory)
    {
    }

    Result<ObjectPointer> put(ObjectChange change);
    /// Returns the version of the deletion.
    Result<std::uint64_t> remove(ObjectChange change);
    Result<ObjectPointer> get(std::string_view kind, std::string_view name) const;
    /// Version of the object; 0 if it does not exist.
    std::uint64_t versionOf(std::string_view kind, std::string_view name) const;
    /// An empty kind lists every object.
    std::vector<ObjectPointer> list(std::string_view kind) const;
    /// Fails with VersionTooOld when events after `from` are no longer retained, and when `from` is
    /// newer than the store, which happens after the stand-in was restarted.
    Result<WatchAnswer> eventsAfter(std::uint64_t from, std::string_view kind) const;
    std::uint64_t version() const { return version_; }

private:
    using Key = std::pair<std::string, std::string>;

    Result<void> checkVersion(const ObjectChange &change) const;
    void append(ObjectEvent event);

    std::size_t eventHistory_;
    std::uint64_t version_ = 0;
    std::map<Key, ObjectPointer> objects_;
    std::deque<ObjectEvent> events_;
};

} // namespace pistachiowood::platform

#endif
