#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/kernel/kernel.h"
#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/observability/logline.h"
#include "internal/httpinstancelist.h"
#include "internal/httplogclient.h"

namespace clementinebeam {

namespace {

/// Provides clients of the platform's log service and instance list.
class native_log_module : public i_module
{
public:
    std::string_view name() const override { return "nativelog"; }
    int level() const override { return 20; }

    std::error_code registerServices(service_registry &services) override
    {
        const auto settings = services.find<const daemon_settings>();
        m_log = std::make_shared<http_log_client>(settings->platformAddress);
        m_instances = std::make_shared<http_instance_list>(settings->platformAddress);
        services.provide<i_log_client>(m_log);
        services.provide<i_instance_list>(m_instances);
        return {};
    }

    std::error_code start(service_registry &services) override
    {
        const auto metrics = services.find<i_metrics>();
        const auto reportFrom = [metrics](std::string_view source) {
            return [metrics, source](const std::error_code &reason) {
                log_line(log_level::Warning, "answer_broken")
                        .add("source", source)
                        .add("reason", reason.message());
                metrics->countBrokenAnswer(source, reason.message());
            };
        };
        m_log->setBrokenAnswerHandler(reportFrom("log"));
        m_instances->setBrokenAnswerHandler(reportFrom("instance_list"));
        return {};
    }

private:
    std::shared_ptr<http_log_client> m_log;
    std::shared_ptr<http_instance_list> m_instances;
};

const module_registration<native_log_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
