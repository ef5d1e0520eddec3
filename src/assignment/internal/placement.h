#pragma once

#include "clementinebeam/assignment/assignmenttypes.h"

#include <map>

namespace clementinebeam {

/// @param slot a slot.
/// @param target a target.
/// @return the weighted rendezvous score; the highest one wins.
double rendezvousScore(slot_index slot, const target_view &target);

/// Why a slot with this owner has to be placed anew.
/// @param owner the owner; null if the owner is unknown.
/// @param slot the slot.
/// @return the cause of the move.
move_cause placementCause(const target_view *owner, const slot_view &slot);

/// Running totals of one target while a plan is made.
struct target_load {
    const target_view *target = nullptr;
    double load = 0.0;
    std::size_t slots = 0;
};

/// Totals by target id for all available targets.
class load_table
{
public:
    explicit load_table(const assignment_input &input);

    /// @param id a target.
    /// @return its totals, or null if the target is not available.
    target_load *find(const target_id &id);

    /// @param id a target.
    /// @return the target as given in the input, available or not; null if unknown.
    const target_view *view(const target_id &id) const;

    /// @return totals of all available targets.
    std::map<target_id, target_load> &available() { return m_available; }

    /// @return summed load of the available targets divided by their number.
    double meanLoad() const;

    /// @return summed slots of all targets divided by the number of available ones.
    double meanSlots() const;

private:
    std::map<target_id, const target_view *> m_views;
    std::map<target_id, target_load> m_available;
    std::size_t m_slotCount = 0;
};

} // namespace clementinebeam
