#pragma once

#include "clementinebeam/asynchttp/serverconnection.h"
#include "clementinebeam/dispatch/dispatchtypes.h"
#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementinebeam {

/// A service's share of the requests of a route.
struct traffic_share {
    service_name service;
    double weight = 1.0; ///< Relative to the sum of the route's weights.
};

/// Maps a host and a path prefix to the services that handle its requests.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix;               ///< Begins and ends with a slash.
    bool isIdempotent = false;            ///< A request may be sent again even if it may have run.
    std::chrono::milliseconds timeout{0}; ///< Upper limit of a request's duration; 0 for none.
    std::chrono::milliseconds objective{0}; ///< Latency objective; 0 means the deadline.
    int priority = 0;                       ///< 0 is the most urgent.
    /// How often one request may be sent; unsent attempts don't count. Only the target that failed
    /// last is excluded from the next attempt.
    std::uint32_t maxAttempts = 1;
    /// Empty if they could not be read; the route's requests are then rejected.
    std::vector<traffic_share> shares;
    /// Regions whose targets may get the requests; empty for all.
    std::vector<std::string> allowedRegions{};
};

/// A service that routes can refer to.
struct routed_service {
    service_name name;
    std::string healthPath;           ///< Path of the targets' health check.
    std::uint32_t maxConnections = 0; ///< Connections that each target accepts in total.
    bool isKeyed = false; ///< Each key is owned by one target, which alone may run its requests.
    std::chrono::milliseconds warmUp{0}; ///< How long a target is cold after its start.
    /// Requests a second that a cold target takes from all instances together; nothing for no
    /// limit.
    std::optional<double> warmUpRate{};
};

/// One version of the routing configuration that operators write.
struct routing_configuration {
    std::uint64_t version = 0; ///< A higher version replaces a lower one.
    std::vector<route> routes;
    std::vector<routed_service> services;
    server_limits limits;
    std::size_t incompleteRows = 0; ///< Routes and services that could not be read in full.
};

/// The newest entry that a target published about itself in the store.
struct target_entry {
    target_id id;
    service_name service;
    network_address address;
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Requests that the target runs at a time.
    bool isDraining = false; ///< The target is shutting down and takes no new requests.
    /// Remaining warm-up time when it was written. target_directory keeps until when the target is
    /// cold, and not this value.
    std::chrono::milliseconds remainingWarmUp{0};
    std::uint64_t incarnation = 0; ///< Identifies the run of its process; a restart changes it.
    /// Rises with each entry that the run of its process writes. target_directory keeps the highest
    /// one, and not this value.
    std::uint64_t sequence = 0;

    bool operator==(const target_entry &) const = default;
};

/// Platform headers of a caller's request.
struct caller_context {
    std::string requestId;
    std::optional<std::chrono::milliseconds> deadline; ///< How long the caller waits.
    std::optional<key_number> key;
    /// Hash of what the repeats of a request have in common.
    std::uint64_t fingerprint = 0;
};

/// Platform headers of a target's answer.
struct answer_context {
    std::string requestId;      ///< Empty if the answer has none.
    bool isSigned = false;      ///< The signature header is present; it isn't checked.
    bool isNotExecuted = false; ///< The target states that it did not run the request.
    std::optional<target_load> load;
    /// How long the target stays cold, if it says so.
    std::optional<std::chrono::milliseconds> remainingWarmUp;
    /// Time after which the target closes idle connections, if announced.
    std::optional<std::chrono::seconds> idleTimeout;
    /// What the target states about itself; nothing if that can't be decoded.
    std::optional<target_statement> statement;
    /// State reference returned by a release; plain text, empty if there is none.
    std::string handover;
};

/// Limits that the operators' rules impose on the system.
struct service_bounds {
    double retryShare = 0.2; ///< Retries that each request adds to the retry budget.
    /// Retries that any time window may contain beyond that share, for the whole system.
    double retrySlack = 64.0;
    /// Longest time after a target announced that it is leaving in which it may still get requests.
    std::chrono::milliseconds drain{2000};
    std::chrono::milliseconds grace{6000};        ///< Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds maxHoldTime{10000}; ///< Upper limit of a grant's hold time.
    /// Requests that a cold target may get in any second: its warm-up rate times the factor, plus
    /// the slack.
    double warmUpFactor = 1.0;
    double warmUpSlack = 0.0;
    /// Time from the acknowledgement of an evacuation until no target there may get requests.
    std::chrono::milliseconds evacuation{5000};
};

} // namespace clementinebeam
