#include "loadexperiment.h"
#include "policyexperiment.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(mode, "load",
              "load: send requests to running processes; policy: simulate the assignment policy in "
              "virtual time");
DEFINE_string(addresses, "127.0.0.1:8100", "addresses to load, separated by commas");
DEFINE_bool(direct, false, "the address is a target that does not check grants");
DEFINE_string(service, "catalogue", "service to call");
DEFINE_string(kind, "browse", "request kind");
DEFINE_bool(request_id, false, "send a request id, as a non-idempotent kind needs");
DEFINE_double(rate, 1000, "requests per second; 0 sends as fast as the connections allow");
DEFINE_int64(duration_ms, 10000, "length of the run");
DEFINE_int64(deadline_ms, 2000, "deadline of each request");
DEFINE_uint64(connections, 16, "connections, each on its own thread");
DEFINE_uint64(keys, 10000, "number of keys");
DEFINE_double(zipf, 1.0, "Zipf exponent of the popularity of keys");
DEFINE_int64(hot_move_ms, 0, "interval at which the hottest keys change; 0 for never");
DEFINE_uint64(hot_keys, 150, "number of hottest keys that change");
DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_string(policy, "minimum_churn", "assignment policy");
DEFINE_uint64(targets, 20, "number of targets");
DEFINE_uint64(slots, 256, "number of slots");
DEFINE_uint64(rounds, 600, "seconds of virtual time");
DEFINE_double(threshold, 1.25, "imbalance that starts rebalancing");
DEFINE_double(release, 1.1, "imbalance below which rebalancing stops");
DEFINE_uint64(moves_per_round, 4, "maximum number of slots rebalanced in one round");

namespace {

using namespace clementinebeam;

std::vector<network_address> parseAddresses(const std::string &text)
{
    std::vector<network_address> addresses;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        const auto colon = item.rfind(':');
        if (colon != std::string::npos)
            addresses.push_back({item.substr(0, colon),
                                 static_cast<std::uint16_t>(std::stoul(item.substr(colon + 1)))});
    }
    return addresses;
}

nlohmann::json runLoad()
{
    load_experiment experiment;
    experiment.addresses = parseAddresses(FLAGS_addresses);
    experiment.isDirect = FLAGS_direct;
    experiment.service = FLAGS_service;
    experiment.kind = FLAGS_kind;
    experiment.hasRequestId = FLAGS_request_id;
    experiment.rate = FLAGS_rate;
    experiment.duration = std::chrono::milliseconds(FLAGS_duration_ms);
    experiment.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    experiment.connections = FLAGS_connections;
    experiment.keys = FLAGS_keys;
    experiment.zipfExponent = FLAGS_zipf;
    experiment.hotMoveInterval = std::chrono::milliseconds(FLAGS_hot_move_ms);
    experiment.hotKeys = FLAGS_hot_keys;
    experiment.seed = FLAGS_seed;
    if (experiment.addresses.empty())
        return {{"error", "no addresses"}};
    return runLoadExperiment(experiment);
}

nlohmann::json runPolicy()
{
    policy_experiment experiment;
    experiment.policy = FLAGS_policy;
    experiment.targets = FLAGS_targets;
    experiment.slots = static_cast<std::uint32_t>(FLAGS_slots);
    experiment.keys = FLAGS_keys;
    experiment.zipfExponent = FLAGS_zipf;
    experiment.rounds = FLAGS_rounds;
    experiment.hotKeys = FLAGS_hot_keys;
    experiment.threshold = FLAGS_threshold;
    experiment.release = FLAGS_release;
    experiment.movesPerRound = static_cast<std::uint32_t>(FLAGS_moves_per_round);
    experiment.seed = FLAGS_seed;
    return runPolicyExperiment(experiment);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("load generator and policy simulation; prints one JSON document");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (FLAGS_mode != "load" && FLAGS_mode != "policy") {
        std::cerr << "--mode: expected load or policy, found " << FLAGS_mode << '\n';
        return 2;
    }
    const auto result = FLAGS_mode == "load" ? runLoad() : runPolicy();
    std::cout << result.dump(2) << '\n';
    return result.contains("error") ? 1 : 0;
}
