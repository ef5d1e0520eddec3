#include "clementinebeam/assignment/policycatalogue.h"
#include "internal/placement.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Assigns slots to the least loaded target. Moves a slot whose owner is available only to reduce
/// an imbalance of load.
///
/// Rebalancing starts above one ratio of the highest to the mean load and stops below a lower one.
class minimum_churn_policy : public i_assignment_policy
{
public:
    explicit minimum_churn_policy(const policy_limits &limits)
        : m_limits(limits)
    { }

    std::string_view name() const override { return "minimum_churn"; }

    std::vector<planned_move> plan(const assignment_input &input) override
    {
        load_table table(input);
        if (table.available().empty())
            return {};
        auto moves = placeUnserved(input, table);
        if (moves.empty())
            moves = rebalance(input, table);
        return moves;
    }

private:
    /// Orders targets by load per weight, then by number of slots.
    static bool isLessLoaded(const target_load &left, const target_load &right)
    {
        const double leftLoad = left.load / left.target->weight;
        const double rightLoad = right.load / right.target->weight;
        if (leftLoad != rightLoad)
            return leftLoad < rightLoad;
        return static_cast<double>(left.slots) / left.target->weight
                < static_cast<double>(right.slots) / right.target->weight;
    }

    static target_load &leastLoaded(load_table &table)
    {
        auto &targets = table.available();
        const auto least = std::min_element(targets.begin(), targets.end(),
                                            [](const auto &left, const auto &right) {
                                                return isLessLoaded(left.second, right.second);
                                            });
        return least->second;
    }

    static target_load &mostLoaded(load_table &table)
    {
        auto &targets = table.available();
        const auto most = std::max_element(targets.begin(), targets.end(),
                                           [](const auto &left, const auto &right) {
                                               return isLessLoaded(left.second, right.second);
                                           });
        return most->second;
    }

    static std::vector<planned_move> placeUnserved(const assignment_input &input, load_table &table)
    {
        std::vector<const slot_view *> unserved;
        for (const auto &slot : input.slots) {
            if (slot.movable && !table.findAvailable(slot.owner))
                unserved.push_back(&slot);
        }
        std::stable_sort(unserved.begin(), unserved.end(), [](const auto *left, const auto *right) {
            return left->load > right->load;
        });
        // A slot counts with at least the mean load, so that slots without measured load spread
        // evenly.
        const double minLoad = meanSlotLoad(input);
        std::vector<planned_move> moves;
        for (const auto *slot : unserved) {
            auto &best = leastLoaded(table);
            best.load += std::max(slot->load, minLoad);
            ++best.slots;
            moves.push_back({slot->slot, best.target->id,
                             placementCause(table.findTarget(slot->owner), *slot)});
        }
        return moves;
    }

    static double meanSlotLoad(const assignment_input &input)
    {
        double sum = 0.0;
        for (const auto &slot : input.slots)
            sum += slot.load;
        return input.slots.empty() ? 0.0 : sum / static_cast<double>(input.slots.size());
    }

    std::vector<planned_move> rebalance(const assignment_input &input, load_table &table)
    {
        const double mean = table.meanLoad();
        if (mean <= 0.0)
            return {};
        const double ratio = mostLoaded(table).load / mean;
        if (ratio > m_limits.imbalanceThreshold)
            m_rebalancing = true;
        if (ratio < m_limits.imbalanceRelease)
            m_rebalancing = false;
        std::vector<planned_move> moves;
        while (m_rebalancing && moves.size() < m_limits.maxMovesPerRound) {
            const auto *slot = bestSlotToMove(input, table, moves);
            if (!slot)
                break;
            auto &from = mostLoaded(table);
            auto &to = leastLoaded(table);
            moves.push_back({slot->slot, to.target->id, move_cause::Rebalance});
            applyMove(*slot, from, to);
            if (mostLoaded(table).load / mean < m_limits.imbalanceRelease)
                break;
        }
        return moves;
    }

    static void applyMove(const slot_view &slot, target_load &from, target_load &to)
    {
        from.load -= slot.load;
        --from.slots;
        to.load += slot.load;
        ++to.slots;
    }

    /// Finds the slot of the most loaded target whose move to the least loaded target leaves the
    /// smallest difference between the two. The slot's load must be above 0 and below the gap.
    static const slot_view *bestSlotToMove(const assignment_input &input, load_table &table,
                                           const std::vector<planned_move> &moves)
    {
        const auto &from = mostLoaded(table);
        const double gap = from.load - leastLoaded(table).load;
        const slot_view *best = nullptr;
        for (const auto &slot : input.slots) {
            const bool isCandidate = slot.movable && slot.owner == from.target->id
                    && slot.load > 0.0 && slot.load < gap && !isMoved(slot.slot, moves);
            if (isCandidate && (!best || improvement(slot, gap) > improvement(*best, gap)))
                best = &slot;
        }
        return best;
    }

    /// @return half of the amount by which moving the slot reduces the gap.
    static double improvement(const slot_view &slot, double gap)
    {
        return std::min(slot.load, gap - slot.load);
    }

    static bool isMoved(slot_index slot, const std::vector<planned_move> &moves)
    {
        return std::any_of(moves.begin(), moves.end(),
                           [slot](const planned_move &move) { return move.slot == slot; });
    }

    policy_limits m_limits;
    bool m_rebalancing = false;
};

const policy_registration<minimum_churn_policy> REGISTRATION("minimum_churn");

} // namespace

} // namespace clementinebeam
