#ifndef PISTACHIOWOOD_TAKEOVER_PLATFORM_STORE_H
#define PISTACHIOWOOD_TAKEOVER_PLATFORM_STORE_H

#include "gateway/deployment.h"

#include <pistachiowood/clock.h>
#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pistachiowood {

/// Groups of objects that the platform's store keeps for this system.
enum class ObjectGroup {
    Configuration, ///< written by the operators
    Endpoints, ///< written by the endpoints
    Records, ///< written by the daemons: service, duty and member records
};

inline constexpr std::size_t objectGroupCount = 3;

struct StoredItem
{
    std::string name;
    ResourceVersion version;
    std::string text; ///< JSON
};

/// All objects of a group at one version of the store.
struct GroupSnapshot
{
    ResourceVersion version;
    std::vector<StoredItem> items;
};

/// What a daemon passes on of a group: everything, or what is newer than the receiver's copy.
struct GroupCopy
{
    ObjectGroup group = ObjectGroup::Configuration;
    ResourceVersion version;
    std::optional<ResourceVersion> since; ///< unset: the copy holds every object
    std::vector<StoredItem> items;
    std::vector<std::string> removed; ///< names of objects that are gone since
};

struct GroupChange
{
    StoredItem item;
    bool deleted = false;
};

/// Changes of a group up to one version of the store.
struct GroupChanges
{
    ResourceVersion version;
    std::vector<GroupChange> changes;
};

/// Why a store call had no result.
enum class StoreFailure {
    Refused, ///< the store did nothing
    NoAnswer, ///< the call may be executed, even later
    HistoryGone, ///< a watch must start again with a list
    Conflict, ///< another change came first
    NotFound,
};

template <typename T>
using StoreOutcome = std::variant<T, StoreFailure>;

/// The platform's store as the control thread uses it; callbacks run in that thread.
class PlatformStore
{
public:
    template <typename T>
    using Callback = std::function<void(StoreOutcome<T>)>;

    virtual ~PlatformStore() = default;
    virtual void list(ObjectGroup group, Milliseconds timeout,
                      Callback<GroupSnapshot> callback) = 0;
    /// Answers at the first change after the version, or empty after `wait`.
    virtual void watch(ObjectGroup group, ResourceVersion from, Milliseconds wait,
                       Milliseconds timeout, Callback<GroupChanges> callback) = 0;
    /// The same as a watch, while one is waiting; one check of a group at a time.
    virtual void check(ObjectGroup group, ResourceVersion from, Milliseconds wait,
                       Milliseconds timeout, Callback<GroupChanges> callback) = 0;
    /// Replaces a record of that version; without a version, creates it.
    virtual void putRecord(const std::string &name, std::optional<ResourceVersion> expected,
                           const std::string &text, Milliseconds timeout,
                           Callback<ResourceVersion> callback) = 0;
    /// Deletes a record of that version.
    virtual void deleteRecord(const std::string &name, ResourceVersion expected,
                              Milliseconds timeout, Callback<ResourceVersion> callback) = 0;

    virtual Result<DeploymentConfiguration> decodeConfiguration(const StoredItem &item) = 0;
    /// The error says why the entry names no endpoint that can be used.
    virtual Result<EndpointEntry> decodeEndpoint(const StoredItem &item) = 0;
};

enum class PromotionOutcome {
    Accepted, ///< the endpoint becomes or is the primary
    NotRunning, ///< the platform cannot promote this endpoint
    Refused, ///< nothing was done; try again
    NoAnswer, ///< the promotion may take effect
};

/// Orders the platform to make an endpoint the primary of its service.
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
