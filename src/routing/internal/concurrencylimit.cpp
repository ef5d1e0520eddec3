#include "internal/concurrencylimit.h"

#include <algorithm>

namespace clementinebeam {

void concurrency_limit::noteAnswer(std::chrono::microseconds duration, bool wasFull)
{
    const auto time = static_cast<double>(std::max<std::int64_t>(1, duration.count()));
    m_meanDuration = m_meanDuration == 0.0
            ? time
            : m_meanDuration + SMOOTHING_FACTOR * (time - m_meanDuration);
    m_baselineDuration = m_baselineDuration == 0.0
            ? time
            : std::min(time, m_baselineDuration * BASELINE_GROWTH_FACTOR);
    if (m_meanDuration > m_baselineDuration * SLOWDOWN_RATIO)
        m_limit = std::max(1.0, m_limit * SLOWDOWN_DECREASE_FACTOR);
    else if (wasFull)
        m_limit = std::min<double>(m_maxLimit, m_limit + ADDITIVE_INCREASE / m_limit);
}

void concurrency_limit::noteOverload()
{
    m_limit = std::max(1.0, m_limit * OVERLOAD_DECREASE_FACTOR);
}

std::uint32_t concurrency_limit::value() const
{
    return std::max<std::uint32_t>(1, std::min(m_maxLimit, static_cast<std::uint32_t>(m_limit)));
}

std::chrono::microseconds concurrency_limit::meanDuration() const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(m_meanDuration));
}

} // namespace clementinebeam
