#pragma once

#include "clementinebeam/kernel/identifiers.h"
#include "clementinebeam/ownership/ownershiptypes.h"

#include <vector>

namespace clementinebeam {

/// Input of an assignment policy about one target.
struct target_view {
    target_id id;
    double weight = 1.0;    ///< Relative capacity; above 0.
    bool available = false; ///< Reachable and not draining.
    bool draining = false;  ///< Draining and reachable.
};

/// Input of an assignment policy about one slot.
struct slot_view {
    slot_index slot = 0;
    target_id owner;      ///< Empty if the slot was never assigned.
    double load = 0.0;    ///< Service time in seconds per second, weighted by kind.
    bool movable = false; ///< No earlier move of the slot is in progress.
};

/// Input of an assignment policy: the targets and slots of one shard.
struct assignment_input {
    std::vector<target_view> targets;
    std::vector<slot_view> slots;
};

/// A move that an assignment policy plans.
struct planned_move {
    slot_index slot = 0;
    target_id owner; ///< The new owner.
    move_cause cause = move_cause::Initial;

    bool operator==(const planned_move &) const = default;
};

/// Limits of an assignment policy; each policy uses only some of them.
struct policy_limits {
    double imbalanceThreshold = 1.25;   ///< Ratio of highest to mean load that starts rebalancing.
    double imbalanceRelease = 1.10;     ///< Rebalancing stops below this ratio.
    std::uint32_t maxMovesPerRound = 4; ///< Limit of rebalancing moves in one plan.
    /// Bounded load: highest ratio of a target's slots to the mean, rounded up to whole slots.
    double boundFactor = 1.25;
};

} // namespace clementinebeam
