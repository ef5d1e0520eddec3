#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/kernel/identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementinebeam {

using request_token = std::uint64_t; ///< Names one attempt to place a request; unique.
using key_number = std::uint32_t;    ///< Position in a service's key space.

/// A request that waits for a place at a target.
struct dispatch_request {
    request_token token = 0;
    std::optional<key_number> key; ///< Set if only the owner of the key may run the request.
    int priority = 0;              ///< 0 is the most urgent.
    bool isRetry = false;          ///< The request was sent to another target before.
    instant arrival;
    instant objective;      ///< Latest answer that meets the latency objective.
    instant deadline;       ///< Latest answer that the caller waits for.
    std::string dataCentre; ///< Where the request entered.
    target_id excluded;     ///< Target that already failed the request, if any.
};

/// How a target dealt with a request.
enum class run_result : std::uint8_t {
    Answered,
    NotExecuted, ///< The target stated that it did not run the request.
    WrongOwner,  ///< The target does not hold the key, or another target has the address.
    NotSent,     ///< No connection could be made.
    Lost,        ///< The connection ended without a usable answer.
    TimedOut,
    Abandoned, ///< The caller left first.
    NotUsed,   ///< The place was given too late and is returned.
};

/// What a target said of its load along with an answer.
struct target_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// The end of a request at its target.
struct run_report {
    request_token token = 0;
    run_result result = run_result::Answered;
    std::chrono::microseconds duration{0}; ///< Time at the target as its sender saw it.
    std::optional<target_load> load;
};

/// What becomes of a request that waited.
struct dispatch_decision {
    request_token token = 0;
    target_id target;                        ///< Where to send it; empty if it is rejected.
    error_kind reason = error_kind::None;    ///< Why it is rejected.
    std::chrono::milliseconds retryAfter{0}; ///< When there will be room for a rejected one.
    std::chrono::microseconds waited{0};     ///< Time in the queue.
    std::size_t queueLength = 0;             ///< Requests that were waiting at the decision.
};

using dispatch_decisions = std::vector<dispatch_decision>;

/// A target that may be given requests.
struct dispatch_target {
    target_id id;
    std::string dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::chrono::milliseconds coldFor{0}; ///< Remaining time of slow service after its start.
    /// A draining target may still get requests for keys that it owns until then.
    instant ownerUntil = instant::max();
};

} // namespace clementinebeam
