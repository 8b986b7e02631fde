#ifndef PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_EXCHANGE_H
#define PISTACHIOWOOD_ALLOTMENTS_ALLOTMENT_EXCHANGE_H

#include "allotments/allotment_coordinator.h"
#include "allotments/coordinator_choice.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace pistachiowood {

/// Carries the needs of this daemon to the coordinators and acts as coordinator of its groups. Runs
/// in the control thread. Groups with the same coordinator share a message; this daemon's own
/// groups need none.
class AllotmentExchange
{
public:
    /// Grants of the groups that were answered, and the groups that were not. Called once for each
    /// coordinator.
    using Done =
        std::function<void(std::vector<GroupGrants> answered, std::vector<unsigned> failed)>;

    /// `process` must differ between the runs of a daemon.
    AllotmentExchange(VmId self, std::uint64_t process, AllotmentSettings settings,
                      const Clock &clock, AllotmentChannel &channel);
    ~AllotmentExchange();

    /// Sets the other members and their addresses.
    void setMembers(std::map<VmId, SocketAddress> others);
    void setCustomers(const std::shared_ptr<const CustomerDirectory> &customers);
    AllotmentAnswer handleRequest(const AllotmentRequest &request);
    void send(std::vector<GroupNeeds> needs, const Done &done);
    /// Takes over or resigns groups, and asks avoided members whether they answer again.
    void tick();
    const AllotmentCoordinator &coordinator() const { return coordinator_; }

private:
    void sendTo(const VmId &vm, std::vector<GroupNeeds> needs, const Done &done);
    void takeAnswer(const VmId &vm, const AllotmentAnswer &answer, std::vector<unsigned> groups,
                    const Done &done);
    void updateRoles();
    void noteFailure(const VmId &vm);

    VmId self_;
    std::uint64_t process_;
    const Clock &clock_;
    AllotmentChannel &channel_;
    std::map<VmId, SocketAddress> others_;
    CoordinatorChoice choice_;
    AllotmentCoordinator coordinator_;
    bool limited_ = false; ///< a customer is limited
    std::array<bool, allotmentGroupCount> active_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace pistachiowood

#endif
