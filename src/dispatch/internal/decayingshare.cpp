#include "clementinebeam/dispatch/decayingshare.h"

#include <cmath>

namespace clementinebeam {

namespace {

/// Weight of the newest observation.
constexpr double SAMPLE_WEIGHT = 0.2;

} // namespace

void decaying_share::add(double sample, instant now)
{
    const double share = value(now);
    m_share = share + SAMPLE_WEIGHT * (sample - share);
    m_updatedAt = now;
}

double decaying_share::value(instant now) const
{
    const std::chrono::duration<double> age = now - m_updatedAt;
    return m_share * std::exp2(-age / std::chrono::duration<double>(m_halfLife));
}

} // namespace clementinebeam
