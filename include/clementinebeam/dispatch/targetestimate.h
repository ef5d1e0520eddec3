#pragma once

#include "clementinebeam/dispatch/decayingshare.h"
#include "clementinebeam/dispatch/dispatchtypes.h"

namespace clementinebeam {

/// Estimates the service time of a target and whether it should get requests.
///
/// The targets of one service may differ in speed, start cold, slow down, stop answering, or reject
/// part of their requests while they look idle. A target that rejects quickly would otherwise
/// attract ever more requests. A target that rejects although it has free slots is not suspended,
/// as it still runs the rest of its requests; other targets are preferred to it.
class target_estimate
{
public:
    /// @param initial service time to assume before the first answer.
    explicit target_estimate(std::chrono::microseconds initial);

    /// Updates the estimate with the outcome of a request.
    /// @param report the outcome of the request at the target.
    /// @param waitedAtTarget the part of its time at the target for which it waited for a slot.
    /// @param isFull whether the target had no free slot at that time, as far as is known.
    void recordResult(const run_report &report, std::chrono::microseconds waitedAtTarget,
                      bool isFull, instant now);

    /// Lets the estimate of a target without recent answers approach the service's mean, so that a
    /// target that was slow gets requests again; to be called regularly.
    /// @param mean the mean service time of the service's targets.
    void forget(std::chrono::microseconds mean, instant now);

    /// @return the expected service time of one request, without its wait for a slot.
    std::chrono::microseconds serviceTime() const
    {
        return std::chrono::microseconds(static_cast<std::int64_t>(m_steadyTime));
    }

    /// @return the share of recent requests that the target answered without an error, apart from
    ///     single errors; rejections count only if it had free slots. From 0.05 to 1.
    double successShare(instant now) const;

    /// @return the same, without regard to rejections.
    double answerShare(instant now) const;

    /// @return whether the target should get no requests at present.
    bool isSuspended(instant now) const { return now < m_suspendedUntil; }

    /// @return whether the target failed, or rejected a request while it was full, since its last
    ///     answer, so that it should get only one request at a time until it answers again (the
    ///     half-open state of a circuit breaker).
    bool isOnProbation() const { return m_failures > 0; }

    /// @return the end of the last suspension; may be in the past.
    instant suspendedUntil() const { return m_suspendedUntil; }

private:
    void addUnfinished(std::chrono::microseconds work, instant now);
    void addSample(std::chrono::microseconds work, instant now);
    void suspend(std::chrono::milliseconds basePause, instant now);

    double m_recentTime; ///< Mean service time of the last few answers, in microseconds.
    double m_steadyTime; ///< Mean over more answers, in microseconds.
    std::uint32_t m_samples = 0;
    instant m_sampledAt{}; ///< Last sample, or last call of forget() that changed the estimate.
    std::uint32_t m_failures = 0; ///< Failures, and rejections while full, since the last answer.
    instant m_suspendedUntil{};
    decaying_share m_rejections;
    decaying_share m_errors;
};

} // namespace clementinebeam
