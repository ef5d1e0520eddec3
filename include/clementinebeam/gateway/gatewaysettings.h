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
    network_address callerListener;    ///< HTTP; requests of callers.
    network_address readinessListener; ///< HTTP; readiness checks of the load balancer.
    network_address peerListener;      ///< UDP; placement messages between instances.
    network_address metricsListener;   ///< HTTP; Prometheus metrics at /metrics.
    network_address store;             ///< HTTP address of the platform's store.
    std::uint32_t storeParts = 1;      ///< Parts into which the store divides each stream.
    /// Processors that the process may use, 0.5 being half of one. Instances with a small share
    /// coordinate services only if no larger instance does.
    double processorShare = 1.0;
    /// Speed of the instance's network link in Mbit/s; a slow link counts like a small share.
    double linkMbps = 1000.0;
    /// Memory limit of the process in bytes; the default suits the smallest supported instance.
    std::size_t memory = 160UL << 20U;
    /// Descriptors that the process may open, if fewer than the system's limit for the process.
    std::size_t descriptors = 1UL << 20U;
    /// Interval at which targets write their entries to the store.
    std::chrono::milliseconds targetHeartbeat{1000};
    /// The whole system was started for the first time together with this process.
    bool isFirstStart = true;
    service_bounds bounds;
};

/// Parses and checks the settings file.
/// @param text JSON; comments are allowed.
/// @return the settings, or all problems that were found; for a syntax error only that one.
std::variant<gateway_settings, settings_problems> parseGatewaySettings(const std::string &text);

} // namespace clementinebeam
