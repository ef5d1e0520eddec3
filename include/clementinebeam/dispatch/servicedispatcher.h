#pragma once

#include "clementinebeam/admission/requestkinds.h"
#include "clementinebeam/admission/waitingorder.h"
#include "clementinebeam/dispatch/admissionpolicy.h"
#include "clementinebeam/dispatch/dispatchtypes.h"
#include "clementinebeam/dispatch/ikeydirectory.h"
#include "clementinebeam/dispatch/ratepacer.h"
#include "clementinebeam/dispatch/retrybudget.h"
#include "clementinebeam/dispatch/targetestimate.h"
#include "clementinebeam/warmup/warmuppacer.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace clementinebeam {

/// Limits of a dispatcher.
struct dispatch_settings {
    std::uint32_t lookahead = 1;  ///< Requests that may wait at a target beyond its slots.
    std::size_t maxWaiting = 512; ///< Longest queue; beyond it, the cheapest to refuse is rejected.
    /// Parameters of the retry_budget.
    double retryShare = retry_budget::DEFAULT_SHARE;
    double retryCapacity = retry_budget::DEFAULT_CAPACITY;
    /// Requests a second by which the rate limit of a key's owner may be exceeded, besides a
    /// factor.
    double ownerLimitExtra = 0.5;
    /// Whether requests may be sent to cold targets with a warm-up limit. Only one dispatcher can
    /// keep such a limit.
    bool mayUseColdTargets = true;
    /// Service time that is assumed before a target's first answer.
    std::chrono::microseconds initialServiceTime{100000};
};

/// Queues the requests of one service and dispatches them to its targets.
///
/// Each target runs few requests at a time. Under load at or beyond the capacity that arrives at
/// many instances at once, limits that every instance sets on its own either overfill a target or
/// leave its slots empty. One dispatcher for all instances therefore assigns the slots, in the
/// order of waiting_order. Does no I/O.
class service_dispatcher
{
public:
    /// @param settings the limits.
    /// @param keyDirectory the owners of keys; null for a service without owned keys. Not owned; it
    ///     must outlive the dispatcher.
    service_dispatcher(const dispatch_settings &settings, const i_key_directory *keyDirectory);

    /// Replaces the targets. Requests that run at removed targets are tracked until they end.
    void setTargets(const std::vector<dispatch_target> &targets, instant now);

    /// Sends no request to the targets with a rate limit for a part of the time between two of
    /// their requests. Several dispatchers that share the limits start at different times so.
    /// @param share that part, from 0 to 1.
    void delayLimitedTargets(double share, instant now);

    /// Dispatches, queues or rejects a request. Has no effect for a token that is already known.
    /// @param decisions gets the decisions that follow, also for other requests.
    void enqueue(const dispatch_request &request, instant now, dispatch_decisions &decisions);

    /// Frees the slot of a request that ended, or removes a queued one, and dispatches others.
    /// @param decisions gets the decisions that follow.
    void complete(const run_report &report, instant now, dispatch_decisions &decisions);

    /// Dispatches queued requests and rejects those that can't be answered in time any more; to be
    /// called after owners of keys changed and at nextDeadline().
    /// @param decisions gets the decisions that follow.
    void advance(instant now, dispatch_decisions &decisions);

    /// @return when advance() is due: when a queued request becomes too late, a target's suspension
    ///     ends or its rate limit allows another request while requests are queued, or the report
    ///     of a dispatched request is overdue. The far future if nothing is queued or dispatched.
    ///     Later than @p now if requests are queued, otherwise possibly in the past.
    instant nextDeadline(instant now) const;

    /// @return the decision for a dispatched request that has not ended, or null. Valid until the
    ///     request ends.
    const dispatch_decision *placed(request_token token) const;

    /// @return whether the request is in the queue.
    bool isWaiting(request_token token) const { return m_waiting.contains(token); }

    /// @return the number of requests that run at a target.
    std::size_t runningAt(const target_id &target) const
    {
        const auto found = m_targets.find(target);
        return found == m_targets.end() ? 0 : found->second.running.size();
    }

    /// @return the length of the queue.
    std::size_t waitingCount() const { return m_waiting.size(); }
    /// @return the number of dispatched requests that have not ended, including those that wait at
    ///     their targets.
    std::size_t runningCount() const { return m_running.size(); }

    /// @return the requests a second that a target can answer, also while it is cold; 0 if it is
    ///     unknown.
    double throughputOf(const target_id &target, instant now) const;

    /// @return the targets that take few requests at present because they are cold.
    std::size_t limitedColdTargets(instant now) const;

