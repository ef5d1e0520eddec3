#pragma once

#include "clementinebeam/assignment/iassignmentpolicy.h"
#include "clementinebeam/coordination/coordinationtypes.h"

#include <map>

namespace clementinebeam {

/// Schedules the moves of a policy's plan: urgent moves at once, others once the new owner has
/// prepared for the slot (warmed up) or the prepare timeout has passed.
class move_planner
{
public:
    explicit move_planner(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Replaces the pending moves. A move that was pending already keeps its start time.
    /// @param plan the policy's newest plan.
    /// @param now the current time.
    void setPlan(const std::vector<planned_move> &plan, instant now);

    /// @param target a target.
    /// @return slots that the target should prepare for.
    std::vector<slot_index> slotsToPrepare(const target_id &target) const;

    /// Removes and returns the pending moves that need not wait any longer.
    /// @param isPrepared returns whether a target has prepared for a slot.
    /// @param now the current time.
    /// @return the moves to propose.
    template <class predicate>
    std::vector<planned_move> takeReadyMoves(predicate isPrepared, instant now)
    {
        std::vector<planned_move> ready;
        for (auto pending = m_pending.begin(); pending != m_pending.end();) {
            const auto &move = pending->second.move;
            const bool hasTimedOut = now - pending->second.since >= m_settings.prepareTimeout;
            if (!isUrgent(move) && !hasTimedOut && !isPrepared(move.owner, move.slot)) {
                ++pending;
                continue;
            }
            ready.push_back(move);
            pending = m_pending.erase(pending);
        }
        return ready;
    }

    bool empty() const { return m_pending.empty(); }
    void clear() { m_pending.clear(); }

private:
    struct pending_move {
        planned_move move;
        instant since; ///< When the move was first planned.
    };

    /// @return whether the slot has no live owner, so that the move does not wait for preparation.
    static bool isUrgent(const planned_move &move);

    coordination_settings m_settings;
    std::map<slot_index, pending_move> m_pending;
};

} // namespace clementinebeam
