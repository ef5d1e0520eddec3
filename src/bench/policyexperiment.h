#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace clementinebeam {

/// A service's shape for an experiment with the policy alone, in virtual time.
struct policy_experiment {
    std::string policy = "minimum_churn";
    std::size_t targets = 20;
    std::uint32_t slots = 256;
    std::size_t keys = 100000;
    double zipfExponent = 1.0;
    std::size_t rounds = 600;          ///< Plans, one each second.
    std::size_t hotMoveInterval = 120; ///< Seconds between changes of the hottest keys.
    std::size_t hotKeys = 150;
    std::size_t lossInterval = 200; ///< Seconds between losses of a target; it returns 30 s later.
    double threshold = 1.25;
    double release = 1.1;
    std::uint32_t movesPerRound = 4;
    std::uint64_t seed = 1;
};

/// Runs the policy against a load that changes.
/// @param experiment what to run.
/// @return imbalance, churn and the share of load that was moved, as JSON.
nlohmann::json runPolicyExperiment(const policy_experiment &experiment);

} // namespace clementinebeam
