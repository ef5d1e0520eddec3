#include "clementinebeam/keyspace/keyload.h"

#include <algorithm>
#include <cmath>

namespace clementinebeam {

namespace {

/// Lower rates are set to zero, to avoid denormal numbers.
constexpr float MIN_RATE = 1e-4F;
/// Rates over a shorter time since the first decay are not scaled up further.
constexpr std::chrono::milliseconds MIN_AGE{250};

void decayAll(std::vector<float> &rates, float factor)
{
    for (auto &rate : rates) {
        rate *= factor;
        if (rate < MIN_RATE)
            rate = 0.0F;
    }
}

/// @return the share of the time constant's weight that lies after the first decay.
double observedShare(double seconds, double timeConstant)
{
    return 1.0 - std::exp(-seconds / timeConstant);
}

} // namespace

key_load::key_load()
    : m_recent(KEY_COUNT, 0.0F)
    , m_steady(KEY_COUNT, 0.0F)
{ }

void key_load::addRequest(key_number key)
{
    if (key <= LAST_KEY)
        m_pending.emplace_back(key, 1.0F);
}

void key_load::decay(instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastDecay).count();
    const bool isFirst = m_lastDecay == instant{};
    m_lastDecay = now;
    if (isFirst)
        m_firstDecay = now;
    if (!isFirst) {
        decayAll(m_recent, static_cast<float>(std::exp(-elapsed / key_load::RECENT_SECONDS)));
        decayAll(m_steady, static_cast<float>(std::exp(-elapsed / key_load::STEADY_SECONDS)));
    }
    for (const auto &[key, count] : m_pending) {
        m_recent[key] += count / static_cast<float>(key_load::RECENT_SECONDS);
        m_steady[key] += count / static_cast<float>(key_load::STEADY_SECONDS);
    }
    m_pending.clear();
    m_recentScale = scaleFor(RECENT_SECONDS);
    m_steadyScale = scaleFor(STEADY_SECONDS);
}

double key_load::scaleFor(double timeConstant) const
{
    const auto age = std::max<std::chrono::duration<double>>(MIN_AGE, m_lastDecay - m_firstDecay);
    return 1.0 / observedShare(age.count(), timeConstant);
}

std::chrono::duration<double> key_load::windowOf(double timeConstant) const
{
    const double age = std::chrono::duration<double>(m_lastDecay - m_firstDecay).count();
    const double share = observedShare(age, timeConstant);
    return std::chrono::duration<double>(2.0 * timeConstant * share / (2.0 - share));
}

} // namespace clementinebeam
