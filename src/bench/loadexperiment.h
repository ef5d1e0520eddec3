#pragma once

#include "clementinebeam/http/httptypes.h"

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace clementinebeam {

/// Load with arrivals at fixed times, so that a slow answer does not delay later requests' clocks.
struct load_experiment {
    std::vector<network_address> addresses; ///< Instances, or one target for a direct run.
    bool isDirect = false;                  ///< Talk to a target that does not check grants.
    std::string service = "catalogue";
    std::string kind = "browse";
    bool hasRequestId = false;
    double rate = 1000.0; ///< Requests per second over all connections; 0 for as many as possible.
    std::chrono::milliseconds duration{10000};
    std::chrono::milliseconds deadline{2000};
    std::size_t connections = 16;
    std::size_t keys = 10000;
    double zipfExponent = 1.0;
    std::chrono::milliseconds hotMoveInterval{0}; ///< 0 keeps the hottest keys.
    std::size_t hotKeys = 150;
    std::uint64_t seed = 1;
};

/// Runs the load.
/// @param experiment what to run.
/// @return throughput, latency percentiles, outcomes, the longest time without an answer for a key,
///         and imbalance over owners, as JSON.
nlohmann::json runLoadExperiment(const load_experiment &experiment);

} // namespace clementinebeam
