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

/// HTTP interface for operators. Runs in the control thread and performs no I/O itself.
class AdministrationApi
{
public:
    struct Settings
    {
        ValidationLimits limits;
        ReadRouter::Settings routing; ///< for explain; the same as the traffic side's
    };

    AdministrationApi(AdministrationBackend &backend, CredentialList credentials,
                      const Clock &clock, Settings settings);

    void handle(const HttpRequest &request, const HttpServer::Responder &respond);

    /// Call after each change of the applied configuration; records the history.
    void handleConfiguration();
    /// Records what a probe or answer showed; status and explain use it.
    void observeReport(const EndpointId &endpoint, const EndpointReport &report);

private:
    struct Call
    {
        Access access;
        RequestTarget target; ///< path without "v1"
        std::string body;
        HttpServer::Responder respond;
    };
    struct Change;
    using ReadAction = Result<boost::json::object> (AdministrationApi::*)(const Call &);
    using ChangeAction = Result<Change> (AdministrationApi::*)(const Call &);
    /// One operation; exactly one of the actions is set.
    struct Route
    {
        std::string_view method;
        std::string_view path; ///< "*" stands for any one segment
        ReadAction read = nullptr;
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
    Result<void> checkExpected(const Call &call, Change &change) const;
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
    std::string explainPlace(const EndpointRoute &route, const ServiceRoutes &routes,
                             const ReadRequirement &requirement, const Locality &locality) const;

    AdministrationBackend &backend_;
    CredentialList credentials_;
    Settings settings_;
    ReadRouter reads_;
    ChangeHistory history_;
    std::map<EndpointId, EndpointReport> reports_; ///< latest of each endpoint
};

} // namespace pistachiowood

#endif