    /// @return the requests that were not dispatched on arrival because of the warm-up limit of a
    ///     target with a free slot.
    std::uint64_t heldBackCount() const { return m_heldBackCount; }

private:
    /// Start of a dispatched request, as its target_state keeps it.
    struct started_request {
        request_token token = 0;
        instant start;
        /// When a slot of the target was free for it; none while it waits there.
        std::optional<instant> begun;
    };

    struct target_state {
        target_state(dispatch_target description, target_estimate initial)
            : target(std::move(description))
            , estimate(initial)
        { }

        dispatch_target target;
        target_estimate estimate;
        std::optional<rate_pacer> pacer;     ///< Set if the target has a rate limit.
        std::optional<warm_up_pacer> warmUp; ///< Set if the target is limited while it is cold.
        bool isListed = true;
        std::vector<started_request> running; ///< Dispatched and not ended, in order of start.
        /// Requests at the target that were not dispatched here, according to its last report.
        std::uint32_t externalRequests = 0;
        instant externalRequestsUntil{};
    };

    /// A dispatched request that has not ended; it may still wait at the target.
    struct running_request {
        dispatch_request request;
        dispatch_decision decision;
        request_kinds::index kind;
    };

    struct waiting_request {
        dispatch_request request;
        target_state *owner = nullptr; ///< Of the request's key; null if there is none.
        request_kinds::index kind = 0;
    };

    /// A queued request that may be dispatched next.
    struct candidate {
        const waiting_request *item;
        waiting_order::rank rank;
    };

    using target_map = std::map<target_id, target_state>;

    bool isUsable(const target_state &state, instant now) const;
    static instant unavailableUntil(const target_state &state);
    bool isStuck(const target_state &state, instant now) const;
    std::uint32_t occupancy(const target_state &state, instant now) const;
    static std::uint32_t externalRequestsOf(const target_state &state, instant now);
    static void beginNext(target_state &state, instant now);
    static bool wasFull(const target_state &state, const run_report &report, instant now);
    void updatePacer(target_state &state, instant now) const;
    bool isHeldBack(const waiting_request &item, instant now) const;
    static bool isLimitedAsCold(const target_state &state, instant now);
    instant paceReadyAt(const target_state &state, instant now) const;
    double rateOf(const target_state &state, std::chrono::microseconds serviceTime,
                  instant now) const;
    std::uint32_t capacityOf(const target_state &state) const;
    /// Includes COLD_START_FACTOR, unlike typicalServiceTime().
    std::chrono::microseconds expectedTime(const target_state &state, instant now) const;
    target_state *chooseTarget(const waiting_request &item, instant now);
    bool hasCapacity(const target_state &state, instant now) const;
    std::chrono::microseconds expectedWait(const waiting_request &item, instant now) const;
    std::chrono::microseconds ownerWait(const waiting_request &item, instant now) const;
    std::chrono::microseconds typicalServiceTime(const waiting_request &item) const;
    std::chrono::microseconds expectedWork(const waiting_request &item) const;
    waiting_item orderItemOf(const waiting_request &item) const;
    double workAhead(const waiting_request &item) const;
    bool makeRoomFor(const waiting_request &item, instant now, dispatch_decisions &decisions);
    target_state *ownerOf(const dispatch_request &request);
    void resolveOwners();
    bool isKeyed(const dispatch_request &request) const { return m_keyDirectory && request.key; }
    bool canServe(const target_state &owner, instant now) const;
    void dispatch(const waiting_request &item, target_state &state, instant now,
                  dispatch_decisions &decisions);
    void reject(const waiting_request &item, refusal_cause cause, instant now,
                dispatch_decisions &decisions);
    void rejectTooLate(instant now, dispatch_decisions &decisions);
    void dispatchWaiting(instant now, dispatch_decisions &decisions);
    void releaseOverdue(instant now);
    void release(const run_report &report, instant now);
    void updateMeanServiceTime();
    error_kind rejectionReason(const waiting_request &item) const;
    admission_input admissionInputFor(const waiting_request &item, instant now) const;

    dispatch_settings m_settings;
    const i_key_directory *m_keyDirectory;
    retry_budget m_retryBudget;
    target_map m_targets;
    std::uint64_t m_heldBackCount = 0;
    /// Mean over listed targets that are not draining, without COLD_START_FACTOR.
    std::chrono::microseconds m_meanServiceTime;
    request_kinds m_kinds;
    std::unordered_map<request_token, waiting_request> m_waiting;
    std::unordered_map<request_token, running_request> m_running;
};

} // namespace clementinebeam
