#ifndef PISTACHIOWOOD_ADMINISTRATION_ADMINISTRATION_BACKEND_H
#define PISTACHIOWOOD_ADMINISTRATION_ADMINISTRATION_BACKEND_H

#include "configuration/change_tracker.h"
#include "configuration/configuration_store.h"
#include "membership/membership.h"
#include "primary/failure_detector.h"
#include "routing/routing_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace pistachiowood {

/// Interface to the daemon that runs the administration API.
class AdministrationBackend
{
public:
    using ChangeCallback = std::function<void(const ChangeResult &)>;

    virtual ~AdministrationBackend() = default;

    /// Configuration that this daemon has applied.
    virtual std::shared_ptr<const ConfigurationView> view() const = 0;
    virtual std::vector<StoredObject> objects() const = 0;
    virtual const StoredObject *find(ObjectKind kind, const std::string &name) const = 0;

    virtual MemberRecord self() const = 0;
    /// All known members, including this daemon.
    virtual std::vector<MemberRecord> members() const = 0;
    /// Lowest version that all live members have applied.
    virtual ResourceVersion lowestAppliedVersion() const = 0;
    virtual bool isPlatformReachable() const = 0;
    virtual std::shared_ptr<const RoutingTable> routingTable() const = 0;
    /// nullopt when this daemon does not monitor the service's primary.
    virtual std::optional<Assessment> assessService(const ServiceName &service) const = 0;

    virtual void submitChange(ChangeRequest change, ChangeCallback callback) = 0;
    /// Starts the graceful shutdown of this daemon.
    virtual void drainDaemon() = 0;
};

} // namespace pistachiowood

#endif
