#include "internal/moveplanner.h"

namespace clementinebeam {

bool move_planner::isUrgent(const planned_move &move)
{
    return move.cause == move_cause::Initial || move.cause == move_cause::TargetLost;
}

void move_planner::setPlan(const std::vector<planned_move> &plan, instant now)
{
    std::map<slot_index, pending_move> next;
    for (const auto &move : plan) {
        const auto known = m_pending.find(move.slot);
        const bool isSameMove = known != m_pending.end() && known->second.move == move;
        next[move.slot] = {move, isSameMove ? known->second.since : now};
    }
    m_pending = std::move(next);
}

std::vector<slot_index> move_planner::slotsToPrepare(const target_id &target) const
{
    std::vector<slot_index> slots;
    for (const auto &[slot, pending] : m_pending) {
        if (pending.move.owner == target && !isUrgent(pending.move))
            slots.push_back(slot);
    }
    return slots;
}

} // namespace clementinebeam
