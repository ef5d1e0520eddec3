#pragma once

#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/kernel/identifiers.h"

#include <chrono>
#include <string>
#include <string_view>

namespace clementinebeam {

/// Metrics of this process. All times are exported in seconds.
class i_metrics
{
public:
    virtual ~i_metrics() = default;

    /// Counts a finished request.
    /// @param service the service.
    /// @param kind the request kind.
    /// @param reason error kind of the answer; None for an answered request.
    /// @param duration time from arrival to answer.
    virtual void countRequest(const service_name &service, const std::string &kind,
                              error_kind reason, std::chrono::microseconds duration) = 0;

    /// Counts a message that was dropped.
    virtual void countDrop(std::string_view reason) = 0;

    /// Counts a second try of a request.
    virtual void countRetry(const service_name &service, std::string_view reason) = 0;

    /// Counts slots that got a new owner.
    virtual void countMoves(const service_name &service, std::string_view cause,
                            std::size_t count) = 0;

    /// Observes the time that the leader took to admit a request.
    virtual void observeAdmission(std::chrono::microseconds duration) = 0;

    virtual void setConfigurationVersion(std::uint64_t version) = 0;
    virtual void setLogReachable(bool reachable) = 0;

    /// @param role 0 observer, 1 standby, 2 leader.
    virtual void setShard(const shard_id &shard, int role, std::size_t unservedSlots) = 0;

    /// @return all metrics in the Prometheus text format.
    virtual std::string render() const = 0;
};

} // namespace clementinebeam
