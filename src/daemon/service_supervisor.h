#ifndef PISTACHIOWOOD_DAEMON_SERVICE_SUPERVISOR_H
#define PISTACHIOWOOD_DAEMON_SERVICE_SUPERVISOR_H

#include "configuration/configuration_store.h"
#include "endpoints/endpoint_control_client.h"
#include "primary/primary_controller.h"

#include <functional>
#include <map>
#include <memory>

namespace pistachiowood {

/// Operations of the control plane that a supervisor uses.
class SupervisorContext
{
public:
    virtual ~SupervisorContext() = default;
    virtual EndpointControlClient &controlClient() = 0;
    /// Stores the status on the platform unless it holds an equal or newer term.
    virtual void publishStatus(const ServiceStatus &status,
                               std::function<void(PublishResult)> callback) = 0;
    /// Applies the status here and sends it to the other daemons.
    virtual void announceStatus(const ServiceStatus &status) = 0;
    using Confirmation = std::function<void(const VmId &, const ZoneName &, bool reachable)>;
    /// Asks the other responsible daemons whether they reach the endpoint.
    virtual void askConfirmation(const ServiceName &service, const EndpointId &endpoint,
                                 Confirmation callback) = 0;
    virtual void observeReport(const EndpointId &endpoint, const EndpointReport &report) = 0;
};

/// Runs the primary controller of one service: executes its commands and passes it the results.
class ServiceSupervisor : public std::enable_shared_from_this<ServiceSupervisor>
{
public:
    ServiceSupervisor(SupervisorContext &context, ServiceName service, VmId self, ZoneName zone,
                      const Clock &clock, RandomSource &random, const ControllerSettings &settings);

    void setGroup(const std::vector<GroupMember> &members,
                  std::map<EndpointId, SocketAddress> addresses);
    void setRank(std::optional<unsigned> rank);
    void handleServiceStatus(const ServiceStatus &status, StatusSource source);
    bool requestSwitchover(std::string_view reason);
    std::optional<bool> answerConfirmation(const EndpointId &endpoint) const;
    void tick();

    const PrimaryController &controller() const { return controller_; }

private:
    using MemberHandler = void (PrimaryController::*)(const EndpointId &, Term,
                                                      const MemberResult &);

    void runCommands();
    void run(const ProbeEndpoint &command);
    void run(const AskConfirmation &command);
    void run(const RaiseTerm &command);
    void run(const PromoteEndpoint &command);
    void run(const FollowPrimary &command);
    void run(const PublishStatus &command);
    void run(const AnnounceStatus &command);
    void run(const StopAdmission &command);
    void run(const ResumeAdmission &command);
    const SocketAddress *findAddress(const EndpointId &endpoint) const;
    EndpointControlClient::Callback deliverTo(MemberHandler handler, const EndpointId &endpoint,
                                              Term term);

    SupervisorContext &context_;
    ServiceName service_;
    PrimaryController controller_;
    std::map<EndpointId, SocketAddress> addresses_;
    bool running_ = false;
};

} // namespace pistachiowood

#endif
