#include "clementinebeam/kernel/kernel.h"
#include "internal/audittrail.h"
#include "internal/prometheusmetrics.h"

namespace clementinebeam {

namespace {

/// Provides the metrics and the audit trail.
class observability_module : public i_module
{
public:
    std::string_view name() const override { return "observability"; }
    int level() const override { return 10; }

    std::error_code registerServices(service_registry &services) override
    {
        services.provide<i_metrics>(std::make_shared<prometheus_metrics>());
        services.provide<i_audit_trail>(std::make_shared<audit_trail>());
        return {};
    }

    std::error_code start(service_registry &) override { return {}; }
};

const module_registration<observability_module> REGISTRATION;

} // namespace

} // namespace clementinebeam
