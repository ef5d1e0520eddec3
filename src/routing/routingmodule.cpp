#include "clementinebeam/kernel/kernel.h"
#include "internal/gateway.h"
#include "internal/quarantine.h"

namespace clementinebeam {

namespace {

/// Provides the quarantine and runs the gateway that serves callers.
class routing_module : public i_module
{
public:
    std::string_view name() const override { return "routing"; }
    int level() const override { return 50; }

    std::error_code registerServices(service_registry &services) override
    {
        services.provide<i_quarantine>(std::make_shared<quarantine>());
        return {};
    }

    std::error_code start(service_registry &services) override
    {
        const auto settings = services.find<const daemon_settings>();
        const auto plane = services.find<i_control_plane>();
        m_router = std::make_unique<request_router>(
                *services.find<const incarnation_id>(),
                router_services{services.find<i_routing_table>(), plane,
                                services.find<i_target_client>(), services.find<i_peer_transport>(),
                                services.find<i_quarantine>(), services.find<i_metrics>(),
                                settings->connectionsPerTarget});
        m_router->start();
        m_gateway =
                std::make_unique<gateway>(*settings, *m_router, plane, services.find<i_metrics>());
        return m_gateway->start();
    }

    void drain() override { m_gateway->drain(); }

    void stop() override
    {
        m_gateway->stop();
        m_router->stop();
    }

private:
    std::unique_ptr<request_router> m_router;
    std::unique_ptr<gateway> m_gateway;
};

const module_registration<routing_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
