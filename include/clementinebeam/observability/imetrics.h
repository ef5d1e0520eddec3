#pragma once

#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/kernel/identifiers.h"

#include <chrono>
#include <string>
#include <string_view>

namespace clementinebeam {

/// Metrics of this process. Durations are exported in seconds.
class i_metrics
{
public:
    virtual ~i_metrics() = default;

    /// Counts a finished request.
    /// @param service name of the service.
    /// @param kind the request kind.
    /// @param reason error kind of the answer; None if the request succeeded.
    /// @param duration time from arrival to answer.
    virtual void countRequest(const service_name &service, const std::string &kind,
                              error_kind reason, std::chrono::microseconds duration) = 0;

    /// Counts a dropped message of another instance.
    /// @param reason why the message was dropped; a label of the metric.
    virtual void countDrop(std::string_view reason) = 0;

    /// Counts an answer that was refused because it is broken.
    /// @param source who sent it: "target", "control" (a target's answer to a control message or
    ///        probe), "log" or "instance_list".
    /// @param reason why it is no answer; a label of the metric.
    virtual void countBrokenAnswer(std::string_view source, std::string_view reason) = 0;

    /// Counts a retry of a request.
    /// @param service name of the service.
    /// @param reason machine-readable reason why the previous attempt failed.
    virtual void countRetry(const service_name &service, std::string_view reason) = 0;

    /// Counts slots that got a new owner.
    /// @param service name of the service.
    /// @param cause why the slots moved; a label of the metric.
    /// @param count number of slots.
    virtual void countMoves(const service_name &service, std::string_view cause,
                            std::size_t count) = 0;

    /// Records how long it took until the leader admitted a request.
    /// @param duration time until admission.
    virtual void observeAdmission(std::chrono::microseconds duration) = 0;

    /// @param version configuration version in force.
    virtual void setConfigurationVersion(std::uint64_t version) = 0;
    /// @param reachable whether the last read of the log succeeded.
    virtual void setLogReachable(bool reachable) = 0;

    /// Sets this instance's role in a shard and the number of slots without a target.
    /// @param shard the shard.
    /// @param role 0 observer, 1 standby, 2 leader.
    /// @param unservedSlots number of slots of the shard that no target serves.
    virtual void setShard(const shard_id &shard, int role, std::size_t unservedSlots) = 0;

    /// @return all metrics in the Prometheus text format.
    virtual std::string render() const = 0;
};

} // namespace clementinebeam
