#ifndef PISTACHIOWOOD_TAKEOVER_PLATFORM_STORE_H
#define PISTACHIOWOOD_TAKEOVER_PLATFORM_STORE_H

#include "gateway/deployment.h"
#include "takeover/store_version.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Groups of objects in the platform's store.
enum class ObjectGroup {
    Configuration, ///< written by the operators
    Endpoints, ///< written by the endpoints
    Records, ///< written by the daemons: primary, promotion lease and member records
};

inline constexpr std::size_t objectGroupCount = 3;

/// One object of a group, in the store's encoding.
struct StoredItem
{
    std::string name;
    ItemVersion version;
    std::string text; ///< JSON
};

/// All objects of a group at one version of the store.
struct GroupSnapshot
{
    StoreVersion version;
    std::vector<StoredItem> items;
};

/// State of a daemon's copy of a group, to find out what a peer lacks.
struct ReplicaState
{
    StoreVersion content; ///< version of the store at which the objects last changed
    std::uint64_t carried = 0; ///< digest of the objects kept from earlier eras; 0 without any

    friend bool operator==(const ReplicaState &, const ReplicaState &) = default;
};

/// Copy of a group that one daemon sends to another: all objects, or those that changed after the
/// receiver's version.
struct GroupCopy
{
    ObjectGroup group = ObjectGroup::Configuration;
    StoreVersion version;
    std::optional<StoreVersion> since; ///< unset: the copy holds every object
    std::vector<StoredItem> items; ///< as the store holds them
    std::vector<std::string> removed; ///< names of objects removed after `since`
    std::vector<StoredItem> carried; ///< objects of earlier eras that the store has lost
    /// Digests of further objects, which the receiver holds unless it missed them in its era.
    std::vector<std::uint64_t> known;
};

struct GroupChange
{
    StoredItem item;
    bool deleted = false;
};

/// Changes of a group up to one version of the store.
struct GroupChanges
{
    StoreVersion version;
    std::vector<GroupChange> changes;
};

/// Why a call to the store has no result.
enum class StoreFailure {
    Refused, ///< the store did not execute the call
    NoAnswer, ///< unknown outcome: the call may have been executed, or may be later
    HistoryGone, ///< changes since the version are no longer kept; list again
    Conflict, ///< the record has another version than expected
    NotFound,
};

template <typename T>
using StoreOutcome = std::variant<T, StoreFailure>;

/// Interface of the control thread to the platform's store. Callbacks run in that thread.
class PlatformStore
{
public:
    template <typename T>
    using Callback = std::function<void(StoreOutcome<T>)>;

    virtual ~PlatformStore() = default;
    virtual void list(ObjectGroup group, Milliseconds timeout,
                      Callback<GroupSnapshot> callback) = 0;
    /// Answers with the changes after the revision as soon as there are any, or with none after
    /// `wait`. The answer may be of another era than `from`. At most one watch of a group may be
    /// open.
    virtual void watch(ObjectGroup group, StoreVersion from, Milliseconds wait,
                       Milliseconds timeout, Callback<GroupChanges> callback) = 0;
    /// Ends the open watch of the group, if any; its callback will not run.
    virtual void cancelWatch(ObjectGroup group) = 0;
    /// Like watch(), but can be called while a watch of the group is waiting. At most one check of
    /// a group may be open.
    virtual void check(ObjectGroup group, StoreVersion from, Milliseconds wait,
                       Milliseconds timeout, Callback<GroupChanges> callback) = 0;
    /// Replaces the record if it has the expected revision; without one, creates it. The answer
    /// may be of another era than `expected`.
    virtual void putRecord(const std::string &name, std::optional<StoreVersion> expected,
                           const std::string &text, Milliseconds timeout,
                           Callback<StoreVersion> callback) = 0;
    /// Deletes the record if it has the expected revision.
    virtual void deleteRecord(const std::string &name, StoreVersion expected, Milliseconds timeout,
                              Callback<StoreVersion> callback) = 0;

    virtual Result<DeploymentConfiguration> decodeConfiguration(const StoredItem &item) = 0;
    /// Fails if the entry does not describe a usable endpoint.
    virtual Result<EndpointEntry> decodeEndpoint(const StoredItem &item) = 0;
};

/// Result of a promotion requested from the platform.
enum class PromotionOutcome {
    Accepted, ///< the endpoint is the primary or is about to be
    NotPromotable, ///< the platform cannot promote this endpoint; choose another
    Refused, ///< the platform did nothing; can be retried
    NoAnswer, ///< unknown outcome: the promotion may still take effect
};

/// Requests the platform to promote an endpoint to the primary of its service.
class PromotionService
{
public:
    virtual ~PromotionService() = default;
    virtual void promote(const ServiceName &service, const EndpointId &endpoint, const VmId &holder,
                         std::uint64_t fencingToken, Milliseconds timeout,
                         std::function<void(PromotionOutcome)> callback) = 0;
};

} // namespace pistachiowood

#endif
