#include "clementinebeam/dispatch/targetestimate.h"

#include <algorithm>
#include <cmath>

namespace clementinebeam {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest answer; about the last eight answers count.
constexpr double SMOOTHING = 0.2;
/// Suspension after a rejection; about one service time, in which a slot becomes free.
constexpr milliseconds REJECTION_PAUSE{60};
/// Suspension after a lost connection: a request or two per second find out whether it goes on.
constexpr milliseconds LOSS_PAUSE{100};
/// Suspension after a refused connection or a timeout.
constexpr milliseconds SILENCE_PAUSE{400};
/// Longest suspension; a restarted target is back in use within this time.
constexpr milliseconds MAX_PAUSE{1600};
constexpr std::uint32_t MAX_DOUBLINGS = 4;
/// Time in which the memory of rejections fades to half.
constexpr double REJECTION_HALF_LIFE_S = 1.0;

} // namespace

target_estimate::target_estimate(std::chrono::microseconds initial)
    : m_serviceTime(initial)
{ }

void target_estimate::note(const run_report &report, bool isFull, instant now)
{
    switch (report.result) {
    case run_result::Answered: {
        const auto sample = static_cast<double>(report.duration.count());
        const auto mean = static_cast<double>(m_serviceTime.count());
        const double weight = m_hasSample ? SMOOTHING : 0.5;
        m_serviceTime = std::chrono::microseconds(
                static_cast<std::int64_t>(mean + weight * (sample - mean)));
        m_hasSample = true;
        noteRejection(0.0, now);
        m_failures = 0;
        m_suspendedUntil = instant{};
        break;
    }
    case run_result::NotExecuted:
        if (isFull)
            suspend(REJECTION_PAUSE, now);
        else
            noteRejection(1.0, now);
        break;
    case run_result::Lost:
        suspend(LOSS_PAUSE, now);
        break;
    case run_result::NotSent:
    case run_result::TimedOut:
        suspend(SILENCE_PAUSE, now);
        break;
    case run_result::WrongOwner:
    case run_result::Abandoned:
    case run_result::NotUsed:
        break;
    }
}

double target_estimate::rejectionShare(instant now) const
{
    const double age = std::chrono::duration<double>(now - m_rejectionNoted).count();
    return m_rejectionShare * std::exp2(-age / REJECTION_HALF_LIFE_S);
}

void target_estimate::noteRejection(double sample, instant now)
{
    const double share = rejectionShare(now);
    m_rejectionShare = share + SMOOTHING * (sample - share);
    m_rejectionNoted = now;
}

void target_estimate::suspend(milliseconds least, instant now)
{
    const auto doublings = std::min(m_failures, MAX_DOUBLINGS);
    ++m_failures;
    const auto pause = std::min(least * (1U << doublings), MAX_PAUSE);
    m_suspendedUntil = std::max(m_suspendedUntil, now + pause);
}

} // namespace clementinebeam
