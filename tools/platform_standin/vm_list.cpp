#include "platform_standin/vm_list.h"

namespace pistachiowood::platform {

namespace {

constexpr std::size_t maxChanges = 2000; // each change holds a copy of the list

} // namespace

void VmList::set(TimePoint now, const std::string &vm, VmEntry entry)
{
    VmMap vms = changes_.empty() ? VmMap() : changes_.back().vms;
    vms.insert_or_assign(vm, std::move(entry));
    append(now, std::move(vms));
}

bool VmList::remove(TimePoint now, const std::string &vm)
{
    VmMap vms = changes_.empty() ? VmMap() : changes_.back().vms;
    if (vms.erase(vm) == 0)
        return false;
    append(now, std::move(vms));
    return true;
}

VmMap VmList::at(TimePoint time) const
{
    for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
        if (change->time <= time)
            return change->vms;
    }
    return {};
}

void VmList::append(TimePoint now, VmMap vms)
{
    changes_.push_back({now, std::move(vms)});
    if (changes_.size() > maxChanges)
        changes_.pop_front();
}

} // namespace pistachiowood::platform
