#include "clementinebeam/dispatch/ratepacer.h"

#include <algorithm>

namespace clementinebeam {

rate_pacer::rate_pacer(double rate, instant now)
{
    setRate(rate);
    delay(0.0, now);
}

void rate_pacer::setRate(double rate)
{
    const std::chrono::duration<double> interval(1.0 / std::max(rate, MIN_RATE));
    m_interval = std::chrono::duration_cast<boot_clock::duration>(interval);
}

void rate_pacer::consume(instant now)
{
    m_due = std::max(m_due, now) + m_interval;
}

void rate_pacer::delay(double share, instant now)
{
    const auto wait = std::chrono::duration_cast<boot_clock::duration>(m_interval * share);
    m_due = std::max(m_due, now + m_interval * (BURST - 1) + wait);
}

} // namespace clementinebeam
