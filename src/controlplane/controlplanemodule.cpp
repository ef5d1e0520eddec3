#include "clementinebeam/kernel/kernel.h"
#include "internal/controlplane.h"

namespace clementinebeam {

namespace {

/// Provides the control plane and the routing table as services.
class control_plane_module : public i_module
{
public:
    std::string_view name() const override { return "controlplane"; }
    int level() const override { return 40; }

    std::error_code registerServices(service_registry &services) override
    {
        m_controlPlane = std::make_shared<control_plane>(*services.find<const incarnation_id>(),
                                                         *services.find<const daemon_settings>());
        services.provide<i_control_plane>(m_controlPlane);
        services.provide<i_routing_table>(m_controlPlane->routes());
        return {};
    }

    std::error_code start(service_registry &services) override
    {
        m_controlPlane->start({services.find<i_log_client>(), services.find<i_instance_list>(),
                               services.find<i_peer_transport>(), services.find<i_target_client>(),
                               services.find<i_audit_trail>(), services.find<i_metrics>(),
                               services.find<i_quarantine>()});
        return {};
    }

    void drain() override { m_controlPlane->handOver(); }
    void stop() override { m_controlPlane->stop(); }

private:
    std::shared_ptr<control_plane> m_controlPlane;
};

const module_registration<control_plane_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
