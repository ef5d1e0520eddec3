#include "internal/concurrencylimit.h"

#include <algorithm>

namespace clementinebeam {

void concurrency_limit::noteAnswer(std::chrono::microseconds duration, bool wasFull)
{
    const auto time = static_cast<double>(std::max<std::int64_t>(1, duration.count()));
    m_mean = m_mean == 0.0 ? time : m_mean + SMOOTHING * (time - m_mean);
    m_baseline = m_baseline == 0.0 ? time : std::min(time, m_baseline * BASELINE_RISE);
    if (m_mean > m_baseline * SLOWDOWN)
        m_limit = std::max(1.0, m_limit * SLOWDOWN_DECREASE);
    else if (wasFull)
        m_limit = std::min<double>(m_most, m_limit + INCREASE / m_limit);
}

void concurrency_limit::noteOverload()
{
    m_limit = std::max(1.0, m_limit * DECREASE);
}

std::uint32_t concurrency_limit::value() const
{
    return std::max<std::uint32_t>(1, std::min(m_most, static_cast<std::uint32_t>(m_limit)));
}

std::chrono::microseconds concurrency_limit::meanDuration() const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(m_mean));
}

} // namespace clementinebeam
