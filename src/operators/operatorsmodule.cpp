#include "clementinebeam/kernel/kernel.h"
#include "internal/operatorserver.h"

namespace clementinebeam {

namespace {

/// Runs the HTTP interface for operators.
class operators_module : public i_module
{
public:
    std::string_view name() const override { return "operators"; }
    int level() const override { return 60; }

    std::error_code registerServices(service_registry &) override { return {}; }

    std::error_code start(service_registry &services) override
    {
        m_server = std::make_unique<operator_server>(
                *services.find<const incarnation_id>(), *services.find<const daemon_settings>(),
                operator_services{services.find<i_control_plane>(),
                                  services.find<i_routing_table>(),
                                  services.find<i_peer_transport>(), services.find<i_audit_trail>(),
                                  services.find<i_metrics>()});
        return m_server->start();
    }

    void drain() override { m_server->drain(); }
    void stop() override { m_server->stop(); }

private:
    std::unique_ptr<operator_server> m_server;
};

const module_registration<operators_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
