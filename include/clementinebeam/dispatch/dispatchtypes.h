#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/kernel/identifiers.h"
#include "clementinebeam/warmup/warmuppacer.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementinebeam {

using request_token = std::uint64_t; ///< Unique id of one attempt to dispatch a request.
using key_number = std::uint32_t;    ///< Position in a service's key space.

/// A request that is to be dispatched to a target.
struct dispatch_request {
    request_token token = 0;
    std::optional<key_number> key; ///< Set if only the owner of the key may run the request.
    int priority = 0;              ///< 0 is the most urgent.
    bool isRetry = false;          ///< The request was sent before.
    instant arrival;
    instant objective;      ///< Latest answer that meets the latency objective.
    instant deadline;       ///< Latest answer that the caller waits for.
    std::string dataCentre; ///< Data centre of the instance that received the request.
    /// Target at which the request already failed, if any; ignored if only the owner of the key may
    /// run the request.
    target_id excluded;
    /// Hash of what the repeats of a request have in common; 0 if it is not known.
    std::uint64_t fingerprint = 0;
};

/// Outcome of a dispatched request.
enum class run_result : std::uint8_t {
    Answered,
    NotExecuted, ///< The target stated that it did not run the request.
    WrongOwner,  ///< The target does not hold the key, or another target has the address.
    NotSent,     ///< No connection could be made.
    Lost,        ///< The connection was lost before a usable answer.
    TimedOut,    ///< No answer before the deadline.
    /// The caller disconnected before the answer, or the deadline passed before the request was
    /// sent.
    Abandoned,
    /// The sender did not use the decision: it came too late, or the target is leaving or unknown
    /// to the sender.
    NotUsed,
    Failed, ///< The target answered with a server error.
};

/// Last value of run_result.
constexpr run_result LAST_RUN_RESULT = run_result::Failed;

/// Reported work time of a target that is as fast as usual, in percent.
constexpr std::uint32_t USUAL_WORK_PERCENT = 100;

/// Load that a target reported along with an answer.
struct target_load {
    std::uint32_t running = 0; ///< Requests that the target runs, without those that wait there.
    std::uint32_t waiting = 0; ///< Requests that wait at the target.
    std::uint32_t slots = 0;   ///< Requests that the target runs at a time.
    /// How long work takes at present, in percent of the usual time.
    std::uint32_t workPercent = USUAL_WORK_PERCENT;
};

/// What a target states about itself along with an answer.
struct target_statement {
    /// Requests a second that it takes from all instances together, for as long as it states so.
    std::optional<double> rateLimit;
    bool isLeaving = false; ///< It shuts down and takes no new requests.
    /// How long it takes no requests; 0 if it does not say so. Unlike the other statements, it is
    /// not withdrawn by a later answer.
    std::chrono::milliseconds pause{0};

    bool operator==(const target_statement &) const = default;

    /// @return whether it states nothing.
    bool empty() const { return *this == target_statement{}; }
};

/// Reports that a dispatched request ended.
struct run_report {
    request_token token = 0;
    run_result result = run_result::Answered;
    std::chrono::microseconds duration{0}; ///< Time at the target, measured by the sender.
    std::optional<target_load> load;
};

/// Why a dispatcher rejects a request, in more detail than the error that the caller gets.
enum class refusal_cause : std::uint8_t {
    None,
    NoRoom,      ///< On arrival: those that go first leave no room until it would be too late.
    QueueFull,   ///< The queue is full, and it is the cheapest to refuse.
    TooLate,     ///< It waited, and can't be answered in time any more.
    RetryBudget, ///< It was sent before, and retries are too many.
};

/// Tells where to send a request, or that it is rejected.
struct dispatch_decision {
    request_token token = 0;
    target_id target;                     ///< Where to send it; empty if it is rejected.
    error_kind reason = error_kind::None; ///< Why it is rejected.
    /// Why a dispatcher of this process rejects it; not known for decisions of others.
    refusal_cause cause = refusal_cause::None;
    int priority = 0; ///< Of the request, if it is rejected by a dispatcher of this process.
    std::chrono::milliseconds retryAfter{0}; ///< Proposed delay before a retry if it is rejected.
    std::chrono::microseconds waited{0};     ///< Time in the queue.
    std::size_t queueLength = 0;             ///< Queued requests at the time of the decision.
    /// The request must not be sent later; nothing if only its deadline counts.
    std::optional<instant> sendBefore{};
};

using dispatch_decisions = std::vector<dispatch_decision>;

/// A target that can receive requests.
struct dispatch_target {
    target_id id;
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Requests that the target runs at a time.
    bool isDraining = false;
    instant coldUntil{}; ///< Until then it is slow, and its warm-up limit applies.
    /// From then on, the target gets no new requests even for keys that it owns; until then it gets
    /// them even while it drains.
    instant ownerUntil = instant::max();
    instant pausedUntil{};             ///< Until then, it gets no requests.
    std::optional<double> rateLimit{}; ///< Largest number of requests a second, if it is limited.
    std::optional<warm_up_limit> warmUpLimit{}; ///< Nothing if it takes any number while cold.
};

} // namespace clementinebeam
