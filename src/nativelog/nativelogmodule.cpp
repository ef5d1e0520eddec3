#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/kernel/kernel.h"
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
        services.provide<i_log_client>(
                std::make_shared<http_log_client>(settings->platformAddress));
        services.provide<i_instance_list>(
                std::make_shared<http_instance_list>(settings->platformAddress));
        return {};
    }

    std::error_code start(service_registry &) override { return {}; }
};

const module_registration<native_log_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
