#ifndef PLATFORM_STANDIN_VM_LIST_H
#define PLATFORM_STANDIN_VM_LIST_H

#include <pistachiowood/clock.h>

#include <deque>
#include <map>
#include <string>

namespace pistachiowood::platform {

struct VmEntry
{
    std::string zone;
    std::string region;
    bool leaving = false;
    std::string address; ///< control address; empty when unknown
};

using VmMap = std::map<std::string, VmEntry>;

/// List of VMs as it was some time ago.
class VmList
{
public:
    void set(TimePoint now, const std::string &vm, VmEntry entry);
    /// Returns false when the VM is not in the list.
    bool remove(TimePoint now, const std::string &vm);
    /// State at the given time; empty before the first change.
    VmMap at(TimePoint time) const;

private:
    struct Change
    {
        TimePoint time;
        VmMap vms;
    };

    void append(TimePoint now, VmMap vms);

    std::deque<Change> changes_; // ascending times
};

} // namespace pistachiowood::platform

#endif
