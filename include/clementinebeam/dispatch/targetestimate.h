#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"

namespace clementinebeam {

/// Estimates how long a target takes for a request, and whether it is to be trusted with one.
///
/// Answers load patterns in which targets of one service differ in speed, start cold, slow down,
/// fall silent, or reject part of their requests while they look idle: a target that rejects
/// quickly would otherwise attract ever more requests. A target that rejects although it has free
/// slots is not suspended, as it runs the rest of its requests; others are preferred to it.
class target_estimate
{
public:
    /// @param initial service time to assume before the first answer.
    explicit target_estimate(std::chrono::microseconds initial);

    /// @param report the end of a request at the target.
    /// @param isFull whether the target had no free slot at that time, as far as is known.
    void note(const run_report &report, bool isFull, instant now);

    /// @return the expected service time of one request.
    std::chrono::microseconds serviceTime() const { return m_serviceTime; }

    /// @return the share of requests that the target lately rejected although it had free slots.
    double rejectionShare(instant now) const;

    /// @return whether the target should get no request for the time being.
    bool isSuspended(instant now) const { return now < m_suspendedUntil; }

    /// @return whether one request at a time is to find out if the target has recovered.
    bool isOnProbation() const { return m_failures > 0; }

    instant suspendedUntil() const { return m_suspendedUntil; }

private:
    void suspend(std::chrono::milliseconds least, instant now);
    void noteRejection(double sample, instant now);

    std::chrono::microseconds m_serviceTime;
    bool m_hasSample = false;
    std::uint32_t m_failures = 0; ///< Failures since the last answer.
    instant m_suspendedUntil{};
    double m_rejectionShare = 0.0; ///< As of m_rejectionNoted.
    instant m_rejectionNoted{};
};

} // namespace clementinebeam
