#pragma once

#include "clementinebeam/assignment/assignmenttypes.h"

#include <string_view>

namespace clementinebeam {

/// Decides which target should own which slot. Deterministic; keeps state between plans only for
/// hysteresis.
class i_assignment_policy
{
public:
    virtual ~i_assignment_policy() = default;

    /// @return the name under which settings select the policy.
    virtual std::string_view name() const = 0;

    /// Assigns slots without an available owner, and may move other slots to balance the load.
    /// @param input targets and slots of one shard.
    /// @return moves, each of a movable slot to an available target.
    virtual std::vector<planned_move> plan(const assignment_input &input) = 0;
};

} // namespace clementinebeam
