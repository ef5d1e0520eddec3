#include "clementinebeam/assignment/policycatalogue.h"
#include "internal/placement.h"

namespace clementinebeam {

namespace {

/// Weighted rendezvous hashing, the baseline policy. Ignores load, and moves slots back to a target
/// that becomes available again.
class rendezvous_policy : public i_assignment_policy
{
public:
    explicit rendezvous_policy(const policy_limits &limits)
        : m_limits(limits)
    { }

    std::string_view name() const override { return "rendezvous"; }

    std::vector<planned_move> plan(const assignment_input &input) override
    {
        load_table table(input);
        std::vector<planned_move> moves;
        std::uint32_t rebalanceCount = 0;
        for (const auto &slot : input.slots) {
            const auto best = bestTarget(slot.slot, table);
            if (!slot.movable || best.empty() || best == slot.owner)
                continue;
            const bool isOwnerAvailable = table.findAvailable(slot.owner) != nullptr;
            if (isOwnerAvailable && rebalanceCount++ >= m_limits.maxMovesPerRound)
                continue;
            const auto cause = isOwnerAvailable
                    ? move_cause::Rebalance
                    : placementCause(table.findTarget(slot.owner), slot);
            moves.push_back({slot.slot, best, cause});
        }
        return moves;
    }

private:
    static target_id bestTarget(slot_index slot, load_table &table)
    {
        target_id best;
        double bestScore = 0.0;
        for (const auto &[id, entry] : table.available()) {
            const double score = rendezvousScore(slot, *entry.target);
            if (best.empty() || score > bestScore) {
                best = id;
                bestScore = score;
            }
        }
        return best;
    }

    policy_limits m_limits;
};

const policy_registration<rendezvous_policy> REGISTRATION("rendezvous");

} // namespace

} // namespace clementinebeam
