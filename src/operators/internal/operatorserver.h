#pragma once

#include "clementinebeam/controlplane/icontrolplane.h"
#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/http/httpserver.h"
#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/observability/iaudittrail.h"
#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/peering/ipeertransport.h"
#include "internal/authenticator.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json_fwd.hpp>

namespace clementinebeam {

/// Services that the operator interface depends on.
struct operator_services {
    std::shared_ptr<i_control_plane> controlPlane;
    std::shared_ptr<i_routing_table> routingTable;
    std::shared_ptr<i_peer_transport> peers;
    std::shared_ptr<i_audit_trail> audit;
    std::shared_ptr<i_metrics> metrics;
};

/// Operator interface over HTTP with JSON, on its own listener.
class operator_server
{
public:
    /// @param self this instance.
    /// @param settings settings of the daemon: listener address, certificate and departments.
    /// @param services services to query and change.
    operator_server(const incarnation_id &self, const daemon_settings &settings,
                    operator_services services);

    /// Starts listening.
    /// @return an error if the listener cannot be started.
    std::error_code start() { return m_server.start(); }

    /// Makes the readiness check fail; requests are still answered.
    void drain() { m_draining = true; }

    /// Waits for requests in flight, then closes the listener.
    void stop() { m_server.stop(); }

private:
    struct route;
    using handler = http_response (operator_server::*)(const http_request &,
                                                       const department_settings &);

    static const std::vector<route> &routes();

    http_response handle(const http_request &request);
    http_response readiness() const;
    http_response getStatus(const http_request &request, const department_settings &department);
    http_response getServices(const http_request &request, const department_settings &department);
    http_response getSlots(const http_request &request, const department_settings &department);
    http_response getInstances(const http_request &request, const department_settings &department);
    http_response getConfiguration(const http_request &request,
                                   const department_settings &department);
    http_response getHistory(const http_request &request, const department_settings &department);
    http_response getAudit(const http_request &request, const department_settings &department);
    http_response postPatch(const http_request &request, const department_settings &department);
    http_response postConfirmLost(const http_request &request,
                                  const department_settings &department);
    nlohmann::json queryVersion(const listing &entry) const;
    record_id makeRecordId();

    incarnation_id m_self;
    daemon_settings m_settings;
    operator_services m_services;
    authenticator m_authenticator;
    std::mutex m_randomMutex;
    random_source m_random;
    std::atomic<bool> m_draining{false};
    http_server m_server;
};

} // namespace clementinebeam
