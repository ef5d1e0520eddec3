#pragma once

#include "clementinebeam/assignment/assignmenttypes.h"

#include <map>

namespace clementinebeam {

/// @param slot a slot index.
/// @param target a target; its weight must be above 0.
/// @return the weighted rendezvous score of the target; the target with the highest score gets the
/// slot.
double rendezvousScore(slot_index slot, const target_view &target);

/// Determines why a slot without an available owner must be assigned again.
/// @param owner the slot's owner; null if it is not among the policy's targets.
/// @param slot the slot.
/// @return the cause of the move.
move_cause placementCause(const target_view *owner, const slot_view &slot);

/// Load and number of slots of a target, updated while a plan is made.
struct target_load {
    const target_view *target = nullptr;
    double load = 0.0;
    std::size_t slots = 0;
};

/// Loads of all available targets by target id.
class load_table
{
public:
    explicit load_table(const assignment_input &input);

    /// @param id a target.
    /// @return its load, or null if the target is not available.
    target_load *findAvailable(const target_id &id);

    /// @param id a target.
    /// @return the target as given in the input, available or not; null if the input lacks it.
    const target_view *findTarget(const target_id &id) const;

    /// @return the loads of all available targets.
    std::map<target_id, target_load> &available() { return m_available; }

    /// @return mean load of the available targets; 0 if there are none.
    double meanLoad() const;

    /// @return number of all slots divided by the number of available targets; 0 if there are none.
    double meanSlots() const;

private:
    std::map<target_id, const target_view *> m_targets;
    std::map<target_id, target_load> m_available;
    std::size_t m_slotCount = 0;
};

} // namespace clementinebeam
