#pragma once

#include "clementinebeam/http/httptypes.h"

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace clementinebeam {

/// Open-loop load: latencies count from a request's scheduled arrival, so that they include the
/// delay that a slow earlier response causes.
struct load_experiment {
    std::vector<network_address> addresses; ///< Instances, or one target if isDirect is set.
    bool isDirect = false;                  ///< Call a target directly that does not check grants.
    std::string service = "catalogue";
    std::string kind = "browse";
    bool hasRequestId = false; ///< Send a request id, as kinds that are not idempotent need.
    double rate = 1000.0; ///< Requests per second over all connections; 0 for as many as possible.
    std::chrono::milliseconds duration{10000};
    std::chrono::milliseconds deadline{2000};
    std::size_t connections = 16; ///< Each has its own thread.
    std::size_t keys = 10000;
    double zipfExponent = 1.0;                    ///< Skew of the keys' popularity; 0 is uniform.
    std::chrono::milliseconds hotMoveInterval{0}; ///< 0 never changes the hottest keys.
    std::size_t hotKeys = 150;                    ///< Number of hottest keys that change at once.
    std::uint64_t seed = 1;
};

/// Runs the load.
/// Blocks until all connections are done.
/// @param experiment parameters of the run.
/// @return throughput, latency percentiles, outcomes, the longest outage of a key, and
///         the imbalance of load over owners, as JSON.
nlohmann::json runLoadExperiment(const load_experiment &experiment);

} // namespace clementinebeam
