#include "clementinebeam/gateway/gatewaymodule.h"
#include "clementinebeam/kernel/kernel.h"
#include "internal/gateway.h"

#include <boost/asio/io_context.hpp>

namespace clementinebeam {

namespace {

/// Runs the gateway on the event loop that the process provides.
class gateway_module : public i_module
{
public:
    std::string_view name() const override { return "gateway"; }
    int level() const override { return 50; }

    std::error_code registerServices(service_registry &services) override
    {
        services.provide<i_gateway_control>(m_control);
        return {};
    }

    std::error_code start(service_registry &services) override
    {
        const auto context = services.find<boost::asio::io_context>();
        const auto settings = services.find<const gateway_settings>();
        m_store = services.find<i_cluster_store>();
        m_format = services.find<i_message_format>();
        if (!context || !settings || !m_store || !m_format)
            return error_kind::InvalidSettings;
        m_gateway = std::make_unique<gateway>(*context, *settings, *m_store, *m_format);
        m_control->setGateway(m_gateway.get());
        return m_gateway->start();
    }

private:
    /// Forwards stop() to the gateway once it has been started.
    class gateway_control : public i_gateway_control
    {
    public:
        void setGateway(gateway *instance) { m_instance = instance; }

        void stop(std::function<void()> done) override
        {
            if (m_instance)
                m_instance->stop(std::move(done));
            else
                done();
        }

    private:
        gateway *m_instance = nullptr;
    };

    std::shared_ptr<gateway_control> m_control = std::make_shared<gateway_control>();
    std::shared_ptr<i_cluster_store> m_store;
    std::shared_ptr<i_message_format> m_format;
    std::unique_ptr<gateway> m_gateway;
};

const module_registration<gateway_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
