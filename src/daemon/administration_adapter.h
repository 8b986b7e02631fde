#ifndef PISTACHIOWOOD_DAEMON_ADMINISTRATION_ADAPTER_H
#define PISTACHIOWOOD_DAEMON_ADMINISTRATION_ADAPTER_H

#include "administration/administration_backend.h"
#include "daemon/control_plane.h"

#include <functional>

namespace pistachiowood {

/// Gives the administration API access to the control plane; used only in the control thread.
class AdministrationAdapter final : public AdministrationBackend
{
public:
    /// `drain` starts the daemon's graceful shutdown, as SIGTERM does.
    AdministrationAdapter(ControlPlane &control, std::function<void()> drain);

    std::shared_ptr<const ConfigurationView> view() const override;
    std::vector<StoredObject> objects() const override;
    const StoredObject *find(ObjectKind kind, const std::string &name) const override;
    MemberRecord self() const override;
    std::vector<MemberRecord> members() const override;
    ResourceVersion lowestAppliedVersion() const override;
    bool isPlatformReachable() const override;
    std::shared_ptr<const RoutingTable> routingTable() const override;
    std::optional<Assessment> assessService(const ServiceName &service) const override;
    void submitChange(ChangeRequest change, ChangeCallback callback) override;
    void drainDaemon() override;

private:
    ControlPlane &control_;
    std::function<void()> drain_;
};

} // namespace pistachiowood

#endif
