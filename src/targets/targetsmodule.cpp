#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/kernel/kernel.h"
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
        services.provide<i_target_client>(
                std::make_shared<http_target_client>(settings->connectionsPerTarget));
        return {};
    }

    std::error_code start(service_registry &) override { return {}; }
};

const module_registration<targets_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
