#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/kernel/kernel.h"
#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/observability/logline.h"
#include "internal/httptargetclient.h"

namespace clementinebeam {

namespace {

/// Provides the client for targets.
class targets_module : public i_module
{
public:
    std::string_view name() const override { return "targets"; }
    int level() const override { return 30; }

    std::error_code registerServices(service_registry &services) override
    {
        const auto settings = services.find<const daemon_settings>();
        m_client = std::make_shared<http_target_client>(settings->connectionsPerTarget);
        services.provide<i_target_client>(m_client);
        return {};
    }

    std::error_code start(service_registry &services) override
    {
        m_client->setBrokenAnswerHandler([metrics = services.find<i_metrics>()](
                                                 const target_id &target, std::string_view source,
                                                 const std::error_code &reason) {
            log_line(log_level::Warning, "answer_broken")
                    .add("source", source)
                    .add("target", target)
                    .add("reason", reason.message());
            metrics->countBrokenAnswer(source, reason.message());
        });
        return {};
    }

private:
    std::shared_ptr<http_target_client> m_client;
};

const module_registration<targets_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
