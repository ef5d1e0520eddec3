#pragma once

#include "clementinebeam/kernel/identifiers.h"
#include "clementinebeam/ownership/ownershiptypes.h"

#include <vector>

namespace clementinebeam {

/// A target as an assignment policy sees it.
struct target_view {
    target_id id;
    double weight = 1.0;
    bool available = false; ///< Reachable and not draining.
    bool draining = false;
};

/// A slot as an assignment policy sees it.
struct slot_view {
    slot_index slot = 0;
    target_id owner;      ///< Empty if the slot was never assigned.
    double load = 0.0;    ///< Service time in seconds per second, weighted by kind.
    bool movable = false; ///< No earlier move of the slot is still being carried out.
};

/// All that a policy may base a decision on.
struct assignment_input {
    std::vector<target_view> targets;
    std::vector<slot_view> slots;
};

/// A move that a policy asks for.
struct planned_move {
    slot_index slot = 0;
    target_id owner;
    move_cause cause = move_cause::Initial;

    bool operator==(const planned_move &) const = default;
};

/// Limits of a policy.
struct policy_limits {
    double imbalanceThreshold = 1.25; ///< Highest load over mean load that starts rebalancing.
    double imbalanceRelease = 1.10;   ///< Rebalancing stops below this ratio.
    std::uint32_t maxMovesPerRound = 4;
    double boundFactor = 1.25; ///< Bounded load: a target's slots over the mean, at most.
};

} // namespace clementinebeam
