#include "clementinebeam/dispatch/targetestimate.h"

#include <algorithm>
#include <cmath>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Least weight of the newest answer in the steady mean, which covers about the last 40 answers.
constexpr double STEADY_WEIGHT = 0.05;
/// Weight of the newest answer in the recent mean, which covers about the last six answers.
constexpr double RECENT_WEIGHT = 0.3;
/// Ratio of the recent to the steady mean, or of the steady to the recent one, from which the
/// target's speed has changed.
constexpr double CHANGE_RATIO = 2.0;
/// An answer counts as at most this multiple of the recent mean, as service times have a long tail.
constexpr double MAX_SAMPLE_RATIO = 4.0;
/// Answers that the steady mean counts for after the target's speed has changed.
constexpr std::uint32_t SAMPLES_AFTER_CHANGE = 3;
/// How long an estimate holds without further answers.
constexpr milliseconds SAMPLE_LIFETIME{3000};
/// Afterwards half of its difference from the mean is forgotten in this time.
constexpr double FORGET_HALF_LIFE_S = 4.0;
constexpr milliseconds FORGET_INTERVAL{200};
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
/// Half-lives of the shares of rejections and of errors. Errors count for longer, as a target that
/// has lost its keys for them shows none.
constexpr milliseconds REJECTION_HALF_LIFE{1000};
constexpr milliseconds ERROR_HALF_LIFE{5000};
/// Share of errors that a single error makes up; every target errs at times.
constexpr double TOLERATED_ERRORS = 0.25;
/// Lower bound of the success share; keeps expected times finite.
constexpr double MIN_SUCCESS_SHARE = 0.05;

} // namespace

target_estimate::target_estimate(std::chrono::microseconds initial)
    : m_recentTime(static_cast<double>(initial.count()))
    , m_steadyTime(m_recentTime)
    , m_rejections(REJECTION_HALF_LIFE)
    , m_errors(ERROR_HALF_LIFE)
{ }

void target_estimate::recordResult(const run_report &report, microseconds waitedAtTarget,
                                   bool isFull, instant now)
{
    switch (report.result) {
    case run_result::Answered:
        addSample(std::max(report.duration - waitedAtTarget, microseconds(0)), now);
        m_rejections.add(0.0, now);
        m_errors.add(0.0, now);
        m_failures = 0;
        m_suspendedUntil = instant{};
        break;
    case run_result::Failed:
        // An error that comes fast says nothing about the time that an answer takes; one at the
        // deadline does.
        addUnfinished(report.duration - waitedAtTarget, now);
        m_errors.add(1.0, now);
        m_failures = 0;
        m_suspendedUntil = instant{};
        break;
    case run_result::NotExecuted:
        if (isFull)
            suspend(REJECTION_PAUSE, now);
        else
            m_rejections.add(1.0, now);
        break;
    case run_result::Lost:
        suspend(CONNECTION_LOSS_PAUSE, now);
        break;
    case run_result::TimedOut:
        addUnfinished(report.duration - waitedAtTarget, now);
        suspend(UNREACHABLE_PAUSE, now);
        break;
    case run_result::NotSent:
        suspend(UNREACHABLE_PAUSE, now);
        break;
    case run_result::Abandoned:
        addUnfinished(report.duration - waitedAtTarget, now);
        break;
    case run_result::WrongOwner:
    case run_result::NotUsed:
        break;
    }
}

/// Requests that were given up before their answer would otherwise leave the longest service times
/// out. One that was given up sooner than usual shows nothing.
void target_estimate::addUnfinished(microseconds work, instant now)
{
    if (work > serviceTime())
        addSample(work + serviceTime(), now);
}

void target_estimate::addSample(microseconds work, instant now)
{
    m_sampledAt = now;
    ++m_samples;
    const double sample =
            std::min(static_cast<double>(work.count()), MAX_SAMPLE_RATIO * m_recentTime);
    m_recentTime += RECENT_WEIGHT * (sample - m_recentTime);
    // The initial time counts as one sample.
    const double weight = std::max(STEADY_WEIGHT, 1.0 / (m_samples + 1));
    m_steadyTime += weight * (sample - m_steadyTime);
    const double ratio = m_recentTime / std::max(1.0, m_steadyTime);
    if (ratio > CHANGE_RATIO || ratio < 1.0 / CHANGE_RATIO) {
        m_steadyTime = m_recentTime;
        m_samples = SAMPLES_AFTER_CHANGE;
    }
}

void target_estimate::forget(microseconds mean, instant now)
{
    const auto age = now - m_sampledAt;
    if (m_samples == 0 || age < SAMPLE_LIFETIME)
        return;
    const double step = std::chrono::duration<double>(FORGET_INTERVAL).count();
    const double share = 1.0 - std::exp2(-step / FORGET_HALF_LIFE_S);
    m_steadyTime += share * (static_cast<double>(mean.count()) - m_steadyTime);
    m_recentTime = m_steadyTime;
    m_samples = std::min(m_samples, SAMPLES_AFTER_CHANGE);
    m_sampledAt = now - SAMPLE_LIFETIME + FORGET_INTERVAL;
}

double target_estimate::successShare(instant now) const
{
    const double share = (1.0 - m_rejections.value(now)) * answerShare(now);
    return std::max(MIN_SUCCESS_SHARE, share);
}

double target_estimate::answerShare(instant now) const
{
    const double excess = m_errors.value(now) - TOLERATED_ERRORS;
    return 1.0 - std::clamp(excess / (1.0 - TOLERATED_ERRORS), 0.0, 1.0 - MIN_SUCCESS_SHARE);
}

void target_estimate::suspend(milliseconds basePause, instant now)
{
    const auto doublings = std::min(m_failures, MAX_DOUBLINGS);
    ++m_failures;
    const auto pause = std::min(basePause * (1U << doublings), MAX_PAUSE);
    m_suspendedUntil = std::max(m_suspendedUntil, now + pause);
}

} // namespace clementinebeam
