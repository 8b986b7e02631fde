#include "daemon/service_supervisor.h"

#include <utility>

namespace pistachiowood {

namespace {

ProbeFailure probeFailureOf(EndpointControlClient::Failure failure)
{
    switch (failure) {
    case EndpointControlClient::Failure::Refused:
        return ProbeFailure::Refused;
    case EndpointControlClient::Failure::Timeout:
        return ProbeFailure::Timeout;
    default:
        return ProbeFailure::Other;
    }
}

} // namespace

ServiceSupervisor::ServiceSupervisor(SupervisorContext &context, ServiceName service, VmId self,
                                     ZoneName zone, const Clock &clock, RandomSource &random,
                                     const ControllerSettings &settings)
    : context_(context)
    , service_(service)
    , controller_(std::move(service), std::move(self), std::move(zone), clock, random, settings)
{
}

void ServiceSupervisor::setGroup(const std::vector<GroupMember> &members,
                                 std::map<EndpointId, SocketAddress> addresses)
{
    addresses_ = std::move(addresses);
    controller_.setGroup(members);
    runCommands();
}

void ServiceSupervisor::setRank(std::optional<unsigned> rank)
{
    controller_.setRank(rank);
    runCommands();
}

void ServiceSupervisor::handleServiceStatus(const ServiceStatus &status, StatusSource source)
{
    controller_.handleServiceStatus(status, source);
    runCommands();
}

bool ServiceSupervisor::requestSwitchover(std::string_view reason)
{
    const bool accepted = controller_.requestSwitchover(reason);
    runCommands();
    return accepted;
}

std::optional<bool> ServiceSupervisor::answerConfirmation(const EndpointId &endpoint) const
{
    return controller_.answerConfirmation(endpoint);
}

void ServiceSupervisor::tick()
{
    controller_.tick();
    runCommands();
}

void ServiceSupervisor::runCommands()
{
    // A command may report its result synchronously and call this again; the outermost call then
    // runs the commands that follow.
    if (std::exchange(running_, true))
        return;
    for (auto commands = controller_.takeCommands(); !commands.empty();
         commands = controller_.takeCommands()) {
        for (const PrimaryCommand &command : commands)
            std::visit([this](const auto &typed) { run(typed); }, command);
    }
    running_ = false;
}

const SocketAddress *ServiceSupervisor::findAddress(const EndpointId &endpoint) const
{
    const auto found = addresses_.find(endpoint);
    return found == addresses_.end() ? nullptr : &found->second;
}

EndpointControlClient::Callback ServiceSupervisor::deliverTo(MemberHandler handler,
                                                             const EndpointId &endpoint, Term term)
{
    return [weak = weak_from_this(), handler, endpoint, term](const auto &outcome) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (const auto *answer = std::get_if<EndpointControlClient::Answer>(&outcome))
            (self->controller_.*handler)(endpoint, term,
                                         MemberAnswer{answer->accepted, answer->status});
        else
            (self->controller_.*handler)(
                endpoint, term, probeFailureOf(std::get<EndpointControlClient::Failure>(outcome)));
        self->runCommands();
    };
}

void ServiceSupervisor::run(const ProbeEndpoint &command)
{
    const SocketAddress *address = findAddress(command.endpoint);
    if (!address)
        return;
    context_.controlClient().probe(
        *address, command.timeout,
        [weak = weak_from_this(), endpoint = command.endpoint](const auto &outcome) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (const auto *answer = std::get_if<EndpointControlClient::Answer>(&outcome)) {
                self->context_.observeReport(endpoint, answer->status.report);
                self->controller_.handleStatus(endpoint, answer->status, answer->latency);
            } else {
                self->controller_.handleStatus(
                    endpoint, probeFailureOf(std::get<EndpointControlClient::Failure>(outcome)),
                    Milliseconds(0));
            }
            self->runCommands();
        });
}

void ServiceSupervisor::run(const AskConfirmation &command)
{
    context_.askConfirmation(
        service_, command.endpoint,
        [weak = weak_from_this()](const VmId &vm, const ZoneName &zone, bool reachable) {
            if (const auto self = weak.lock()) {
                self->controller_.handleConfirmation(vm, zone, reachable);
                self->runCommands();
            }
        });
}

void ServiceSupervisor::run(const RaiseTerm &command)
{
    if (const SocketAddress *address = findAddress(command.endpoint))
        context_.controlClient().raiseTerm(
            *address, command.term, command.promoter,
            deliverTo(&PrimaryController::handleRaiseResult, command.endpoint, command.term));
}

void ServiceSupervisor::run(const PromoteEndpoint &command)
{
    if (const SocketAddress *address = findAddress(command.endpoint))
        context_.controlClient().promote(
            *address, command.term, command.promoter,
            deliverTo(&PrimaryController::handlePromoteResult, command.endpoint, command.term));
}

void ServiceSupervisor::run(const FollowPrimary &command)
{
    const SocketAddress *address = findAddress(command.endpoint);
    const SocketAddress *primary = findAddress(command.primary);
    if (address && primary)
        context_.controlClient().follow(
            *address, command.term, command.primary, *primary,
            deliverTo(&PrimaryController::handleFollowResult, command.endpoint, command.term));
}

void ServiceSupervisor::run(const PublishStatus &command)
{
    context_.publishStatus(command.status, [weak = weak_from_this(),
                                            term = command.status.term](PublishResult result) {
        if (const auto self = weak.lock()) {
            self->controller_.handlePublishResult(term, result);
            self->runCommands();
        }
    });
}

void ServiceSupervisor::run(const AnnounceStatus &command)
{
    context_.announceStatus(command.status);
}

// Admission is not stopped on other daemons: endpoints refuse statements of the old term once the
// term is raised, so a planned switchover only costs the writes in flight a retry.
void ServiceSupervisor::run(const StopAdmission &) {}

void ServiceSupervisor::run(const ResumeAdmission &) {}

} // namespace pistachiowood
