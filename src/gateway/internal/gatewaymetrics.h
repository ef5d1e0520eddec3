#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"
#include "clementinebeam/evacuation/evacuationprogress.h"
#include "clementinebeam/kernel/storeera.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace clementinebeam {

/// Prometheus metrics of one gateway process. Times are exported in seconds.
class gateway_metrics
{
public:
    gateway_metrics();

    /// Counts a finished request and observes its duration.
    /// @param routeName the route; empty if none matched.
    /// @param outcome how the request ended, such as "answered" or "rejected".
    /// @param reason why it ended so; "none" for an answered one.
    /// @param duration time from arrival to the end.
    void countRequest(std::string_view routeName, std::string_view outcome, std::string_view reason,
                      std::chrono::microseconds duration);

    /// Observes the time until a dispatcher decided about a request.
    void observeQueueWait(std::string_view service, std::chrono::microseconds waited);

    /// Observes the time that a request spent at a target.
    void observeTarget(std::string_view service, run_result result,
                       std::chrono::microseconds duration);

    /// Counts the decision to try another target, before one is assigned.
    /// @param reason why the previous target failed.
    void countRetry(std::string_view service, std::string_view reason);

    /// Counts a request that a dispatcher of this process rejected.
    void countRefusal(std::string_view service, int priority, refusal_cause cause);

    /// Counts a finished call to the store.
    /// @param call kind of the call.
    /// @param result name of its store_failure.
    void countStoreCall(std::string_view call, std::string_view result);

    /// Counts an answer that was refused because it is broken.
    /// @param source what kind of call it answered: "target", "control" or "store".
    /// @param reason why it is no answer.
    void countBrokenAnswer(std::string_view source, const std::error_code &reason);

    /// @return calls to the store by kind since the previous call of this; empty if there were
    /// none.
    std::map<std::string, std::uint64_t> takeStoreCalls()
    {
        return std::exchange(m_recentStoreCalls, {});
    }

    /// Counts a request that was refused, or a connection that was closed, for a limit on callers.
    /// @param reason name of the limit.
    void countLimit(std::string_view reason);

    /// @return the counts of countLimit() by reason since the previous call of this.
    std::map<std::string, std::uint64_t> takeLimits() { return std::exchange(m_recentLimits, {}); }

    /// Counts ranges of keys that were moved to balance the load.
    void countKeyMoves(std::string_view service, std::uint64_t count);

    /// @param version version of the configuration in use.
    void setConfiguration(std::uint64_t version);

    /// @param era the latest era of the store that is known.
    /// @param isReturn whether the store has come back from an older copy since the start.
    void setStoreEra(store_era era, bool isReturn);

    /// @param count routes and services of a new configuration that could not be read in full.
    void countIncompleteRows(std::size_t count);

    /// @param input name of a store stream.
    /// @param age time since the stream was last known to be up to date.
    void setAge(std::string_view input, std::chrono::milliseconds age);

    /// @param count number of known targets.
    void setTargets(std::size_t count);

    /// Sets which data centres are evacuated, and what the services that this instance coordinates
    /// still have there.
    void setEvacuations(const evacuation_view::evacuation_map &evacuated,
                        const std::vector<evacuation_remainder> &remainders);

    /// Sets the numbers of keys with and without a target that serves them, for a service that this
    /// instance coordinates.
    void setKeys(std::string_view service, std::size_t served, std::size_t unserved);

    /// Sets the number of cold targets with a warm-up limit, and counts the requests that their
    /// limits held back, for a service that this instance coordinates.
    void setColdTargets(std::string_view service, std::size_t count, std::uint64_t newlyHeldBack);

    /// @return all metrics in the Prometheus text format.
    std::string render();

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_durations;
    prometheus::Family<prometheus::Histogram> &m_waits;
    prometheus::Family<prometheus::Histogram> &m_targetTimes;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_brokenAnswers;
    prometheus::Family<prometheus::Counter> &m_moves;
    prometheus::Family<prometheus::Counter> &m_heldBack;
    prometheus::Family<prometheus::Counter> &m_limits;
    prometheus::Counter &m_incompleteRows;
    prometheus::Family<prometheus::Gauge> &m_ages;
    prometheus::Family<prometheus::Gauge> &m_keys;
    prometheus::Family<prometheus::Gauge> &m_evacuated;
    prometheus::Family<prometheus::Gauge> &m_evacuationKeys;
    prometheus::Family<prometheus::Gauge> &m_evacuationRequests;
    std::vector<std::pair<prometheus::Family<prometheus::Gauge> *, prometheus::Gauge *>>
            m_evacuationGauges; ///< Those that the last setEvacuations() added.
    prometheus::Family<prometheus::Gauge> &m_coldTargets;
    prometheus::Gauge &m_version;
    prometheus::Gauge &m_storeEra;
    prometheus::Counter &m_storeReturns;
    prometheus::Gauge &m_targets;
    prometheus::Gauge &m_droppedLines;
    std::map<std::string, std::uint64_t>
            m_recentStoreCalls; ///< By kind, since the last takeStoreCalls().
    std::map<std::string, std::uint64_t> m_recentLimits; ///< Since the last takeLimits().
};

/// @param result the outcome of sending a request to a target.
/// @return its name in logs and metrics; a static string.
std::string_view nameOf(run_result result);

/// @param cause why a dispatcher rejected a request.
/// @return its name in metrics; a static string.
std::string_view nameOf(refusal_cause cause);

} // namespace clementinebeam
