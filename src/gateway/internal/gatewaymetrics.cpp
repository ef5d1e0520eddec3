#include "internal/gatewaymetrics.h"

#include "clementinebeam/observability/boundedlog.h"

#include <prometheus/text_serializer.h>

namespace clementinebeam {

namespace {

/// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries DURATION_BUCKETS{0.001, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                               0.2,   0.4,   0.8,  1.6,   3.2};

double seconds(std::chrono::microseconds value)
{
    return std::chrono::duration<double>(value).count();
}

template <class metric_builder>
auto &family(metric_builder builder, const char *name, const char *help,
             prometheus::Registry &registry)
{
    return builder.Name(name).Help(help).Register(registry);
}

} // namespace

std::string_view nameOf(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::None:
        return "none";
    case refusal_cause::NoRoom:
        return "no_room";
    case refusal_cause::QueueFull:
        return "queue_full";
    case refusal_cause::TooLate:
        return "too_late";
    case refusal_cause::RetryBudget:
        return "retry_budget";
    }
    return "unknown";
}

std::string_view nameOf(run_result result)
{
    switch (result) {
    case run_result::Answered:
        return "answered";
    case run_result::NotExecuted:
        return "not_executed";
    case run_result::WrongOwner:
        return "wrong_owner";
    case run_result::NotSent:
        return "not_sent";
    case run_result::Lost:
        return "lost";
    case run_result::TimedOut:
        return "timed_out";
    case run_result::Abandoned:
        return "abandoned";
    case run_result::NotUsed:
        return "not_used";
    case run_result::Failed:
        break;
    }
    return "failed";
}

gateway_metrics::gateway_metrics()
    : m_requests(family(prometheus::BuildCounter(), "clementinebeam_gateway_requests_total",
                        "Finished requests", m_registry))
    , m_durations(family(prometheus::BuildHistogram(),
                         "clementinebeam_gateway_request_duration_seconds",
                         "Time from arrival to answer", m_registry))
    , m_waits(family(prometheus::BuildHistogram(), "clementinebeam_gateway_queue_wait_seconds",
                     "Time until a place was found", m_registry))
    , m_targetTimes(family(prometheus::BuildHistogram(),
                           "clementinebeam_gateway_target_duration_seconds", "Time at the target",
                           m_registry))
    , m_retries(family(prometheus::BuildCounter(), "clementinebeam_gateway_retries_total",
                       "Requests sent to another target", m_registry))
    , m_refusals(family(prometheus::BuildCounter(), "clementinebeam_gateway_refused_total",
                        "Requests that the dispatcher rejected", m_registry))
    , m_storeCalls(family(prometheus::BuildCounter(), "clementinebeam_gateway_store_calls_total",
                          "Calls to the platform's store", m_registry))
    , m_brokenAnswers(family(prometheus::BuildCounter(),
                             "clementinebeam_gateway_broken_answers_total",
                             "Answers that were refused because they are broken", m_registry))
    , m_moves(family(prometheus::BuildCounter(), "clementinebeam_gateway_range_moves_total",
                     "Ranges of keys that were moved to even out the load", m_registry))
    , m_heldBack(family(
              prometheus::BuildCounter(), "clementinebeam_gateway_warm_up_held_back_total",
              "Requests not dispatched at once because of a target's warm-up limit", m_registry))
    , m_limits(family(prometheus::BuildCounter(), "clementinebeam_gateway_caller_limits_total",
                      "Requests refused and connections closed for limits on callers", m_registry))
    , m_incompleteRows(family(prometheus::BuildCounter(),
                              "clementinebeam_gateway_incomplete_configuration_rows_total",
                              "Routes and services that could not be read in full", m_registry)
                               .Add({}))
    , m_ages(family(prometheus::BuildGauge(), "clementinebeam_gateway_input_age_seconds",
                    "Time since the store last confirmed an input", m_registry))
    , m_keys(family(prometheus::BuildGauge(), "clementinebeam_gateway_keys",
                    "Keys of the services coordinated here, by state", m_registry))
    , m_evacuated(family(prometheus::BuildGauge(), "clementinebeam_gateway_evacuated",
                         "1 for each evacuated data centre", m_registry))
    , m_evacuationKeys(family(prometheus::BuildGauge(), "clementinebeam_gateway_evacuation_keys",
                              "Keys of the services coordinated here in evacuated data centres",
                              m_registry))
    , m_evacuationRequests(
              family(prometheus::BuildGauge(), "clementinebeam_gateway_evacuation_requests",
                     "Running requests of the services coordinated here in evacuated data centres",
                     m_registry))
    , m_coldTargets(family(prometheus::BuildGauge(), "clementinebeam_gateway_cold_targets",
                           "Cold targets with a warm-up limit, of the services coordinated here",
                           m_registry))
    , m_version(family(prometheus::BuildGauge(), "clementinebeam_gateway_configuration_version",
                       "Configuration version in force", m_registry)
                        .Add({}))
    , m_storeEra(family(prometheus::BuildGauge(), "clementinebeam_gateway_store_era",
                        "Latest era of the store", m_registry)
                         .Add({}))
    , m_storeReturns(family(prometheus::BuildCounter(),
                            "clementinebeam_gateway_store_returns_total",
                            "Returns of the store from an older copy since the start", m_registry)
                             .Add({}))
    , m_targets(family(prometheus::BuildGauge(), "clementinebeam_gateway_targets", "Targets known",
                       m_registry)
                        .Add({}))
    , m_droppedLines(family(prometheus::BuildGauge(), "clementinebeam_gateway_log_lines_dropped",
                            "Log lines dropped since the start", m_registry)
                             .Add({}))
{ }

