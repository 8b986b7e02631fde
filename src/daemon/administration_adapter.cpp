#include "daemon/administration_adapter.h"

#include <utility>

namespace pistachiowood {

AdministrationAdapter::AdministrationAdapter(ControlPlane &control, std::function<void()> drain)
    : control_(control)
    , drain_(std::move(drain))
{
}

std::shared_ptr<const ConfigurationView> AdministrationAdapter::view() const
{
    return control_.store().view();
}

std::vector<StoredObject> AdministrationAdapter::objects() const
{
    return control_.store().snapshot().items;
}

const StoredObject *AdministrationAdapter::find(ObjectKind kind, const std::string &name) const
{
    return control_.store().find(kind, name);
}

MemberRecord AdministrationAdapter::self() const
{
    return control_.self();
}

std::vector<MemberRecord> AdministrationAdapter::members() const
{
    return control_.members();
}

ResourceVersion AdministrationAdapter::lowestAppliedVersion() const
{
    return control_.lowestAppliedVersion();
}

bool AdministrationAdapter::isPlatformReachable() const
{
    return control_.platformAnswers();
}

std::shared_ptr<const RoutingTable> AdministrationAdapter::routingTable() const
{
    return control_.routingTable();
}

std::optional<Assessment> AdministrationAdapter::assessService(const ServiceName &service) const
{
    return control_.assessService(service);
}

void AdministrationAdapter::submitChange(ChangeRequest change, ChangeCallback callback)
{
    control_.submitChange(std::move(change), std::move(callback));
}

void AdministrationAdapter::drainDaemon()
{
    drain_();
}

} // namespace pistachiowood
