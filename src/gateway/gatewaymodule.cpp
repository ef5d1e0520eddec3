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
        m_control->attach(m_gateway.get());
        return m_gateway->start();
    }

private:
    /// Hands the end of the process to the gateway.
    class control : public i_gateway_control
    {
    public:
        void attach(gateway *target) { m_target = target; }

        void stop(std::function<void()> done) override
        {
            if (m_target)
                m_target->stop(std::move(done));
            else
                done();
        }

    private:
        gateway *m_target = nullptr;
    };

    std::shared_ptr<control> m_control = std::make_shared<control>();
    std::shared_ptr<i_cluster_store> m_store;
    std::shared_ptr<i_message_format> m_format;
    std::unique_ptr<gateway> m_gateway;
};

const module_registration<gateway_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