void gateway_metrics::countRequest(std::string_view routeName, std::string_view outcome,
                                   std::string_view reason, std::chrono::microseconds duration)
{
    const std::string name(routeName);
    m_requests
            .Add({{"route", name},
                  {"outcome", std::string(outcome)},
                  {"reason", std::string(reason)}})
            .Increment();
    m_durations.Add({{"outcome", std::string(outcome)}}, DURATION_BUCKETS)
            .Observe(seconds(duration));
}

void gateway_metrics::observeQueueWait(std::string_view service, std::chrono::microseconds waited)
{
    m_waits.Add({{"service", std::string(service)}}, DURATION_BUCKETS).Observe(seconds(waited));
}

void gateway_metrics::observeTarget(std::string_view service, run_result result,
                                    std::chrono::microseconds duration)
{
    m_targetTimes
            .Add({{"service", std::string(service)}, {"result", std::string(nameOf(result))}},
                 DURATION_BUCKETS)
            .Observe(seconds(duration));
}

void gateway_metrics::countRetry(std::string_view service, std::string_view reason)
{
    m_retries.Add({{"service", std::string(service)}, {"reason", std::string(reason)}}).Increment();
}

void gateway_metrics::countRefusal(std::string_view service, int priority, refusal_cause cause)
{
    m_refusals
            .Add({{"service", std::string(service)},
                  {"priority", std::to_string(priority)},
                  {"cause", std::string(nameOf(cause))}})
            .Increment();
}

void gateway_metrics::countStoreCall(std::string_view call, std::string_view result)
{
    ++m_recentStoreCalls[std::string(call)];
    m_storeCalls.Add({{"call", std::string(call)}, {"result", std::string(result)}}).Increment();
}

void gateway_metrics::countLimit(std::string_view reason)
{
    ++m_recentLimits[std::string(reason)];
    m_limits.Add({{"reason", std::string(reason)}}).Increment();
}

void gateway_metrics::countIncompleteRows(std::size_t count)
{
    m_incompleteRows.Increment(static_cast<double>(count));
}

void gateway_metrics::countKeyMoves(std::string_view service, std::uint64_t count)
{
    m_moves.Add({{"service", std::string(service)}}).Increment(static_cast<double>(count));
}

void gateway_metrics::setConfiguration(std::uint64_t version)
{
    m_version.Set(static_cast<double>(version));
}

void gateway_metrics::setStoreEra(store_era era, bool isReturn)
{
    m_storeEra.Set(static_cast<double>(numberOf(era)));
    if (isReturn)
        m_storeReturns.Increment();
}

void gateway_metrics::setAge(std::string_view input, std::chrono::milliseconds age)
{
    m_ages.Add({{"input", std::string(input)}}).Set(std::chrono::duration<double>(age).count());
}

void gateway_metrics::setTargets(std::size_t count)
{
    m_targets.Set(static_cast<double>(count));
}

void gateway_metrics::setEvacuations(const evacuation_view::evacuation_map &evacuated,
                                     const std::vector<evacuation_remainder> &remainders)
{
    for (const auto &[gauges, gauge] : m_evacuationGauges)
        gauges->Remove(gauge);
    m_evacuationGauges.clear();
    const auto set = [this](auto &gauges, const prometheus::Labels &labels, std::size_t value) {
        auto &gauge = gauges.Add(labels);
        gauge.Set(static_cast<double>(value));
        m_evacuationGauges.emplace_back(&gauges, &gauge);
    };
    for (const auto &[dataCentre, since] : evacuated)
        set(m_evacuated, {{"data_centre", dataCentre}}, 1);
    for (const auto &item : remainders) {
        const prometheus::Labels labels{{"data_centre", item.dataCentre},
                                        {"service", item.service}};
        set(m_evacuationKeys, labels, item.keys);
        set(m_evacuationRequests, labels, item.requests);
    }
}

void gateway_metrics::setKeys(std::string_view service, std::size_t served, std::size_t unserved)
{
    const std::string name(service);
    m_keys.Add({{"service", name}, {"state", "served"}}).Set(static_cast<double>(served));
    m_keys.Add({{"service", name}, {"state", "unserved"}}).Set(static_cast<double>(unserved));
}

void gateway_metrics::setColdTargets(std::string_view service, std::size_t count,
                                     std::uint64_t newlyHeldBack)
{
    const std::string name(service);
    m_coldTargets.Add({{"service", name}}).Set(static_cast<double>(count));
    m_heldBack.Add({{"service", name}}).Increment(static_cast<double>(newlyHeldBack));
}

void gateway_metrics::countBrokenAnswer(std::string_view source, const std::error_code &reason)
{
    m_brokenAnswers.Add({{"source", std::string(source)}, {"reason", reason.message()}})
            .Increment();
}

std::string gateway_metrics::render()
{
    m_droppedLines.Set(static_cast<double>(droppedLogLines()));
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace clementinebeam
