#pragma once

#include "clementinebeam/observability/imetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace clementinebeam {

/// Keeps the metrics in a Prometheus registry.
class prometheus_metrics : public i_metrics
{
public:
    prometheus_metrics();

    void countRequest(const service_name &service, const std::string &kind, error_kind reason,
                      std::chrono::microseconds duration) override;
    void countDrop(std::string_view reason) override;
    void countBrokenAnswer(std::string_view source, std::string_view reason) override;
    void countRetry(const service_name &service, std::string_view reason) override;
    void countMoves(const service_name &service, std::string_view cause,
                    std::size_t count) override;
    void observeAdmission(std::chrono::microseconds duration) override;
    void setConfigurationVersion(std::uint64_t version) override;
    void setLogReachable(bool reachable) override;
    void setShard(const shard_id &shard, int role, std::size_t unservedSlots) override;
    std::string render() const override;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_durations;
    prometheus::Family<prometheus::Counter> &m_droppedMessages;
    prometheus::Family<prometheus::Counter> &m_brokenAnswers;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_slotMoves;
    prometheus::Histogram &m_admissions;
    prometheus::Gauge &m_configurationVersion;
    prometheus::Gauge &m_logReachable;
    prometheus::Family<prometheus::Gauge> &m_roles;
    prometheus::Family<prometheus::Gauge> &m_unservedSlots;
};

} // namespace clementinebeam
