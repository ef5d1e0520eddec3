#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/kernel/kernel.h"
#include "internal/asiopeertransport.h"

namespace clementinebeam {

namespace {

/// Provides the transport of messages between instances.
class peering_module : public i_module
{
public:
    std::string_view name() const override { return "peering"; }
    int level() const override { return 30; }

    std::error_code registerServices(service_registry &services) override
    {
        const auto settings = services.find<const daemon_settings>();
        const auto self = services.find<const incarnation_id>();
        m_transport = std::make_shared<asio_peer_transport>(
                *self, settings->peerListener, settings->peerKey, services.find<i_metrics>());
        services.provide<i_peer_transport>(m_transport);
        return {};
    }

    std::error_code start(service_registry &) override { return m_transport->start(); }
    void stop() override { m_transport->stop(); }

private:
    std::shared_ptr<asio_peer_transport> m_transport;
};

const module_registration<peering_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
