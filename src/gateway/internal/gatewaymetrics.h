#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <utility>

namespace clementinebeam {

/// Metrics of one gateway process. All times are exported in seconds.
class gateway_metrics
{
public:
    gateway_metrics();

    /// @param routeName the route; empty if none matched.
    /// @param outcome how the request ended, such as "answered" or "rejected".
    /// @param reason why, "none" for an answered one.
    /// @param duration from arrival to the end.
    void countRequest(std::string_view routeName, std::string_view outcome, std::string_view reason,
                      std::chrono::microseconds duration);

    void observeQueueWait(std::string_view service, std::chrono::microseconds waited);
    void observeTarget(std::string_view service, run_result result,
                       std::chrono::microseconds duration);
    void countRetry(std::string_view service, std::string_view reason);
    void countStoreCall(std::string_view call, std::string_view result);

    /// @return calls to the store by kind since the last question; empty if there were none.
    std::map<std::string, std::uint64_t> takeStoreCalls() { return std::exchange(m_newCalls, {}); }

    void countKeyMoves(std::string_view service, std::uint64_t count);
    void setConfiguration(std::uint64_t version);
    void setAge(std::string_view input, std::chrono::milliseconds age);
    void setTargets(std::size_t count);
    void setKeys(std::string_view service, std::size_t served, std::size_t unserved);

    /// @return all metrics in the Prometheus text format.
    std::string render();

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_durations;
    prometheus::Family<prometheus::Histogram> &m_waits;
    prometheus::Family<prometheus::Histogram> &m_targetTimes;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_moves;
    prometheus::Family<prometheus::Gauge> &m_ages;
    prometheus::Family<prometheus::Gauge> &m_keys;
    prometheus::Gauge &m_version;
    prometheus::Gauge &m_targets;
    prometheus::Gauge &m_droppedLines;
    std::map<std::string, std::uint64_t> m_newCalls; ///< By kind, since they were last taken.
};

/// @param result how a target dealt with a request.
/// @return its name for logs and metrics.
std::string_view nameOf(run_result result);

} // namespace clementinebeam
