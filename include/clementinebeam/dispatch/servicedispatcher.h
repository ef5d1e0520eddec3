#pragma once

#include "clementinebeam/dispatch/admissionpolicy.h"
#include "clementinebeam/dispatch/dispatchtypes.h"
#include "clementinebeam/dispatch/ikeydirectory.h"
#include "clementinebeam/dispatch/retrybudget.h"
#include "clementinebeam/dispatch/targetestimate.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace clementinebeam {

/// Limits of a dispatcher.
struct dispatch_settings {
    std::uint32_t lookahead = 1; ///< Requests that may wait at a target beyond its slots.
    std::size_t maxWaiting = 512;
    double retryShare = retry_budget::DEFAULT_SHARE;
    double retryCapacity = retry_budget::DEFAULT_CAPACITY;
    /// Service time that is assumed before a target's first answer.
    std::chrono::microseconds initialServiceTime{100000};
};

/// Keeps the waiting line of one service and the places at its targets.
///
/// Answers load at or beyond the capacity, arriving at many instances at once: each target runs few
/// requests at a time, so limits that every instance sets on its own either overfill a target or
/// leave its slots empty. One dispatcher for all instances hands out the places, in order of
/// priority, then of what can still meet its objective, then of arrival. Does no I/O.
class service_dispatcher
{
public:
    /// @param settings the limits.
    /// @param owners the owners of keys; null for a service without owned keys.
    service_dispatcher(const dispatch_settings &settings, const i_key_directory *owners);

    /// Replaces the targets. Targets that are gone keep their running requests until these end.
    void setTargets(const std::vector<dispatch_target> &targets, instant now);

    /// Places a request, lets it wait, or rejects it. A known token changes nothing.
    void enqueue(const dispatch_request &request, instant now, dispatch_decisions &decisions);

    /// Frees the place of a request that ended, or drops a waiting one.
    void complete(const run_report &report, instant now, dispatch_decisions &decisions);

    /// Places what can be placed and rejects what waited too long; to be called after owners of
    /// keys changed and at nextDeadline().
    void advance(instant now, dispatch_decisions &decisions);

    /// @return when advance() is due, later than @p now; the far future if nothing waits or runs.
    instant nextDeadline(instant now) const;

    /// @return the decision for a token that is placed, or null.
    const dispatch_decision *placed(request_token token) const;

    bool isWaiting(request_token token) const { return m_waiting.contains(token); }

    std::size_t waitingCount() const { return m_waiting.size(); }
    std::size_t runningCount() const { return m_running.size(); }

    /// @return the expected service time at a target; the assumed one if it is not known.
    std::chrono::microseconds serviceTimeOf(const target_id &target) const;

private:
    struct started_request {
        request_token token = 0;
        instant start;
    };

    struct target_state {
        target_state(dispatch_target described, target_estimate initial)
            : target(std::move(described))
            , estimate(initial)
        { }

        dispatch_target target;
        target_estimate estimate;
        bool isListed = true;
        std::vector<started_request> running; ///< In order of start.
        std::uint32_t foreign = 0;            ///< Requests of others that the target reported.
        instant foreignUntil{};
        instant coldUntil{};
    };

    struct running_request {
        dispatch_request request;
        dispatch_decision decision;
    };

    struct waiting_request {
        dispatch_request request;
        target_state *owner = nullptr; ///< Of the request's key; null if there is none.
    };

    /// A waiting request that may be next.
    struct candidate {
        const waiting_request *item;
        bool isLate; ///< It can't meet its objective any more.
    };

    using target_map = std::map<target_id, target_state>;

    bool isUsable(const target_state &state, instant now) const;
    bool isStuck(const target_state &state, instant now) const;
    std::uint32_t occupied(const target_state &state, instant now) const;
    static std::uint32_t foreignOf(const target_state &state, instant now);
    static bool wasFull(const target_state &state, const run_report &report, instant now);
    std::uint32_t capacityOf(const target_state &state) const;
    std::chrono::microseconds expectedTime(const target_state &state, instant now) const;
    target_state *choose(const waiting_request &item, instant now);
    bool hasRoom(const target_state &state, instant now) const;
    std::chrono::microseconds expectedWait(const waiting_request &item, instant now) const;
    std::chrono::microseconds ownerWait(const waiting_request &item, instant now) const;
    std::chrono::microseconds typicalServiceTime(const waiting_request &item) const;
    std::size_t waitingAhead(const dispatch_request &request, const target_state *owner) const;
    target_state *ownerOf(const dispatch_request &request);
    void resolveOwners();
    bool isKeyed(const dispatch_request &request) const { return m_owners && request.key; }
    bool mayTake(const target_state &owner, instant now) const;
    static bool goesFirst(const candidate &left, const candidate &right);
    void place(const dispatch_request &request, target_state &state, instant now,
               dispatch_decisions &decisions);
    void reject(const waiting_request &item, error_kind reason, instant now,
                dispatch_decisions &decisions);
    void rejectHopeless(instant now, dispatch_decisions &decisions);
    void placeWaiting(instant now, dispatch_decisions &decisions);
    void freeOverdue(instant now);
    void release(const run_report &report, instant now);
    void updateSharedServiceTime();
    error_kind reasonFor(const waiting_request &item) const;
    admission_input inputFor(const waiting_request &item, instant now) const;

    dispatch_settings m_settings;
    const i_key_directory *m_owners;
    retry_budget m_retries;
    target_map m_targets;
    std::chrono::microseconds m_sharedServiceTime; ///< Mean over the targets that take requests.
    std::unordered_map<request_token, waiting_request> m_waiting;
    std::unordered_map<request_token, running_request> m_running;
};

} // namespace clementinebeam
