#include "internal/prometheusmetrics.h"

#include <prometheus/text_serializer.h>

namespace clementinebeam {

namespace {

const prometheus::Histogram::BucketBoundaries DURATION_BUCKETS{
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.017, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0};

double toSeconds(std::chrono::microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

prometheus_metrics::prometheus_metrics()
    : m_requests(prometheus::BuildCounter()
                         .Name("clementinebeam_requests_total")
                         .Help("Finished requests by outcome and reason")
                         .Register(m_registry))
    , m_durations(prometheus::BuildHistogram()
                          .Name("clementinebeam_request_duration_seconds")
                          .Help("Time from arrival to answer")
                          .Register(m_registry))
    , m_droppedMessages(prometheus::BuildCounter()
                                .Name("clementinebeam_dropped_messages_total")
                                .Help("Messages of other instances that were dropped")
                                .Register(m_registry))
    , m_brokenAnswers(prometheus::BuildCounter()
                              .Name("clementinebeam_broken_answers_total")
                              .Help("Answers that were refused because they are broken")
                              .Register(m_registry))
    , m_retries(prometheus::BuildCounter()
                        .Name("clementinebeam_retries_total")
                        .Help("Second tries of requests")
                        .Register(m_registry))
    , m_slotMoves(prometheus::BuildCounter()
                          .Name("clementinebeam_slot_moves_total")
                          .Help("Slots that got a new owner")
                          .Register(m_registry))
    , m_admissions(prometheus::BuildHistogram()
                           .Name("clementinebeam_admission_duration_seconds")
                           .Help("Time until the leader admitted a request")
                           .Register(m_registry)
                           .Add({}, DURATION_BUCKETS))
    , m_configurationVersion(prometheus::BuildGauge()
                                     .Name("clementinebeam_configuration_version")
                                     .Help("Configuration version in force")
                                     .Register(m_registry)
                                     .Add({}))
    , m_logReachable(prometheus::BuildGauge()
                             .Name("clementinebeam_log_reachable")
                             .Help("1 if the last read of the log succeeded")
                             .Register(m_registry)
                             .Add({}))
    , m_roles(prometheus::BuildGauge()
                      .Name("clementinebeam_shard_role")
                      .Help("0 observer, 1 standby, 2 leader")
                      .Register(m_registry))
    , m_unservedSlots(prometheus::BuildGauge()
                              .Name("clementinebeam_unserved_slots")
                              .Help("Slots that no target serves, as the leader sees it")
                              .Register(m_registry))
{ }

void prometheus_metrics::countRequest(const service_name &service, const std::string &kind,
                                      error_kind reason, std::chrono::microseconds duration)
{
    const auto &answer = answerFor(reason);
    m_requests
            .Add({{"service", service},
                  {"kind", kind},
                  {"outcome", std::string(outcomeName(answer.result))},
                  {"reason", std::string(answer.reason)}})
            .Increment();
    m_durations.Add({{"service", service}}, DURATION_BUCKETS).Observe(toSeconds(duration));
}

void prometheus_metrics::countDrop(std::string_view reason)
{
    m_droppedMessages.Add({{"reason", std::string(reason)}}).Increment();
}

void prometheus_metrics::countBrokenAnswer(std::string_view source, std::string_view reason)
{
    m_brokenAnswers.Add({{"source", std::string(source)}, {"reason", std::string(reason)}})
            .Increment();
}

void prometheus_metrics::countRetry(const service_name &service, std::string_view reason)
{
    m_retries.Add({{"service", service}, {"reason", std::string(reason)}}).Increment();
}

void prometheus_metrics::countMoves(const service_name &service, std::string_view cause,
                                    std::size_t count)
{
    m_slotMoves.Add({{"service", service}, {"cause", std::string(cause)}})
            .Increment(static_cast<double>(count));
}

void prometheus_metrics::observeAdmission(std::chrono::microseconds duration)
{
    m_admissions.Observe(toSeconds(duration));
}

void prometheus_metrics::setConfigurationVersion(std::uint64_t version)
{
    m_configurationVersion.Set(static_cast<double>(version));
}

void prometheus_metrics::setLogReachable(bool reachable)
{
    m_logReachable.Set(reachable ? 1.0 : 0.0);
}

void prometheus_metrics::setShard(const shard_id &shard, int role, std::size_t unservedSlots)
{
    const prometheus::Labels labels{{"shard", shard.text()}};
    m_roles.Add(labels).Set(role);
    m_unservedSlots.Add(labels).Set(static_cast<double>(unservedSlots));
}

std::string prometheus_metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace clementinebeam
