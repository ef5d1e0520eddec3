#pragma once

#include "clementinebeam/configuration/settingsproblem.h"
#include "clementinebeam/gateway/gatewaytypes.h"
#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/identifiers.h"

#include <string>
#include <variant>

namespace clementinebeam {

/// Settings of one gateway process.
struct gateway_settings {
    instance_id instance;
    std::string dataCentre;
    network_address callerListener;
    network_address readinessListener;
    network_address peerListener; ///< UDP; instances ask each other for places here.
    network_address metricsListener;
    network_address store;
    std::uint32_t storeParts = 1; ///< Parts that the store gives each topic.
    /// Share of a processor that the process may use; decides whether it coordinates services.
    double processorShare = 1.0;
    /// Bytes that the process may use; the default is the smallest instance's.
    std::size_t memory = 160UL << 20U;
    service_bounds bounds;
};

/// @param text JSON with comments.
/// @return the settings, or every problem found.
std::variant<gateway_settings, settings_problems> parseGatewaySettings(const std::string &text);

} // namespace clementinebeam
