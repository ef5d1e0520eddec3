#include "internal/placement.h"

#include <cmath>

namespace clementinebeam {

double rendezvousScore(slot_index slot, const target_view &target)
{
    constexpr double HASH_RANGE = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(hashOf(target.id, slot)) + 0.5) / HASH_RANGE;
    return -target.weight / std::log(uniform);
}

move_cause placementCause(const target_view *owner, const slot_view &slot)
{
    if (slot.owner.empty())
        return move_cause::Initial;
    return owner && owner->draining ? move_cause::Drain : move_cause::TargetLost;
}

load_table::load_table(const assignment_input &input)
    : m_slotCount(input.slots.size())
{
    for (const auto &target : input.targets) {
        m_targets[target.id] = &target;
        if (target.available)
            m_available[target.id].target = &target;
    }
    for (const auto &slot : input.slots) {
        if (auto *owner = findAvailable(slot.owner)) {
            owner->load += slot.load;
            ++owner->slots;
        }
    }
}

target_load *load_table::findAvailable(const target_id &id)
{
    const auto found = m_available.find(id);
    return found == m_available.end() ? nullptr : &found->second;
}

const target_view *load_table::findTarget(const target_id &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second;
}

double load_table::meanLoad() const
{
    if (m_available.empty())
        return 0.0;
    double sum = 0.0;
    for (const auto &[id, entry] : m_available)
        sum += entry.load;
    return sum / static_cast<double>(m_available.size());
}

double load_table::meanSlots() const
{
    if (m_available.empty())
        return 0.0;
    return static_cast<double>(m_slotCount) / static_cast<double>(m_available.size());
}

} // namespace clementinebeam
