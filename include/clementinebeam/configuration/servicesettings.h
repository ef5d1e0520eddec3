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

/// A kind of request.
struct kind_settings {
    bool idempotent = false;
    double weight = 1.0; ///< Weight of its service time in the load of a slot.
};

/// One service: its slots, its request kinds and how load is spread.
struct service_settings {
    std::string department;
    slot_index slots = 0;
    std::uint32_t shards = 1;
    bool checksGrants = true; ///< Its targets refuse requests without a valid grant.
    std::string policy = "minimum_churn";
    policy_limits limits;
    std::map<std::string, kind_settings> kinds;
    std::map<member_name, double> members; ///< Share of each member; others have share 1.
    std::set<target_id> drained;
    std::uint32_t maxConcurrency = 8; ///< Requests in flight to one target from one instance.
    std::uint32_t maxQueue = 256;     ///< Requests waiting for one target on one instance.

    /// @param slot a slot.
    /// @return the shard that the slot belongs to.
    std::uint32_t shardOfSlot(slot_index slot) const { return slot % shards; }

    /// @param target a target.
    /// @return the shard that the target belongs to.
    std::uint32_t shardOfTarget(const target_id &target) const
    {
        return static_cast<std::uint32_t>(hashOf(target) % shards);
    }
};

/// The routing configuration that operators change by patches.
struct routing_configuration {
    std::map<service_name, service_settings> services;
};

/// @param document a configuration document.
/// @return the configuration, or every problem found.
std::variant<routing_configuration, settings_problems>
parseRoutingConfiguration(const nlohmann::json &document);

} // namespace clementinebeam
