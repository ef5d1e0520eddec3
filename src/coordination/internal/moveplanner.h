#pragma once

#include "clementinebeam/assignment/iassignmentpolicy.h"
#include "clementinebeam/coordination/coordinationtypes.h"

#include <map>

namespace clementinebeam {

/// Turns a policy's plan into moves: urgent ones at once, others after the new owner warmed up.
class move_planner
{
public:
    explicit move_planner(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Replaces the plan of moves that wait for their new owner.
    /// @param plan the policy's newest plan.
    /// @param now the current time.
    void setPlan(const std::vector<planned_move> &plan, instant now);

    /// @param target a target.
    /// @return slots that the target should warm up for.
    std::vector<slot_index> preparesFor(const target_id &target) const;

    /// Takes the moves that need not wait any longer.
    /// @param isPrepared tells whether a target warmed up for a slot.
    /// @param now the current time.
    /// @return the moves to propose.
    template <class predicate>
    std::vector<planned_move> takeReady(predicate isPrepared, instant now)
    {
        std::vector<planned_move> ready;
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            const auto &move = waiting->second.move;
            const bool waited = now - waiting->second.since >= m_settings.prepareLimit;
            if (!isUrgent(move) && !waited && !isPrepared(move.owner, move.slot)) {
                ++waiting;
                continue;
            }
            ready.push_back(move);
            waiting = m_waiting.erase(waiting);
        }
        return ready;
    }

    bool empty() const { return m_waiting.empty(); }
    void clear() { m_waiting.clear(); }

private:
    struct waiting_move {
        planned_move move;
        instant since;
    };

    static bool isUrgent(const planned_move &move);

    coordination_settings m_settings;
    std::map<slot_index, waiting_move> m_waiting;
};

} // namespace clementinebeam
