#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace clementinebeam {

/// Parameters of a simulation of an assignment policy for one service, in virtual time.
struct policy_experiment {
    std::string policy = "minimum_churn";
    std::size_t targets = 20;
    std::uint32_t slots = 256;
    std::size_t keys = 100000;
    double zipfExponent = 1.0;
    std::size_t rounds = 600;          ///< Simulated seconds; the policy plans once in each.
    std::size_t hotMoveInterval = 120; ///< Seconds between changes of the hottest keys.
    std::size_t hotKeys = 150;
    std::size_t lossInterval = 200; ///< Seconds between losses of a target; it returns 30 s later.
    double threshold = 1.25;
    double release = 1.1;
    std::uint32_t movesPerRound = 4;
    std::uint64_t seed = 1;
};

/// Simulates a policy under changing load and losses of targets.
/// @param experiment parameters of the simulation.
/// @return mean imbalance, numbers of moved slots and the load that was moved by rebalancing, as
///         JSON; an "error" if the policy is unknown.
nlohmann::json runPolicyExperiment(const policy_experiment &experiment);

} // namespace clementinebeam
