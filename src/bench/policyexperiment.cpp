#include "policyexperiment.h"

#include "clementinebeam/assignment/policycatalogue.h"
#include "statistics.h"

#include <map>
#include <nlohmann/json.hpp>

namespace clementinebeam {

namespace {

constexpr std::size_t TARGET_OUTAGE_SECONDS = 30; ///< Until a lost target is available again.
constexpr double SMOOTHING_FACTOR = 0.5; ///< Weight of the latest second in the smoothed load.

/// @return the actual load of each slot, as the sum of the shares of its keys.
std::vector<double> computeSlotLoads(const policy_experiment &experiment, const zipf_keys &keys)
{
    std::vector<double> loads(experiment.slots, 0.0);
    for (std::size_t rank = 0; rank < experiment.keys; ++rank) {
        const auto slot = slotOf("key" + std::to_string(keys.keyAt(rank)), experiment.slots);
        loads[slot] += keys.share(rank);
    }
    return loads;
}

/// One simulation: the input of the policy and the totals of its moves.
class policy_run
{
public:
    explicit policy_run(const policy_experiment &experiment)
        : m_experiment(experiment)
        , m_keys(experiment.keys, experiment.zipfExponent)
        , m_slotLoads(computeSlotLoads(experiment, m_keys))
        , m_random(experiment.seed)
    {
        policy_limits limits;
        limits.imbalanceThreshold = experiment.threshold;
        limits.imbalanceRelease = experiment.release;
        limits.maxMovesPerRound = experiment.movesPerRound;
        m_policy = policy_catalogue::instance().create(experiment.policy, limits);
        for (std::size_t index = 0; index < experiment.targets; ++index)
            m_input.targets.push_back({"t" + std::to_string(index), 1.0, true, false});
        for (slot_index slot = 0; slot < experiment.slots; ++slot)
            m_input.slots.push_back({slot, "", 0.0, true});
    }

    bool isValid() const { return m_policy != nullptr; }

    void runRound(std::size_t round)
    {
        applyScheduledChanges(round);
        for (auto &slot : m_input.slots)
            slot.load += SMOOTHING_FACTOR * (m_slotLoads[slot.slot] - slot.load);
        for (const auto &move : m_policy->plan(m_input)) {
            countMove(move, round);
            m_input.slots[move.slot].owner = move.owner;
        }
        recordImbalance();
    }

    nlohmann::json result() const
    {
        const auto rounds = static_cast<double>(m_experiment.rounds);
        return {
                {"policy", m_experiment.policy},
                {"mean_max_over_mean", m_sumOfRatios / rounds},
                {"mean_variation", m_sumOfVariations / rounds},
                {"slots_rebalanced", m_rebalanced},
                {"slots_replaced_after_loss", m_replaced},
                {"load_rebalanced", m_loadRebalanced},
        };
    }

private:
    void applyScheduledChanges(std::size_t round)
    {
        if (round > 0 && round % m_experiment.hotMoveInterval == 0) {
            m_keys.moveHottest(m_experiment.hotKeys);
            m_slotLoads = computeSlotLoads(m_experiment, m_keys);
        }
        if (round > 0 && round % m_experiment.lossInterval == 0) {
            m_lostTarget = m_random() % m_input.targets.size();
            m_input.targets[m_lostTarget].available = false;
        }
        if (round % m_experiment.lossInterval == TARGET_OUTAGE_SECONDS)
            m_input.targets[m_lostTarget].available = true;
    }

    void countMove(const planned_move &move, std::size_t round)
    {
        if (round == 0)
            return;
        if (move.cause != move_cause::Rebalance) {
            ++m_replaced;
            return;
        }
        ++m_rebalanced;
        m_loadRebalanced += m_slotLoads[move.slot];
    }

    void recordImbalance()
    {
        std::map<target_id, double> byTarget;
        for (const auto &target : m_input.targets) {
            if (target.available)
                byTarget[target.id] = 0.0;
        }
        for (const auto &slot : m_input.slots) {
            if (const auto found = byTarget.find(slot.owner); found != byTarget.end())
                found->second += m_slotLoads[slot.slot];
        }
        std::vector<double> loads;
        loads.reserve(byTarget.size());
        for (const auto &[target, load] : byTarget)
            loads.push_back(load);
        const auto summary = measureImbalance(loads);
        m_sumOfRatios += summary.maxOverMean;
        m_sumOfVariations += summary.variation;
    }

    policy_experiment m_experiment;
    zipf_keys m_keys;
    std::vector<double> m_slotLoads;
    std::mt19937_64 m_random;
    std::unique_ptr<i_assignment_policy> m_policy;
    assignment_input m_input;
    std::size_t m_lostTarget = 0;
    std::size_t m_rebalanced = 0;
    std::size_t m_replaced = 0;
    double m_loadRebalanced = 0.0;
    double m_sumOfRatios = 0.0;
    double m_sumOfVariations = 0.0;
};

} // namespace

nlohmann::json runPolicyExperiment(const policy_experiment &experiment)
{
    policy_run run(experiment);
    if (!run.isValid())
        return {{"error", "unknown policy " + experiment.policy}};
    for (std::size_t round = 0; round < experiment.rounds; ++round)
        run.runRound(round);
    return run.result();
}

} // namespace clementinebeam
