#include "clementinebeam/admission/requestkinds.h"

#include <algorithm>
#include <cmath>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Differences by the rounding of clocks don't make a kind.
constexpr milliseconds KIND_RESOLUTION{10};
constexpr double WORK_WEIGHT = 0.05;
constexpr std::size_t MIN_SAMPLES = 20;
constexpr double MIN_FACTOR = 0.1;
constexpr double MAX_FACTOR = 10.0;
/// A priority is raised while its share of served requests is below this part of that of all
/// requests.
constexpr double RAISED_BELOW = 0.4;
/// Fewer outcomes don't show that a priority is served too seldom.
constexpr double MIN_OUTCOMES = 8.0;
constexpr double DECAY_TIME_S = 10.0;
/// Counts are brought up to date in steps of this length.
constexpr milliseconds DECAY_STEP{100};

milliseconds rounded(instant::duration window)
{
    return (std::chrono::duration_cast<milliseconds>(window) + KIND_RESOLUTION / 2)
            / KIND_RESOLUTION * KIND_RESOLUTION;
}

void addSample(double &mean, std::size_t &samples, double value)
{
    ++samples;
    mean += (value - mean) * std::max(WORK_WEIGHT, 1.0 / static_cast<double>(samples));
}

} // namespace

request_kinds::index request_kinds::indexOf(int priority, instant arrival, instant objective)
{
    const auto window = rounded(objective - arrival);
    const auto found = std::find_if(m_kinds.begin(), m_kinds.end(), [&](const auto &kind) {
        return kind.priority == priority && kind.objective == window;
    });
    if (found != m_kinds.end())
        return static_cast<index>(found - m_kinds.begin());
    const auto level = levelOf(priority);
    if (m_kinds.size() < MAX_KINDS) {
        m_kinds.emplace_back();
        m_kinds.back().priority = priority;
        m_kinds.back().objective = window;
        m_kinds.back().level = level;
    }
    return m_kinds.size() - 1;
}

std::size_t request_kinds::levelOf(int priority)
{
    const auto found = std::find_if(m_levels.begin(), m_levels.end(),
                                    [&](const auto &level) { return level.priority == priority; });
    if (found != m_levels.end())
        return static_cast<std::size_t>(found - m_levels.begin());
    m_levels.emplace_back();
    m_levels.back().priority = priority;
    return m_levels.size() - 1;
}

void request_kinds::recordWork(index kind, microseconds work, microseconds typical)
{
    const auto value = static_cast<double>(work.count())
            / static_cast<double>(std::max<std::int64_t>(1, typical.count()));
    addSample(m_work, m_samples, value);
    addSample(m_kinds[kind].work, m_kinds[kind].samples, value);
    for (auto &state : m_kinds) {
        const bool isKnown = m_kinds.size() > 1 && state.samples >= MIN_SAMPLES && m_work > 0.0;
        state.factor = isKnown ? std::clamp(state.work / m_work, MIN_FACTOR, MAX_FACTOR) : 1.0;
    }
}

void request_kinds::recordOutcome(index kind, bool isServed, instant now)
{
    decay(now);
    auto &level = m_levels[m_kinds[kind].level];
    (isServed ? level.served : level.refused) += 1.0;
    updateRaised();
}

void request_kinds::decay(instant now)
{
    if (now < m_decayedAt + DECAY_STEP)
        return;
    const std::chrono::duration<double> passed = now - m_decayedAt;
    const double kept = std::exp(-passed.count() / DECAY_TIME_S);
    for (auto &level : m_levels) {
        level.served *= kept;
        level.refused *= kept;
    }
    m_decayedAt = now;
}

void request_kinds::updateRaised()
{
    double served = 0.0;
    double all = 0.0;
    for (const auto &level : m_levels) {
        served += level.served;
        all += level.total();
    }
    const double limit = all > 0.0 ? served / all * RAISED_BELOW : 0.0;
    for (auto &level : m_levels) {
        const auto isWorseOffAndMoreUrgent = [&](const level_state &other) {
            return other.priority < level.priority && other.total() >= MIN_OUTCOMES
                    && other.servedShare() <= level.servedShare();
        };
        level.isRaised = level.total() >= MIN_OUTCOMES && level.servedShare() < limit
                && std::none_of(m_levels.begin(), m_levels.end(), isWorseOffAndMoreUrgent);
    }
}

} // namespace clementinebeam
