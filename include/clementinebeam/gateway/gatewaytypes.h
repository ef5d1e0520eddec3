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

/// A service's part of a route's requests.
struct traffic_share {
    service_name service;
    double weight = 1.0;
};

/// What callers may send, and where it goes.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    bool isIdempotent = false;
    std::chrono::milliseconds timeout{0};   ///< Longest time that a caller is kept waiting.
    std::chrono::milliseconds objective{0}; ///< Time within which an answer is of full use.
    int priority = 0;                       ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1;          ///< Targets that one request may be sent to.
    std::vector<traffic_share> shares;      ///< Not empty.
};

/// A service as routes name it.
struct routed_service {
    service_name name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< That one of its targets accepts from all callers.
    bool isKeyed = false;             ///< Its targets own keys.
};

/// One version of the operators' configuration.
struct routing_configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<routed_service> services;
    server_limits limits;
};

/// What a target last said of itself.
struct target_entry {
    target_id id;
    service_name service;
    network_address address;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::chrono::milliseconds coldFor{0}; ///< Remaining time of slow service after its start.
    std::uint64_t incarnation = 0;        ///< Start of its process; a restart changes it.

    bool operator==(const target_entry &) const = default;
};

/// What a caller's request says of itself besides its HTTP form.
struct caller_context {
    std::string requestId;
    std::optional<std::chrono::milliseconds> deadline; ///< How long the caller will wait.
    std::optional<key_number> key;
};

/// What a target's answer says besides its HTTP form.
struct answer_context {
    std::string requestId;      ///< Empty if the answer names none.
    bool isSigned = false;      ///< It carries the target's signature.
    bool isNotExecuted = false; ///< The target states that it did not run the request.
    std::optional<target_load> load;
    std::optional<std::chrono::seconds>
            idleTimeout;  ///< How long the target keeps idle connections.
    std::string handover; ///< State reference that a release returned.
};

/// Figures that the users' rules set for the system.
struct service_bounds {
    double retryShare = 0.2;  ///< Second sends that each request pays for.
    double retrySlack = 64.0; ///< Second sends that are free in each window, for the whole system.
    std::chrono::milliseconds drain{2000};    ///< A leaving target gets no request after this time.
    std::chrono::milliseconds grace{6000};    ///< From SIGTERM to SIGKILL.
    std::chrono::milliseconds holdMax{10000}; ///< Longest hold time of a grant.
};

} // namespace clementinebeam
