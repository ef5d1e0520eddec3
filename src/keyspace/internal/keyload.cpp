#include "clementinebeam/keyspace/keyload.h"

#include <cmath>

namespace clementinebeam {

namespace {

/// Rates below this are set to zero, to keep clear of denormal numbers.
constexpr float NEGLIGIBLE = 1e-4F;

void decayAll(std::vector<float> &rates, float factor)
{
    for (auto &rate : rates) {
        rate *= factor;
        if (rate < NEGLIGIBLE)
            rate = 0.0F;
    }
}

} // namespace

key_load::key_load()
    : m_recent(KEY_COUNT, 0.0F)
    , m_steady(KEY_COUNT, 0.0F)
{ }

void key_load::note(key_number key)
{
    if (key <= LAST_KEY)
        m_new.emplace_back(key, 1.0F);
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
    for (const auto &[key, count] : m_new) {
        m_recent[key] += count / static_cast<float>(key_load::RECENT_SECONDS);
        m_steady[key] += count / static_cast<float>(key_load::STEADY_SECONDS);
    }
    m_new.clear();
}

} // namespace clementinebeam
