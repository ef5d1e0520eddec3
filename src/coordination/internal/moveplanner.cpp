#include "internal/moveplanner.h"

namespace clementinebeam {

bool move_planner::isUrgent(const planned_move &move)
{
    return move.cause == move_cause::Initial || move.cause == move_cause::TargetLost;
}

void move_planner::setPlan(const std::vector<planned_move> &plan, instant now)
{
    std::map<slot_index, waiting_move> next;
    for (const auto &move : plan) {
        const auto known = m_waiting.find(move.slot);
        const bool same = known != m_waiting.end() && known->second.move == move;
        next[move.slot] = {move, same ? known->second.since : now};
    }
    m_waiting = std::move(next);
}

std::vector<slot_index> move_planner::preparesFor(const target_id &target) const
{
    std::vector<slot_index> slots;
    for (const auto &[slot, waiting] : m_waiting) {
        if (waiting.move.owner == target && !isUrgent(waiting.move))
            slots.push_back(slot);
    }
    return slots;
}

} // namespace clementinebeam
