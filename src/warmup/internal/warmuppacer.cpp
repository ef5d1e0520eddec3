#include "clementinebeam/warmup/warmuppacer.h"

#include <algorithm>
#include <cmath>

namespace clementinebeam {

namespace {

constexpr std::chrono::duration<double> WINDOW =
        std::chrono::seconds(1) + warm_up_pacer::MAX_LATENESS;

} // namespace

warm_up_pacer::warm_up_pacer(const warm_up_limit &limit)
{
    setLimit(limit);
}

void warm_up_pacer::setLimit(const warm_up_limit &limit)
{
    if (limit == m_limit)
        return;
    m_limit = limit;
    const double largest = std::floor(limit.rate * limit.factor + limit.slack);
    // A bound of one request can't be shared.
    const double part = largest < PLACERS ? largest : std::floor(largest / PLACERS);
    m_rate = std::min(limit.rate, part / WINDOW.count());
    m_maxPlaced = static_cast<std::size_t>(part);
    m_interval = m_rate > 0.0 ? std::chrono::duration_cast<boot_clock::duration>(
                         std::chrono::duration<double>(1.0 / m_rate))
                              : boot_clock::duration(0);
    while (m_placed.size() > m_maxPlaced)
        m_placed.pop_front();
}

void warm_up_pacer::consume(instant now)
{
    m_placed.push_back(now);
    if (m_placed.size() > m_maxPlaced)
        m_placed.pop_front();
}

instant warm_up_pacer::readyAt() const
{
    if (m_rate <= 0.0)
        return instant::max();
    if (m_placed.empty())
        return instant{};
    auto ready = m_placed.back() + m_interval;
    if (m_placed.size() >= m_maxPlaced)
        ready = std::max(
                ready, m_placed.front() + std::chrono::duration_cast<boot_clock::duration>(WINDOW));
    return ready;
}

} // namespace clementinebeam
