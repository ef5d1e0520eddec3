#include "clementinebeam/dispatch/targetestimate.h"

#include <algorithm>
#include <cmath>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest answer in the moving average, which covers about the last eight answers.
constexpr double SMOOTHING_FACTOR = 0.2;
/// Suspension after a rejection by a full target: about one service time, until a slot is free.
constexpr milliseconds REJECTION_PAUSE{60};
/// First suspension after a lost connection. It doubles with each further failure up to MAX_PAUSE,
/// so that at last one request per MAX_PAUSE probes whether the target has recovered.
constexpr milliseconds CONNECTION_LOSS_PAUSE{100};
/// First suspension after a failed connection attempt or a timeout.
constexpr milliseconds UNREACHABLE_PAUSE{400};
/// Upper limit of a suspension; a restarted target gets requests again within this time.
constexpr milliseconds MAX_PAUSE{1600};
constexpr std::uint32_t MAX_DOUBLINGS = 4;
/// Half-life of the rejection share.
constexpr double REJECTION_HALF_LIFE_S = 1.0;

} // namespace

target_estimate::target_estimate(std::chrono::microseconds initial)
    : m_serviceTime(initial)
{ }

void target_estimate::recordResult(const run_report &report, bool isFull, instant now)
{
    switch (report.result) {
    case run_result::Answered: {
        const auto sample = static_cast<double>(report.duration.count());
        const auto mean = static_cast<double>(m_serviceTime.count());
        const double weight = m_hasSample ? SMOOTHING_FACTOR : 0.5;
        m_serviceTime = std::chrono::microseconds(
                static_cast<std::int64_t>(mean + weight * (sample - mean)));
        m_hasSample = true;
        updateRejectionShare(0.0, now);
        m_failures = 0;
        m_suspendedUntil = instant{};
        break;
    }
    case run_result::NotExecuted:
        if (isFull)
            suspend(REJECTION_PAUSE, now);
        else
            updateRejectionShare(1.0, now);
        break;
    case run_result::Lost:
        suspend(CONNECTION_LOSS_PAUSE, now);
        break;
    case run_result::NotSent:
    case run_result::TimedOut:
        suspend(UNREACHABLE_PAUSE, now);
        break;
    case run_result::WrongOwner:
    case run_result::Abandoned:
    case run_result::NotUsed:
        break;
    }
}

double target_estimate::rejectionShare(instant now) const
{
    const double age = std::chrono::duration<double>(now - m_rejectionShareAt).count();
    return m_rejectionShare * std::exp2(-age / REJECTION_HALF_LIFE_S);
}

void target_estimate::updateRejectionShare(double sample, instant now)
{
    const double share = rejectionShare(now);
    m_rejectionShare = share + SMOOTHING_FACTOR * (sample - share);
    m_rejectionShareAt = now;
}

void target_estimate::suspend(milliseconds basePause, instant now)
{
    const auto doublings = std::min(m_failures, MAX_DOUBLINGS);
    ++m_failures;
    const auto pause = std::min(basePause * (1U << doublings), MAX_PAUSE);
    m_suspendedUntil = std::max(m_suspendedUntil, now + pause);
}

} // namespace clementinebeam
