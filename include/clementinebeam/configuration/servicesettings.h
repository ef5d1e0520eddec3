#pragma once

#include "clementinebeam/assignment/assignmenttypes.h"
#include "clementinebeam/configuration/settingsproblem.h"
#include "clementinebeam/kernel/identifiers.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <variant>

namespace clementinebeam {

/// Settings of one kind of request.
struct kind_settings {
    bool idempotent = false;
    double weight = 1.0; ///< Factor applied to its service time in the load of a slot.
};

/// Settings of one service: its slots, its request kinds and how load is distributed.
struct service_settings {
    std::string department; ///< Name of the department that the service belongs to.
    slot_index slots = 0;
    std::uint32_t shards = 1;
    bool checksGrants = true; ///< Whether its targets reject requests without a valid grant.
    std::string policy = "minimum_churn"; ///< Name of the policy that assigns slots to targets.
    policy_limits limits;
    std::map<std::string, kind_settings> kinds;
    std::map<member_name, double> members; ///< Weight in fair queueing; 1 if not listed.
    std::set<target_id> drained;           ///< Targets that operators have drained.
    std::uint32_t maxConcurrency = 8;      ///< Requests in flight from one instance to one target.
    std::uint32_t maxQueue = 256;          ///< Requests queued on one instance for one target.

    /// @param slot index of the slot.
    /// @return the shard that the slot belongs to.
    std::uint32_t shardOfSlot(slot_index slot) const { return slot % shards; }

    /// @param target id of the target.
    /// @return the shard that the target belongs to.
    std::uint32_t shardOfTarget(const target_id &target) const
    {
        return static_cast<std::uint32_t>(hashOf(target) % shards);
    }
};

/// The routing configuration, which operators change with patches.
struct routing_configuration {
    std::map<service_name, service_settings> services;
};

/// @param document a configuration document.
/// @return the configuration, or all problems found.
std::variant<routing_configuration, settings_problems>
parseRoutingConfiguration(const nlohmann::json &document);

} // namespace clementinebeam
