#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/kernel/result.h"
#include "internal/concurrencylimit.h"

#include <condition_variable>
#include <list>
#include <map>
#include <string>

namespace clementinebeam {

/// Identifies a flow, the unit of fair queueing: one member's requests of one kind.
struct flow_id {
    std::string member;
    std::string kind;

    auto operator<=>(const flow_id &) const = default;
};

/// Admits requests to one target within its concurrency limit.
///
/// Waiting requests are served by weighted fair queueing over flows. A request that is not expected
/// to be served before its deadline is refused at once, and one whose deadline passes leaves the
/// queue. Thread-safe.
class target_queue
{
public:
    /// @param maxConcurrency upper bound of the requests in flight.
    /// @param maxWaiting upper bound of the waiting requests.
    target_queue(std::uint32_t maxConcurrency, std::uint32_t maxWaiting);

    void setLimits(std::uint32_t maxConcurrency, std::uint32_t maxWaiting);

    /// Waits until the request may be sent.
    /// @param flow the request's flow.
    /// @param share the flow's weight in fair queueing; above 0.
    /// @param deadline when to give up.
    /// @return Overloaded if the request was refused or its deadline passed; otherwise the caller
    ///         must call one of the release functions once.
    std::error_code acquire(const flow_id &flow, double share, instant deadline);

    /// Ends a request that was answered.
    /// @param duration the service time.
    void releaseAnswered(std::chrono::microseconds duration);

    /// Ends a request that the target shed or did not answer in time.
    void releaseOverloaded();

    /// Ends a request whose outcome says nothing about the load of the target.
    void release();

    /// @return the number of waiting requests.
    std::size_t waitingCount();

private:
    struct waiter {
        flow_id flow;
        double finish = 0.0; ///< Virtual finish time.
        bool admitted = false;
        bool evicted = false;
        std::condition_variable_any wake;
    };

    using waiter_list = std::list<waiter *>;

    void admitNext();
    void removeWaiter(waiter *item);
    bool evictFromLongestFlow(const flow_id &flow);
    std::size_t waitingOf(const flow_id &flow) const;
    std::chrono::microseconds expectedWait() const;

    ordered_mutex m_mutex{lock_rank::TargetTable};
    concurrency_limit m_limit;
    std::uint32_t m_maxWaiting;
    std::uint32_t m_running = 0;
    double m_virtualTime = 0.0;
    std::map<flow_id, double> m_lastFinish;
    std::map<flow_id, std::size_t> m_waitingByFlow;
    waiter_list m_waiting;
};

} // namespace clementinebeam
