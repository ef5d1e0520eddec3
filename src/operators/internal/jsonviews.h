#pragma once

#include "clementinebeam/controlplane/icontrolplane.h"
#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/observability/iaudittrail.h"

#include <nlohmann/json.hpp>

namespace clementinebeam {

/// Converts the result of a submitted patch.
nlohmann::json toJson(const patch_result &result);

/// Converts the status of a shard and its targets. The time since a target's last reply is in
/// milliseconds.
nlohmann::json toJson(const shard_status &status);

/// Converts an entry of the audit trail.
nlohmann::json toJson(const audit_entry &entry);

/// Converts an entry of the instance list.
nlohmann::json toJson(const listing &entry);

/// @param view a routing view.
/// @param service name of a service.
/// @return all slots of the service with owner and epoch; an empty array if it is unknown.
nlohmann::json slotsToJson(const routing_view &view, const service_name &service);

/// @param view a routing view.
/// @return all configured services with their main settings; a request kind that is not
///         idempotent is marked "(once)".
nlohmann::json servicesToJson(const routing_view &view);

} // namespace clementinebeam
