#include "clementinebeam/keyspace/keyload.h"

#include <cmath>

namespace clementinebeam {

namespace {

/// Lower rates are set to zero, to avoid denormal numbers.
constexpr float MIN_RATE = 1e-4F;

void decayAll(std::vector<float> &rates, float factor)
{
    for (auto &rate : rates) {
        rate *= factor;
        if (rate < MIN_RATE)
            rate = 0.0F;
    }
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
    if (!isFirst) {
        decayAll(m_recent, static_cast<float>(std::exp(-elapsed / key_load::RECENT_SECONDS)));
        decayAll(m_steady, static_cast<float>(std::exp(-elapsed / key_load::STEADY_SECONDS)));
    }
    for (const auto &[key, count] : m_pending) {
        m_recent[key] += count / static_cast<float>(key_load::RECENT_SECONDS);
        m_steady[key] += count / static_cast<float>(key_load::STEADY_SECONDS);
    }
    m_pending.clear();
}

} // namespace clementinebeam
