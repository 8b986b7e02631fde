#ifndef PISTACHIOWOOD_ADMINISTRATION_ADMINISTRATION_API_H
#define PISTACHIOWOOD_ADMINISTRATION_ADMINISTRATION_API_H

#include "administration/administration_backend.h"
#include "administration/change_history.h"
#include "administration/change_validation.h"
#include "administration/credentials.h"
#include "base/json.h"
#include "net/http.h"
#include "net/request_target.h"
#include "routing/read_router.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pistachiowood {

/// HTTP API for operators. Runs in the control thread and performs no I/O itself.
class AdministrationApi
{
public:
    struct Settings
    {
        ValidationLimits limits;
        ReadRouter::Settings routing; ///< for explain; must equal those of the traffic plane
    };

    AdministrationApi(AdministrationBackend &backend, CredentialList credentials,
                      const Clock &clock, Settings settings);

    /// Authenticates and runs one request; responds at once, or once the platform has decided on a
    /// change.
    void handle(const HttpRequest &request, const HttpServer::Responder &respond);

    /// Records the change history; call after each change of the applied configuration.
    void handleConfiguration();
    /// Records an endpoint's report, from a probe or an answer, for status and explain.
    void observeReport(const EndpointId &endpoint, const EndpointReport &report);

private:
    /// Authenticated request.
    struct Call
    {
        Access access;
        RequestTarget target; ///< path without "v1"
        std::string body;
        HttpServer::Responder respond;
    };
    struct Change;
    using LocalAction = Result<boost::json::object> (AdministrationApi::*)(const Call &);
    using ChangeAction = Result<Change> (AdministrationApi::*)(const Call &);
    /// One operation; exactly one of the actions is set. A local action is answered by this daemon,
    /// a change is submitted to the platform.
    struct Route
    {
        std::string_view method;
        std::string_view path; ///< "*" matches any one segment
        LocalAction local = nullptr;
        ChangeAction change = nullptr;
    };
    static std::span<const Route> routes();

    Result<boost::json::object> listObjects(const Call &call);
    Result<boost::json::object> getObject(const Call &call);
    Result<boost::json::object> drainDaemon(const Call &call);
    Result<boost::json::object> showStatus(const Call &call);
    Result<boost::json::object> showInForce(const Call &call);
    Result<boost::json::object> showHistory(const Call &call);
    Result<boost::json::object> explainRead(const Call &call);

    Result<Change> putObject(const Call &call);
    Result<Change> patchObject(const Call &call);
    Result<Change> deleteObject(const Call &call);
    Result<Change> changeLabels(const Call &call);
    Result<Change> drainEndpoint(const Call &call);
    Result<Change> undrainEndpoint(const Call &call);

    void dispatch(const Route &route, const Call &call);
    Result<Change> prepareChange(const Call &call, ObjectKind kind, const std::string &name,
                                 std::optional<std::string> proposedJson);
    Result<Change> mergeFields(const Call &call, ObjectKind kind, const std::string &name,
                               const boost::json::object &patch);
    Result<void> checkExpectedVersion(const Call &call, Change &change) const;
    Result<void> checkAccess(const Call &call, const Change &change) const;
    void submit(const Call &call, const Change &change);

    Result<const StoredObject *> findVisible(const Call &call, ObjectKind kind,
                                             const std::string &name) const;
    bool isVisible(const Access &access, const StoredObject &object) const;
    boost::json::object describeService(const ServiceSpec &service, const ConfigurationView &view,
                                        const RoutingTable &table) const;
    boost::json::object describeEndpoint(const EndpointSpec &endpoint, const ServiceStatus *status,
                                         const ServiceRoutes *routes) const;
    boost::json::array describeDaemons() const;
    Result<Locality> findLocality(const Call &call) const;
    std::string explainRank(const EndpointRoute &route, const ServiceRoutes &routes,
                            const ReadRequirement &requirement, const Locality &locality) const;

    AdministrationBackend &backend_;
    CredentialList credentials_;
    Settings settings_;
    ReadRouter reads_;
    ChangeHistory history_;
    std::map<EndpointId, EndpointReport> reports_; ///< latest report of each endpoint
};

} // namespace pistachiowood

#endif
