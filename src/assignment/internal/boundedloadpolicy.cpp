#include "clementinebeam/assignment/policycatalogue.h"
#include "internal/placement.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// Rendezvous hashing with an upper bound on each target's number of slots. Never moves a slot
/// whose owner is available.
class bounded_load_policy : public i_assignment_policy
{
public:
    explicit bounded_load_policy(const policy_limits &limits)
        : m_limits(limits)
    { }

    std::string_view name() const override { return "bounded_load"; }

    std::vector<planned_move> plan(const assignment_input &input) override
    {
        load_table table(input);
        const double bound = std::max(1.0, table.meanSlots() * m_limits.boundFactor);
        std::vector<planned_move> moves;
        for (const auto &slot : input.slots) {
            if (!slot.movable || table.findAvailable(slot.owner))
                continue;
            auto *best = bestTargetBelow(bound, slot.slot, table);
            if (!best)
                break;
            ++best->slots;
            moves.push_back({slot.slot, best->target->id,
                             placementCause(table.findTarget(slot.owner), slot)});
        }
        return moves;
    }

private:
    static target_load *bestTargetBelow(double bound, slot_index slot, load_table &table)
    {
        target_load *best = nullptr;
        double bestScore = 0.0;
        for (auto &[id, entry] : table.available()) {
            const double score = rendezvousScore(slot, *entry.target);
            const bool fits = static_cast<double>(entry.slots) < bound;
            if (fits && (!best || score > bestScore)) {
                best = &entry;
                bestScore = score;
            }
        }
        return best;
    }

    policy_limits m_limits;
};

const policy_registration<bounded_load_policy> REGISTRATION("bounded_load");

} // namespace

} // namespace clementinebeam
