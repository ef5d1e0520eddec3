#pragma once

#include "clementinebeam/controlplane/icontrolplane.h"
#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/observability/iaudittrail.h"

#include <nlohmann/json.hpp>

namespace clementinebeam {

nlohmann::json toJson(const patch_result &result);
nlohmann::json toJson(const shard_status &status);
nlohmann::json toJson(const audit_entry &entry);
nlohmann::json toJson(const listing &entry);

/// @param view a routing view.
/// @param service a service of it.
/// @return slots with owner and epoch.
nlohmann::json slotsToJson(const routing_view &view, const service_name &service);

/// @param view a routing view.
/// @return all services with their settings in short.
nlohmann::json servicesToJson(const routing_view &view);

} // namespace clementinebeam
