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
/// A kind is raised while its share of served requests is below this part of that of all
/// requests.
constexpr double RAISED_BELOW = 0.3;
/// Fewer outcomes don't show that a kind is served too seldom.
constexpr double MIN_OUTCOMES = 8.0;
/// A kind with a smaller share of the outcomes is not raised.
constexpr double MIN_OUTCOME_SHARE = 0.05;
/// A kind is served at least by this more often than less urgent ones.
constexpr double URGENT_MARGIN = 0.05;
/// A kind that is served more often needs no place before others.
constexpr double ALL_SERVED = 0.9;
/// Share of refused requests of a priority that shows lasting overload.
constexpr double CROWDED_ABOVE = 0.1;
/// A kind whose work differs by less from the mean is taken for average.
constexpr double SIMILAR_FACTOR = 1.25;
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
    if (m_kinds.size() < MAX_KINDS) {
        m_kinds.emplace_back();
        m_kinds.back().priority = priority;
        m_kinds.back().objective = window;
    }
    return m_kinds.size() - 1;
}

void request_kinds::recordWork(index kind, microseconds work, microseconds typical)
{
    const auto value = static_cast<double>(work.count())
            / static_cast<double>(std::max<std::int64_t>(1, typical.count()));
    addSample(m_work, m_samples, value);
    addSample(m_kinds[kind].work, m_kinds[kind].samples, value);
    for (auto &state : m_kinds) {
        const bool isKnown = m_kinds.size() > 1 && state.samples >= MIN_SAMPLES && m_work > 0.0;
        const double factor =
                isKnown ? std::clamp(state.work / m_work, MIN_FACTOR, MAX_FACTOR) : 1.0;
        state.factor = factor > 1.0 / SIMILAR_FACTOR && factor < SIMILAR_FACTOR ? 1.0 : factor;
    }
}

void request_kinds::recordOutcome(index kind, bool isServed, instant now)
{
    decay(now);
    auto &state = m_kinds[kind];
    (isServed ? state.served : state.refused) += 1.0;
    update();
}

void request_kinds::decay(instant now)
{
    if (now < m_decayedAt + DECAY_STEP)
        return;
    const std::chrono::duration<double> passed = now - m_decayedAt;
    const double kept = std::exp(-passed.count() / DECAY_TIME_S);
    for (auto &state : m_kinds) {
        state.served *= kept;
        state.refused *= kept;
    }
    m_decayedAt = now;
}

bool request_kinds::isServedTooSeldom(const kind_state &kind, double all, double limit) const
{
    if (kind.total() < std::max(MIN_OUTCOMES, all * MIN_OUTCOME_SHARE))
        return false;
    bool isTooSeldom = kind.servedShare() < limit;
    for (const auto &other : m_kinds) {
        if (other.total() < MIN_OUTCOMES)
            continue;
        if (other.priority < kind.priority
            && other.servedShare() < kind.servedShare() + URGENT_MARGIN)
            return false;
        if (other.priority > kind.priority
            && kind.servedShare() < other.servedShare() + URGENT_MARGIN)
            isTooSeldom = isTooSeldom || kind.servedShare() < ALL_SERVED;
    }
    return isTooSeldom;
}

void request_kinds::update()
{
    double served = 0.0;
    double all = 0.0;
    for (const auto &kind : m_kinds) {
        served += kind.served;
        all += kind.total();
    }
    const double limit = all > 0.0 ? served / all * RAISED_BELOW : 0.0;
    for (auto &kind : m_kinds) {
        double refusedOfPriority = 0.0;
        double allOfPriority = 0.0;
        for (const auto &other : m_kinds) {
            refusedOfPriority += other.priority == kind.priority ? other.refused : 0.0;
            allOfPriority += other.priority == kind.priority ? other.total() : 0.0;
        }
        kind.isCrowded =
                allOfPriority >= MIN_OUTCOMES && refusedOfPriority > allOfPriority * CROWDED_ABOVE;
        kind.isRaised = isServedTooSeldom(kind, all, limit);
    }
    if (m_kinds.size() == MAX_KINDS)
        m_kinds.back().isRaised = false;
}

} // namespace clementinebeam
